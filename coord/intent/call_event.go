package intent

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Event is an input of [Call.Step]. The types are [Start], [Decided], [Tick],
// [DispatchResult], [Cancelled], [Rejected], [LogLost] and [Withdrawn].
type Event interface{ isEvent() }

// Start starts the call. It must be the first event and is sent once.
type Start struct {
	// LogAvailable reports whether an intent is expected to reach the log now.
	// RetryAfter is the delay suggested to the caller if the call is refused
	// because the log is unavailable, or the ledger incomplete or full.
	LogAvailable bool
	RetryAfter   time.Duration
	// CaughtUp reports whether the ledger is complete and has folded the
	// stream up to an end that was read after this instance started.
	CaughtUp bool
	// Full reports whether the ledger is full, see [Ledger.Full].
	Full bool
	// Folded is the last offset that the ledger has folded, see [Ledger.LastOffset].
	Folded platform.Offset
	// Status is the ledger's status of the call's key.
	Status Status
	// HolderGone reports whether the writer of a claimed key is considered
	// gone.
	HolderGone bool
}

// Decided is the ledger's decision on the call's own intent.
type Decided struct {
	Decision Decision
	// HolderGone reports whether the writer that holds the key of a refused
	// intent is considered gone.
	HolderGone bool
}

// Tick reports that time has passed.
type Tick struct{}

// DispatchResult is the answer to a [Dispatch] effect.
type DispatchResult struct {
	// Outcome is not-run if no byte was sent, ran if the endpoint answered
	// completely, and unknown otherwise.
	Outcome outcome.Outcome
	// Refused reports that the endpoint sent a complete answer saying that it
	// did not start the call.
	Refused bool
	// Status and Body are the endpoint's answer.
	Status int
	Body   []byte
	// MayRetry reports whether another endpoint can be tried if the outcome
	// is not-run.
	MayRetry bool
}

// Cancelled reports that the caller has disconnected.
type Cancelled struct{}

// Rejected reports that the outbox rejected the entry of an [AddEntry].
type Rejected struct{ RetryAfter time.Duration }

// LogLost reports that the log has become unavailable. A call whose intent is
// undecided requests its withdrawal, so that the caller need not wait for the
// deadline.
type LogLost struct{}

// Withdrawn reports that the outbox has withdrawn the call's intent: it is not
// in the log and never will be.
type Withdrawn struct{ RetryAfter time.Duration }

func (Start) isEvent()          {}
func (Decided) isEvent()        {}
func (Tick) isEvent()           {}
func (DispatchResult) isEvent() {}
func (Cancelled) isEvent()      {}
func (Rejected) isEvent()       {}
func (LogLost) isEvent()        {}
func (Withdrawn) isEvent()      {}

// Effect is an action that the caller of [Call.Step] must carry out. The types
// are [AddEntry], [Withdraw], [Dispatch] and [Respond].
type Effect interface{ isEffect() }

// AddEntry adds an entry to the outbox of the intents stream. If that fails,
// the caller sends [Rejected].
type AddEntry struct{ Entry platform.Entry }

// Withdraw withdraws an entry from the outbox. If that succeeds, the caller
// sends [Withdrawn].
type Withdraw struct{ ID string }

// Dispatch permits the caller to send the call to one endpoint, once and now.
// The caller sends one [DispatchResult] for it.
type Dispatch struct {
	// Fencing is the fencing number to pass to the endpoint; 0 for a call
	// without a token.
	Fencing uint64
}

// Respond answers the request. It is returned at most once per call.
type Respond struct {
	Kind ResponseKind
	// Status and Body are the endpoint's answer, for Answered and Replayed.
	// Truncated is set for a replay whose body is not stored.
	Status    int
	Body      []byte
	Truncated bool
	// Reason is set for NotRun, RetryAfter for NotRun and InProgress.
	Reason     RefusalReason
	RetryAfter time.Duration
	// Outcome states whether this request ran the call, or that it is unknown.
	Outcome outcome.Outcome
}

func (AddEntry) isEffect() {}
func (Withdraw) isEffect() {}
func (Dispatch) isEffect() {}
func (Respond) isEffect()  {}

// ResponseKind is the kind of answer to a request.
type ResponseKind string

// Kinds of responses.
const (
	// Answered carries the endpoint's answer.
	Answered ResponseKind = "answered"
	// Replayed carries the answer to an earlier request with the same key.
	Replayed ResponseKind = "replayed"
	// NotRun states that this request did not run the call and never will.
	NotRun ResponseKind = "not_run"
	// OutcomeUnknown states that the call may have run.
	OutcomeUnknown ResponseKind = "outcome_unknown"
	// InProgress states that another request with the key has no outcome yet.
	InProgress ResponseKind = "in_progress"
	// Conflict states that the key belongs to a call with a different
	// fingerprint.
	Conflict ResponseKind = "key_reused"
)

// RefusalReason is why a call was not run.
type RefusalReason string

// Reasons for a refusal.
const (
	LogUnavailable   RefusalReason = "log_unavailable"
	LedgerNotReady   RefusalReason = "ledger_not_ready"
	LedgerFull       RefusalReason = "ledger_full"
	OutboxFull       RefusalReason = "outbox_full"
	DeadlineExceeded RefusalReason = "deadline_exceeded"
	NoEndpoint       RefusalReason = "no_endpoint"
	CallerGone       RefusalReason = "caller_gone"
)
