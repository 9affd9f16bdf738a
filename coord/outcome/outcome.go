package outcome

import "sync/atomic"

// Outcome tells whether a call ran.
type Outcome struct{ state state }

type state uint8

const (
	stateUnknown state = iota
	stateNotRun
	stateRan
)

// Unknown is the outcome of a call that may have run. It is the zero value.
func Unknown() Outcome { return Outcome{state: stateUnknown} }

// Ran is the outcome of a call that an endpoint answered.
func Ran() Outcome { return Outcome{state: stateRan} }

// IsNotRun reports whether the call certainly did not run.
func (o Outcome) IsNotRun() bool { return o.state == stateNotRun }

// IsRan reports whether the call certainly ran.
func (o Outcome) IsRan() bool { return o.state == stateRan }

// IsUnknown reports whether the call may or may not have run.
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

// Attempt follows one request over all its dispatches. The zero value is a
// request that nothing has been sent for. Its methods may be called from
// several goroutines.
type Attempt struct {
	departed atomic.Bool
	answered atomic.Bool
}

// Depart marks that bytes of the request may leave for an endpoint. It must
// be called before the first write, or before the dial that a write follows.
func (a *Attempt) Depart() { a.departed.Store(true) }

// Answer marks that an endpoint has answered the request whole.
func (a *Attempt) Answer() { a.answered.Store(true) }

// Departed reports whether bytes may have left.
func (a *Attempt) Departed() bool { return a.departed.Load() }

// Outcome returns what is known of the request.
func (a *Attempt) Outcome() Outcome {
	if a.answered.Load() {
		return Ran()
	}
	if a.departed.Load() {
		return Unknown()
	}
	return Outcome{state: stateNotRun}
}
