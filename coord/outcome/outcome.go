package outcome

import "sync/atomic"

// Outcome states whether a call ran.
type Outcome struct{ state state }

type state uint8

const (
	stateUnknown state = iota
	stateNotRun
	stateRan
)

// Unknown returns the outcome of a call that may have run. It is the zero value.
func Unknown() Outcome { return Outcome{state: stateUnknown} }

// Ran returns the outcome of a call that an endpoint answered.
func Ran() Outcome { return Outcome{state: stateRan} }

// IsNotRun reports whether the call certainly did not run.
func (o Outcome) IsNotRun() bool { return o.state == stateNotRun }

// HasRun reports whether the call certainly ran.
func (o Outcome) HasRun() bool { return o.state == stateRan }

// IsUnknown reports whether the call may have run but need not have.
func (o Outcome) IsUnknown() bool { return o.state == stateUnknown }

// String returns "not_run", "ran" or "unknown".
func (o Outcome) String() string {
	switch o.state {
	case stateNotRun:
		return "not_run"
	case stateRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Attempt tracks one dispatch, or one request over all its dispatches. In the
// zero value nothing has been sent. It is safe for concurrent use.
type Attempt struct {
	sent     atomic.Bool
	answered atomic.Bool
}

// MarkSent records that bytes of the request may be sent to an endpoint. It must
// be called before the first write, or before the dial if a write follows it.
func (a *Attempt) MarkSent() { a.sent.Store(true) }

// MarkAnswered records that an endpoint has answered the request completely.
func (a *Attempt) MarkAnswered() { a.answered.Store(true) }

// MayBeSent reports whether bytes of the request may have been sent.
func (a *Attempt) MayBeSent() bool { return a.sent.Load() }

// Outcome returns the current outcome of the request.
func (a *Attempt) Outcome() Outcome {
	if a.answered.Load() {
		return Ran()
	}
	if a.sent.Load() {
		return Unknown()
	}
	return Outcome{state: stateNotRun}
}
