package intent

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Kinds of entries that the ledger folds.
const (
	KindIntent  platform.Kind = "intent.claim"
	KindOutcome platform.Kind = "intent.outcome"
	// KindAdvance has no content. Appending it moves the stream forward, so
	// that a full ledger expires keys while no calls are started; see
	// [Ledger.Full].
	KindAdvance platform.Kind = "intent.advance"
)

// Key identifies a call that must run at most once.
type Key struct {
	Account string `json:"account"`
	Service string `json:"service"`
	// Token is the caller's idempotency key, or a generated one.
	Token string `json:"token"`
}

// Intent is a writer's claim to dispatch the call.
type Intent struct {
	Key Key `json:"key"`
	// Attempt uniquely identifies the request that wrote the intent.
	Attempt string `json:"attempt"`
	// Fingerprint is a digest of method, path and body. A key that is reused
	// with a different fingerprint is refused.
	Fingerprint string `json:"fingerprint"`
	// After is the last offset that the writer had folded. A ledger refuses
	// the intent at an offset of After + Window or more: the key may have
	// expired by then, so a duplicate could no longer be detected.
	After platform.Offset `json:"after"`
}

// Outcome closes a claim. Only the writer of the accepted intent appends it.
type Outcome struct {
	Key     Key    `json:"key"`
	Attempt string `json:"attempt"`
	// Fingerprint is a copy of the intent's fingerprint.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Abandoned reports that the call was not run and that the writer will
	// not dispatch it any more. It frees the key.
	Abandoned bool `json:"abandoned,omitempty"`
	// Unknown reports that the writer dispatched the call and cannot find out
	// whether it ran. The key stays closed until it expires.
	Unknown bool `json:"unknown,omitempty"`
	// Status and Body are the endpoint's answer, if any. The body is omitted
	// and Truncated is set if the body exceeds the size limit or if, in the
	// [Status] of a key, the ledger has evicted it.
	Status    int    `json:"status,omitempty"`
	Body      []byte `json:"body,omitempty"`
	Truncated bool   `json:"truncated,omitempty"`
}

// State is the state of a key in the ledger.
type State string

// States of a key.
const (
	// Free keys have no accepted intent, or its writer has abandoned the call.
	Free State = "free"
	// Claimed keys have an accepted intent without an outcome.
	Claimed State = "claimed"
	// Done keys have an outcome that is not abandoned.
	Done State = "done"
)

// Status describes one key in the ledger.
type Status struct {
	State       State
	Writer      platform.InstanceID
	Attempt     string
	Fingerprint string
	// Fencing is the fencing number of the accepted intent: its position
	// number.
	Fencing uint64
	Outcome Outcome
}

// Reason is why an intent was accepted or refused.
type Reason string

// Reasons for a decision.
const (
	// KeyWasFree accepts the intent: the key was free.
	KeyWasFree Reason = "key_was_free"
	// KeyClaimed refuses the intent: another intent claims the key.
	KeyClaimed Reason = "key_claimed"
	// KeyDone refuses the intent: the call already has an outcome.
	KeyDone Reason = "key_done"
	// KeyReused refuses the intent: the key belongs to a call with a
	// different fingerprint.
	KeyReused Reason = "key_reused"
	// TooLate refuses the intent: the stream has advanced by at least Window
	// records since its After.
	TooLate Reason = "too_late"
)

// Decision is the ledger's verdict on one intent.
type Decision struct {
	Attempt  string
	Writer   platform.InstanceID
	Key      Key
	Accepted bool
	Reason   Reason
	// Fencing is the fencing number of the intent, if accepted.
	Fencing uint64
	// Holder is the status of the key at the time the intent was refused.
	Holder Status
}
