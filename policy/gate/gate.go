// Package gate decides whether a dispatch is permitted. It checks every dispatch: first
// attempts, retries, hedges, cascade steps and resumed streams.
package gate

import (
	"fmt"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Reason is the reason for refusing a dispatch.
type Reason string

// Reasons of a refusal.
const (
	UnknownAccount    Reason = "unknown_account"
	ModelNotAllowed   Reason = "model_not_allowed"
	VersionNotAllowed Reason = "version_not_allowed"
	VersionWithdrawn  Reason = "version_withdrawn"
	ServiceNotAllowed Reason = "service_not_allowed"
	NoPolicy          Reason = "no_configuration"
	UnknownModel      Reason = "unknown_model"
	UnknownService    Reason = "unknown_service"
)

// Refusal is the error of a dispatch that is not permitted.
type Refusal struct {
	Reason  Reason
	Account document.AccountID
	Ref     document.Ref
	Service document.ServiceName
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Service != "" {
		return fmt.Sprintf("gate: %s: account %q, service %q", r.Reason, r.Account, r.Service)
	}
	return fmt.Sprintf("gate: %s: account %q, %s", r.Reason, r.Account, r.Ref)
}

// CheckModel returns nil if the account may use the model version, or a [*Refusal]. An
// unknown version of a known model is refused as withdrawn. A nil policy refuses
// everything.
func CheckModel(policy *document.Policy, account document.AccountID, ref document.Ref) error {
	refuse := func(reason Reason) error {
		return &Refusal{Reason: reason, Account: account, Ref: ref}
	}
	if policy == nil {
		return refuse(NoPolicy)
	}
	owner, ok := policy.Accounts[account]
	if !ok {
		return refuse(UnknownAccount)
	}
	model, ok := policy.Models[ref.Model]
	if !ok {
		return refuse(UnknownModel)
	}
	version, ok := model.Versions[ref.Version]
	if !ok || version.State != document.VersionServing {
		return refuse(VersionWithdrawn)
	}
	return checkGrants(owner.Allow, ref, refuse)
}

func checkGrants(grants []document.Grant, ref document.Ref, refuse func(Reason) error) error {
	reason := ModelNotAllowed
	for _, grant := range grants {
		if grant.Model != ref.Model {
			continue
		}
		if grant.Covers(ref.Version) {
			return nil
		}
		reason = VersionNotAllowed
	}
	return refuse(reason)
}

// CheckService returns nil if the account may call the plain service, or a [*Refusal].
// A nil policy refuses everything.
func CheckService(policy *document.Policy, account document.AccountID, service document.ServiceName) error {
	refuse := func(reason Reason) error {
		return &Refusal{Reason: reason, Account: account, Service: service}
	}
	if policy == nil {
		return refuse(NoPolicy)
	}
	owner, ok := policy.Accounts[account]
	if !ok {
		return refuse(UnknownAccount)
	}
	if _, ok := policy.Services[service]; !ok {
		return refuse(UnknownService)
	}
	for _, allowed := range owner.Services {
		if allowed == service {
			return nil
		}
	}
	return refuse(ServiceNotAllowed)
}
