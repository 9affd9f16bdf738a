package intent

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Kinds of entries that the ledger folds.
const (
	KindIntent  platform.Kind = "intent.claim"
	KindOutcome platform.Kind = "intent.outcome"
	// KindAdvance states nothing. It is appended to let a full ledger expire
	// keys while no calls are taken, see [Ledger.Full].
	KindAdvance platform.Kind = "intent.advance"
)

// Key identifies a call that must run at most once.
type Key struct {
	Account string `json:"account"`
	Service string `json:"service"`
	// Token is the caller's idempotency key, or a generated one.
	Token string `json:"token"`
}

// Intent announces that its writer means to dispatch the call.
type Intent struct {
	Key Key `json:"key"`
	// Attempt is unique to the announcing request.
	Attempt string `json:"attempt"`
	// Fingerprint is a digest of method, path and body. A key that comes
	// again with another fingerprint is refused.
	Fingerprint string `json:"fingerprint"`
	// After is the last offset that the writer had folded. A ledger ignores
	// the intent Window records later: it is a repetition, or has come too
	// late to be told from one.
	After platform.Offset `json:"after"`
}

// Outcome closes an intent. Only the writer of the accepted intent may.
type Outcome struct {
	Key     Key    `json:"key"`
	Attempt string `json:"attempt"`
	// Fingerprint repeats the intent's.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Abandoned says that the writer has not dispatched and never will: the
	// key is free again.
	Abandoned bool `json:"abandoned,omitempty"`
	// Unknown says that the writer has dispatched and will never know whether
	// the call ran. It closes the key for good.
	Unknown bool `json:"unknown,omitempty"`
	// Status and Body are the endpoint's answer, if it gave one. A long body
	// is left out and Truncated is set.
	Status    int    `json:"status,omitempty"`
	Body      []byte `json:"body,omitempty"`
	Truncated bool   `json:"truncated,omitempty"`
}

// State is what the ledger knows of a key.
type State string

// States of a key.
const (
	// Free keys have no accepted intent.
	Free State = "free"
	// Claimed keys have an accepted intent without an outcome.
	Claimed State = "claimed"
	// Done keys have an outcome.
	Done State = "done"
)

// Status is the ledger's knowledge of one key.
type Status struct {
	State       State
	Writer      platform.InstanceID
	Attempt     string
	Fingerprint string
	// Fencing is the number of the accepted intent's position.
	Fencing uint64
	Outcome Outcome
}

// Reason tells why an intent was accepted or refused.
type Reason string

// Reasons of a decision.
const (
	// KeyWasFree accepts the intent.
	KeyWasFree Reason = "key_was_free"
	// KeyClaimed refuses it: another intent has no outcome yet.
	KeyClaimed Reason = "key_claimed"
	// KeyDone refuses it: the call has an outcome.
	KeyDone Reason = "key_done"
	// KeyReused refuses it: the key belongs to a call with another fingerprint.
	KeyReused Reason = "key_reused"
	// TooLate refuses it: the stream has moved on by Window records since it
	// was written.
	TooLate Reason = "too_late"
)

// Decision is the fold's verdict on one intent.
type Decision struct {
	Attempt  string
	Writer   platform.InstanceID
	Key      Key
	Accepted bool
	Reason   Reason
	// Fencing is the position number of the intent, if accepted.
	Fencing uint64
	// Holder is the status of the key that a refused intent met.
	Holder Status
}
