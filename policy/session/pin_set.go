package session

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// ID identifies a session. It is chosen by the caller or by the system.
type ID string

// PinSet holds the model versions that a session uses. It is immutable.
type PinSet struct {
	Account  document.AccountID `json:"account"`
	Session  ID                 `json:"session"`
	Revision config.Revision    `json:"revision"`
	// Pins maps each model to the version that the session uses.
	Pins map[document.ModelName]document.VersionName `json:"pins"`
	// StartedUnixMillis is the start of the session, in milliseconds since 1970.
	StartedUnixMillis int64 `json:"born_unix_ms"`
}

// Exposer decides which new sessions use the candidate of a roll-out. It is
// implemented by the roll-out ledger of an instance.
type Exposer interface {
	// Expose returns the candidate version if the session should use it. It then
	// also charges the session's first request to the exposure budget, unless the
	// roll-out is complete. It returns false if the model has no running
	// roll-out, if the candidate is not allowed, if the session is outside the
	// current share, or if no exposure remains.
	Expose(model document.ModelName, session ID, allowed func(document.VersionName) bool) (document.VersionName, bool)
}

// NoExposure is an [Exposer] that exposes no session.
type NoExposure struct{}

// Expose implements [Exposer].
func (NoExposure) Expose(document.ModelName, ID, func(document.VersionName) bool) (document.VersionName, bool) {
	return "", false
}

// NewPinSet pins a version of every model that the account may use. Only the
// models in exposable may pin the candidate of a roll-out; if exposable is
// empty, all may. Callers should pass the models that the first request can
// use, so that no exposure is spent on models that the session never calls.
//
// If the policy does not contain the account, the result has no pins.
func NewPinSet(
	policy *document.Policy,
	exposer Exposer,
	account document.AccountID,
	id ID,
	now time.Time,
	exposable ...document.ModelName,
) PinSet {
	set := PinSet{
		Account:           account,
		Session:           id,
		Revision:          policy.Revision,
		Pins:              map[document.ModelName]document.VersionName{},
		StartedUnixMillis: now.UnixMilli(),
	}
	allow := policy.Accounts[account].Allow
	for _, name := range allowedModels(allow) {
		model := policy.Models[name]
		if len(exposable) == 0 || slices.Contains(exposable, name) {
			allowed := func(version document.VersionName) bool {
				return isServing(model, version) && isGranted(allow, name, version)
			}
			if candidate, ok := exposer.Expose(name, id, allowed); ok && allowed(candidate) {
				set.Pins[name] = candidate
				continue
			}
		}
		if version, ok := defaultVersion(model, allow, name); ok {
			set.Pins[name] = version
		}
	}
	return set
}

// Version returns the version of the model that the session uses. The error is
// an [*EndedError] or an [*UnpinnedError].
func (s PinSet) Version(policy *document.Policy, model document.ModelName) (document.VersionName, error) {
	version, pinned := s.Pins[model]
	if !pinned {
		return "", &UnpinnedError{Account: s.Account, Session: s.Session, Model: model}
	}
	if !isServing(policy.Models[model], version) {
		ref := document.Ref{Model: model, Version: version}
		return "", &EndedError{Account: s.Account, Session: s.Session, Ref: ref}
	}
	return version, nil
}

// EndedError is the error for a session whose pinned version was withdrawn.
type EndedError struct {
	Account document.AccountID
	Session ID
	Ref     document.Ref
}

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("session: session %q of account %q ended: %s was withdrawn", e.Session, e.Account, e.Ref)
}

// UnpinnedError is the error for a session that does not pin the model.
type UnpinnedError struct {
	Account document.AccountID
	Session ID
	Model   document.ModelName
}

// Error implements error.
func (e *UnpinnedError) Error() string {
	return fmt.Sprintf("session: session %q of account %q was born without model %q", e.Session, e.Account, e.Model)
}

// Compare orders the pin sets of one session by revision, then by time, then
// by pins. The session uses the lowest one. Compare returns 0 only for equal
// pin sets.
func Compare(a, b PinSet) int {
	return cmp.Or(
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.StartedUnixMillis, b.StartedUnixMillis),
		comparePins(a.Pins, b.Pins),
	)
}

// Merge returns the lower of two pin sets of one session, in the order of
// [Compare].
func Merge(a, b PinSet) PinSet {
	if Compare(b, a) < 0 {
		return b
	}
	return a
}

func comparePins(a, b map[document.ModelName]document.VersionName) int {
	return slices.Compare(flattenPins(a), flattenPins(b))
}

func flattenPins(pins map[document.ModelName]document.VersionName) []string {
	keys := make([]string, 0, len(pins))
	for _, model := range slices.Sorted(maps.Keys(pins)) {
		keys = append(keys, string(model), string(pins[model]))
	}
	return keys
}

// allowedModels returns the distinct models of the grants in their order, so
// that equal policies spend exposure in the same order.
func allowedModels(grants []document.Grant) []document.ModelName {
	var names []document.ModelName
	for _, grant := range grants {
		if !slices.Contains(names, grant.Model) {
			names = append(names, grant.Model)
		}
	}
	return names
}

// defaultVersion returns the stable version. If that is not serving or not
// granted, it returns the first serving version that the grants list.
func defaultVersion(
	model document.Model,
	grants []document.Grant,
	name document.ModelName,
) (document.VersionName, bool) {
	if isServing(model, model.Stable) && isGranted(grants, name, model.Stable) {
		return model.Stable, true
	}
	for _, grant := range grants {
		if grant.Model != name {
			continue
		}
		for _, version := range grant.Versions {
			if isServing(model, version) {
				return version, true
			}
		}
	}
	return "", false
}

func isServing(model document.Model, version document.VersionName) bool {
	return model.Versions[version].State == document.VersionServing
}

func isGranted(grants []document.Grant, model document.ModelName, version document.VersionName) bool {
	for _, grant := range grants {
		if grant.Model == model && grant.Covers(version) {
			return true
		}
	}
	return false
}
