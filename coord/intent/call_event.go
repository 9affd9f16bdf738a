package intent

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Event is something that happened to a [Call]. The types are [Start],
// [Decided], [Tick], [DispatchResult], [Cancelled], [Rejected], [LogLost] and
// [Withdrawn].
type Event interface{ isEvent() }

// Start begins the call. It comes first and once.
type Start struct {
	// LogAvailable tells whether an intent can be expected to reach the log
	// now, and RetryAfter when it is worth to ask again if not.
	LogAvailable bool
	RetryAfter   time.Duration
	// CaughtUp tells whether the ledger is complete and has been folded to an
	// end of the stream that was read after this instance started.
	CaughtUp bool
	// Full tells whether the ledger is full.
	Full bool
	// Folded is the ledger's [Ledger.Last].
	Folded platform.Offset
	// Status is the ledger's knowledge of the call's key.
	Status Status
	// HolderGone tells whether the writer of a claimed key is believed dead.
	HolderGone bool
}

// Decided is the ledger's decision on the call's own intent.
type Decided struct {
	Decision Decision
	// HolderGone tells whether the writer of the intent that this one met is
	// believed dead.
	HolderGone bool
}

// Tick says that time has passed.
type Tick struct{}

// DispatchResult is the answer to a [Dispatch] effect.
type DispatchResult struct {
	// Outcome is not-run if no byte has left, ran if the endpoint answered
	// whole, and unknown otherwise.
	Outcome outcome.Outcome
	// Refused says that the endpoint answered whole that it did not start the
	// call.
	Refused bool
	// Status and Body are the endpoint's answer.
	Status int
	Body   []byte
	// MayRetry says that another endpoint can be tried if the outcome is
	// not-run.
	MayRetry bool
}

// Cancelled says that the caller has gone.
type Cancelled struct{}

// Rejected says that the outbox did not take the entry of an [AddEntry].
type Rejected struct{ RetryAfter time.Duration }

// LogLost says that the log has become unavailable. A call whose intent is not
// decided asks to withdraw it, so that its caller need not wait for the
// deadline.
type LogLost struct{}

// Withdrawn says that the call's intent is certainly not in the log and never
// will be, because the outbox has withdrawn it.
type Withdrawn struct{ RetryAfter time.Duration }

func (Start) isEvent()          {}
func (Decided) isEvent()        {}
func (Tick) isEvent()           {}
func (DispatchResult) isEvent() {}
func (Cancelled) isEvent()      {}
func (Rejected) isEvent()       {}
func (LogLost) isEvent()        {}
func (Withdrawn) isEvent()      {}

// Effect is something for the caller of [Call.Step] to do. The types are
// [AddEntry], [Withdraw], [Dispatch] and [Respond].
type Effect interface{ isEffect() }

// AddEntry asks to add an entry to the outbox of the intents stream. A failure
// to do so is answered by [Rejected].
type AddEntry struct{ Entry platform.Entry }

// Withdraw asks to withdraw an entry from the outbox. Success is answered by
// [Withdrawn].
type Withdraw struct{ ID string }

// Dispatch permits to send the call to one endpoint now, once. It is answered
// by one [DispatchResult].
type Dispatch struct {
	// Fencing is passed to the endpoint; 0 for a call without a key.
	Fencing uint64
}

// Respond asks to answer the caller. It is issued at most once.
type Respond struct {
	Kind ResponseKind
	// Status and Body are the endpoint's answer, for Answered and Replayed. A
	// replay without the body has Truncated set.
	Status    int
	Body      []byte
	Truncated bool
	// Reason and RetryAfter go with NotRun and InProgress.
	Reason     RefusalReason
	RetryAfter time.Duration
	// Outcome tells whether this request let the call run.
	Outcome outcome.Outcome
}

func (AddEntry) isEffect() {}
func (Withdraw) isEffect() {}
func (Dispatch) isEffect() {}
func (Respond) isEffect()  {}

// ResponseKind tells how a call is answered.
type ResponseKind string

// Kinds of responses.
const (
	// Answered carries the endpoint's answer.
	Answered ResponseKind = "answered"
	// Replayed carries the answer that an earlier request with the key got.
	Replayed ResponseKind = "replayed"
	// NotRun says that this request did not run the call and never will.
	NotRun ResponseKind = "not_run"
	// OutcomeUnknown says that the call may have run.
	OutcomeUnknown ResponseKind = "outcome_unknown"
	// InProgress says that another request with the key is being worked on.
	InProgress ResponseKind = "in_progress"
	// Conflict says that the key belongs to another call.
	Conflict ResponseKind = "key_reused"
)

// RefusalReason tells why a call was not run.
type RefusalReason string

// Reasons of a refusal.
const (
	LogUnavailable   RefusalReason = "log_unavailable"
	LedgerNotReady   RefusalReason = "ledger_not_ready"
	LedgerFull       RefusalReason = "ledger_full"
	OutboxFull       RefusalReason = "outbox_full"
	DeadlineExceeded RefusalReason = "deadline_exceeded"
	NoEndpoint       RefusalReason = "no_endpoint"
	CallerGone       RefusalReason = "caller_gone"
)
