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

// ID names a session, chosen by the caller or by the system.
type ID string

// Birth is the beginning of a session. It never changes.
type Birth struct {
	Account  document.AccountID `json:"account"`
	Session  ID                 `json:"session"`
	Revision config.Revision    `json:"revision"`
	// Pins gives for each model the version that the session uses for life.
	Pins map[document.ModelName]document.VersionName `json:"pins"`
	// BornUnixMillis is the time of the birth, in milliseconds since 1970.
	BornUnixMillis int64 `json:"born_unix_ms"`
}

// Exposer decides which new sessions meet the candidate of a roll-out. It is
// implemented by the roll-out ledger of an instance.
type Exposer interface {
	// Expose returns the candidate version if the session shall use it, and
	// then spends exposure for its first request. It returns false if there
	// is no running roll-out of the model, if the candidate is not allowed,
	// if the session is outside the present share, or if no exposure is left.
	Expose(model document.ModelName, session ID, allowed func(document.VersionName) bool) (document.VersionName, bool)
}

// NoExposure is an [Exposer] that exposes no session.
type NoExposure struct{}

// Expose implements [Exposer].
func (NoExposure) Expose(document.ModelName, ID, func(document.VersionName) bool) (document.VersionName, bool) {
	return "", false
}

// NewBirth pins a version of every model that the account may use. Models with
// a roll-out may pin the candidate if they are in exposable; with no
// exposable given, all may. Naming the models that the first request can use
// saves exposure that would otherwise be spent on models never called.
//
// The account must exist in the policy; otherwise the birth has no pins.
func NewBirth(
	policy *document.Policy,
	exposer Exposer,
	account document.AccountID,
	id ID,
	now time.Time,
	exposable ...document.ModelName,
) Birth {
	birth := Birth{
		Account:        account,
		Session:        id,
		Revision:       policy.Revision,
		Pins:           map[document.ModelName]document.VersionName{},
		BornUnixMillis: now.UnixMilli(),
	}
	allow := policy.Accounts[account].Allow
	for _, name := range allowedModels(allow) {
		model := policy.Models[name]
		if len(exposable) == 0 || slices.Contains(exposable, name) {
			allowed := func(version document.VersionName) bool {
				return serving(model, version) && covered(allow, name, version)
			}
			if candidate, ok := exposer.Expose(name, id, allowed); ok && allowed(candidate) {
				birth.Pins[name] = candidate
				continue
			}
		}
		if version, ok := settledVersion(model, allow, name); ok {
			birth.Pins[name] = version
		}
	}
	return birth
}

// Version returns the version of the model that the session uses. The errors
// are [*Ended] and [*Unpinned].
func (b Birth) Version(policy *document.Policy, model document.ModelName) (document.VersionName, error) {
	version, pinned := b.Pins[model]
	if !pinned {
		return "", &Unpinned{Account: b.Account, Session: b.Session, Model: model}
	}
	if !serving(policy.Models[model], version) {
		ref := document.Ref{Model: model, Version: version}
		return "", &Ended{Account: b.Account, Session: b.Session, Ref: ref}
	}
	return version, nil
}

// Ended is the error of a session whose pinned version was withdrawn.
type Ended struct {
	Account document.AccountID
	Session ID
	Ref     document.Ref
}

// Error implements error.
func (e *Ended) Error() string {
	return fmt.Sprintf("session: session %q of account %q ended: %s was withdrawn", e.Session, e.Account, e.Ref)
}

// Unpinned is the error of a session that was born without the model.
type Unpinned struct {
	Account document.AccountID
	Session ID
	Model   document.ModelName
}

// Error implements error.
func (e *Unpinned) Error() string {
	return fmt.Sprintf("session: session %q of account %q was born without model %q", e.Session, e.Account, e.Model)
}

// Compare orders births of one session by revision, then by time of birth,
// then by pins. The lowest is the birth of the session. It returns 0 only for
// equal births.
func Compare(a, b Birth) int {
	return cmp.Or(
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.BornUnixMillis, b.BornUnixMillis),
		comparePins(a.Pins, b.Pins),
	)
}

// Merge returns the birth that all holders of both settle on.
func Merge(a, b Birth) Birth {
	if Compare(b, a) < 0 {
		return b
	}
	return a
}

func comparePins(a, b map[document.ModelName]document.VersionName) int {
	return slices.Compare(pinKeys(a), pinKeys(b))
}

func pinKeys(pins map[document.ModelName]document.VersionName) []string {
	keys := make([]string, 0, len(pins))
	for _, model := range slices.Sorted(maps.Keys(pins)) {
		keys = append(keys, string(model), string(pins[model]))
	}
	return keys
}

// allowedModels returns the models of the grants, in order and each once, so
// that equal policies spend exposure in equal order.
func allowedModels(grants []document.Grant) []document.ModelName {
	var names []document.ModelName
	for _, grant := range grants {
		if !slices.Contains(names, grant.Model) {
			names = append(names, grant.Model)
		}
	}
	return names
}

// settledVersion returns the stable version, or, if the account may not use
// it, the first serving version that its grants list.
func settledVersion(
	model document.Model,
	grants []document.Grant,
	name document.ModelName,
) (document.VersionName, bool) {
	if serving(model, model.Stable) && covered(grants, name, model.Stable) {
		return model.Stable, true
	}
	for _, grant := range grants {
		if grant.Model != name {
			continue
		}
		for _, version := range grant.Versions {
			if serving(model, version) {
				return version, true
			}
		}
	}
	return "", false
}

func serving(model document.Model, version document.VersionName) bool {
	return model.Versions[version].State == document.VersionServing
}

func covered(grants []document.Grant, model document.ModelName, version document.VersionName) bool {
	for _, grant := range grants {
		if grant.Model == model && grant.Covers(version) {
			return true
		}
	}
	return false
}
