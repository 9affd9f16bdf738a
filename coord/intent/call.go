package intent

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// CallConfig describes one request.
type CallConfig struct {
	// Writer is this instance.
	Writer platform.InstanceID
	// Key identifies the call. Without a token it is known to no other
	// request, and is dispatched without the log.
	Key Key
	// Attempt is unique to this request.
	Attempt string
	// Fingerprint is a digest of the call's content.
	Fingerprint string
	// Deadline is when the caller has no more use for an answer.
	Deadline time.Time
	// MaxBody bounds the body, in bytes, that is kept for replays.
	MaxBody int
	// RetryAfter is what a caller is told whose call is in progress or could
	// not be decided in time.
	RetryAfter time.Duration
}

// callState is where a call stands.
type callState uint8

const (
	created    callState = iota
	undecided            // the intent is on its way, the caller waits
	abandoning           // the intent is on its way, the caller has its answer
	dispatched           // an endpoint may have the call
	closed               // nothing more will be done, but for an outcome to add
)

// Call is one request for a call that must run at most once, at the instance
// that received it. It is not safe for concurrent use.
type Call struct {
	cfg       CallConfig
	state     callState
	fencing   uint64
	responded bool
	// progress follows what has left for endpoints; its outcome decides
	// whether "not run" may be said.
	progress *outcome.Attempt
	// closing is the entry with the call's outcome, and rejected is set while
	// the outbox has not taken it.
	closing  platform.Entry
	rejected bool
}

// NewCall returns a call that has not started. progress must be marked by
// whatever sends the call to endpoints.
func NewCall(cfg CallConfig, progress *outcome.Attempt) *Call {
	return &Call{cfg: cfg, progress: progress}
}

// Attempt returns the attempt that decisions name.
func (c *Call) Attempt() string { return c.cfg.Attempt }

// Finished tells, once the effects of the last Step have been carried out,
// whether the call needs no more events. Until then it must be kept, also after
// the caller has its answer.
func (c *Call) Finished() bool { return c.state == closed && !c.rejected }

// Step takes an event in and returns what is to be done.
func (c *Call) Step(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case Start:
		return c.start(now, event)
	case Decided:
		return c.decide(now, event)
	case DispatchResult:
		return c.finish(now, event)
	case Cancelled:
		return c.giveUp(CallerGone)
	case LogLost:
		return c.logLost()
	case Withdrawn:
		return c.withdrawn(event)
	case Rejected:
		return c.reject(event)
	default:
		return c.tick(now)
	}
}

func (c *Call) start(now time.Time, event Start) []Effect {
	if c.state != created {
		return nil
	}
	switch {
	case !now.Before(c.cfg.Deadline):
		return c.refuse(DeadlineExceeded, 0)
	case c.cfg.Key.Token == "":
		return c.dispatch()
	case event.Status.State != Free:
		return c.meet(event.Status, event.HolderGone)
	case !event.CaughtUp:
		return c.refuse(LedgerNotReady, event.RetryAfter)
	case event.Full:
		return c.refuse(LedgerFull, event.RetryAfter)
	case !event.LogAvailable:
		return c.refuse(LogUnavailable, event.RetryAfter)
	}
	entry, err := c.intentEntry(event.Folded)
	if err != nil {
		return c.refuse(OutboxFull, event.RetryAfter)
	}
	c.state = undecided
	return []Effect{AddEntry{Entry: entry}}
}

// decide acts on the decision on this call's intent. Dispatching is permitted
// here and nowhere else: the intent was accepted, which happens to one intent
// of a key until its writer gives the key up, and the call has not been given
// up.
func (c *Call) decide(now time.Time, event Decided) []Effect {
	d := event.Decision
	if d.Attempt != c.cfg.Attempt || d.Writer != c.cfg.Writer {
		return nil
	}
	switch {
	case c.state == abandoning && d.Accepted:
		return c.abandon()
	case c.state == abandoning:
		c.state = closed
		return nil
	case c.state != undecided:
		return nil
	case d.Reason == TooLate:
		return c.refuse(LogUnavailable, c.cfg.RetryAfter)
	case !d.Accepted:
		return c.meet(d.Holder, event.HolderGone)
	case !now.Before(c.cfg.Deadline):
		return append(c.refuse(DeadlineExceeded, c.cfg.RetryAfter), c.abandon()...)
	}
	c.fencing = d.Fencing
	return c.dispatch()
}

func (c *Call) tick(now time.Time) []Effect {
	if c.rejected {
		c.rejected = false
		return []Effect{AddEntry{Entry: c.closing}}
	}
	if now.Before(c.cfg.Deadline) {
		return nil
	}
	return c.giveUp(DeadlineExceeded)
}

// giveUp answers a caller who waits no longer. An undecided intent may still
// be accepted, so the call stays to free the key then.
func (c *Call) giveUp(reason RefusalReason) []Effect {
	switch c.state {
	case created:
		return c.refuse(reason, c.cfg.RetryAfter)
	case undecided:
		effects := c.refuse(reason, c.cfg.RetryAfter)
		c.state = abandoning
		return append(effects, Withdraw{ID: c.intentID()})
	case dispatched:
		return c.respond(Respond{Kind: OutcomeUnknown, Outcome: outcome.Unknown()})
	default:
		return nil
	}
}

func (c *Call) logLost() []Effect {
	if c.state != undecided {
		return nil
	}
	return []Effect{Withdraw{ID: c.intentID()}}
}

func (c *Call) withdrawn(event Withdrawn) []Effect {
	switch c.state {
	case undecided:
		return c.refuse(LogUnavailable, event.RetryAfter)
	case abandoning:
		c.state = closed
	}
	return nil
}

func (c *Call) reject(event Rejected) []Effect {
	if c.state == undecided {
		return c.refuse(OutboxFull, event.RetryAfter)
	}
	c.rejected = c.state == closed && c.closing.ID != ""
	return nil
}

// meet answers a caller whose key another request holds or has used.
func (c *Call) meet(holder Status, holderGone bool) []Effect {
	c.state = closed
	r := Respond{Outcome: c.progress.Outcome()}
	switch {
	case holder.Fingerprint != c.cfg.Fingerprint:
		r.Kind = Conflict
	case holder.State == Done && holder.Outcome.Unknown, holder.State == Claimed && holderGone:
		r.Kind = OutcomeUnknown
	case holder.State == Done:
		r.Kind = Replayed
		r.Status = holder.Outcome.Status
		r.Body = holder.Outcome.Body
		r.Truncated = holder.Outcome.Truncated
	default:
		r.Kind = InProgress
		r.RetryAfter = c.cfg.RetryAfter
	}
	return c.respond(r)
}

func (c *Call) dispatch() []Effect {
	c.state = dispatched
	return []Effect{Dispatch{Fencing: c.fencing}}
}

// finish acts on the result of a dispatch. A next dispatch is permitted only
// if no byte of the last one has left.
func (c *Call) finish(now time.Time, result DispatchResult) []Effect {
	if c.state != dispatched {
		return nil
	}
	notRun := result.Outcome.IsNotRun() && !c.progress.Departed()
	switch {
	case notRun && result.MayRetry && !c.responded && now.Before(c.cfg.Deadline):
		return c.dispatch()
	case notRun:
		return append(c.refuse(NoEndpoint, c.cfg.RetryAfter), c.abandon()...)
	case result.Refused:
		return append(c.answer(result), c.abandon()...)
	case result.Outcome.IsRan():
		return append(c.answer(result), c.record(result)...)
	default:
		effects := c.respond(Respond{Kind: OutcomeUnknown, Outcome: outcome.Unknown()})
		return append(effects, c.close(Outcome{Unknown: true})...)
	}
}

func (c *Call) answer(result DispatchResult) []Effect {
	return c.respond(Respond{
		Kind:    Answered,
		Status:  result.Status,
		Body:    result.Body,
		Outcome: result.Outcome,
	})
}

func (c *Call) record(result DispatchResult) []Effect {
	out := Outcome{Status: result.Status, Body: result.Body}
	if len(out.Body) > c.cfg.MaxBody {
		out.Body, out.Truncated = nil, true
	}
	return c.close(out)
}

func (c *Call) abandon() []Effect { return c.close(Outcome{Abandoned: true}) }

// close ends the call and puts its outcome on the way to the log.
func (c *Call) close(out Outcome) []Effect {
	c.state = closed
	if c.cfg.Key.Token == "" {
		return nil
	}
	out.Key = c.cfg.Key
	out.Attempt = c.cfg.Attempt
	out.Fingerprint = c.cfg.Fingerprint
	entry, err := platform.NewEntry(outcomeID(c.cfg.Attempt), KindOutcome, c.cfg.Writer, out)
	if err != nil {
		return nil
	}
	c.closing = entry
	return []Effect{AddEntry{Entry: entry}}
}

// refuse answers that the call was not run, unless something has left for an
// endpoint.
func (c *Call) refuse(reason RefusalReason, retryAfter time.Duration) []Effect {
	c.state = closed
	r := Respond{Kind: NotRun, Reason: reason, RetryAfter: retryAfter, Outcome: c.progress.Outcome()}
	if !r.Outcome.IsNotRun() {
		r = Respond{Kind: OutcomeUnknown, Outcome: outcome.Unknown()}
	}
	return c.respond(r)
}

func (c *Call) respond(r Respond) []Effect {
	if c.responded {
		return nil
	}
	c.responded = true
	return []Effect{r}
}

func (c *Call) intentID() string { return "intent/" + c.cfg.Attempt }

func (c *Call) intentEntry(after platform.Offset) (platform.Entry, error) {
	return platform.NewEntry(c.intentID(), KindIntent, c.cfg.Writer, Intent{
		Key:         c.cfg.Key,
		Attempt:     c.cfg.Attempt,
		Fingerprint: c.cfg.Fingerprint,
		After:       after,
	})
}

func outcomeID(attempt string) string { return "outcome/" + attempt }

// AbandonEntry frees the key of an accepted intent that no call of this
// instance knows, such as one that was appended again long after its call had
// been finished. It may be used only for decisions whose writer is this
// instance and whose attempt no call has.
func AbandonEntry(d Decision) (platform.Entry, error) {
	entry, err := platform.NewEntry(outcomeID(d.Attempt), KindOutcome, d.Writer, Outcome{
		Key:       d.Key,
		Attempt:   d.Attempt,
		Abandoned: true,
	})
	return entry, eris.Wrap(err, "intent: abandon")
}
