package intent

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// CallConfig describes one request.
type CallConfig struct {
	// Writer is the ID of the local instance.
	Writer platform.InstanceID
	// Key identifies the call. A call without a token has no duplicates and
	// is dispatched without an intent.
	Key Key
	// Attempt uniquely identifies this request.
	Attempt string
	// Fingerprint is a digest of the call's content.
	Fingerprint string
	// Deadline is the time after which the caller needs no answer.
	Deadline time.Time
	// MaxBody bounds the body that is stored for replays, in bytes.
	MaxBody int
	// RetryAfter is the delay suggested to a caller whose call is in progress,
	// was not decided in time or found no endpoint.
	RetryAfter time.Duration
}

// callState is the state of a [Call].
type callState uint8

const (
	created    callState = iota
	undecided            // the intent has no decision yet, the caller waits
	abandoning           // the intent has no decision yet, the caller has been answered
	dispatched           // an endpoint may have received the call
	closed               // no action remains, except to add a rejected outcome again
)

// Call is the state machine of one request for a call that must run at most
// once, at the instance that received the request. It is not safe for
// concurrent use.
type Call struct {
	cfg       CallConfig
	state     callState
	fencing   uint64
	responded bool
	// progress records whether bytes of the request may have been sent to an
	// endpoint. After that, the request is never answered "not run".
	progress *outcome.Attempt
	// outcomeEntry is the entry with the call's outcome. outcomeRejected is
	// set while the outbox has rejected it; the next Tick adds it again.
	outcomeEntry    platform.Entry
	outcomeRejected bool
}

// NewCall returns a call that has not started. The code that sends the call to
// endpoints must mark progress.
func NewCall(cfg CallConfig, progress *outcome.Attempt) *Call {
	return &Call{cfg: cfg, progress: progress}
}

// Attempt returns the attempt that identifies this call in a [Decision].
func (c *Call) Attempt() string { return c.cfg.Attempt }

// Finished reports whether the call needs no more events. It is valid once the
// effects of the last Step have been carried out. An unfinished call must be
// kept even if its caller has been answered.
func (c *Call) Finished() bool { return c.state == closed && !c.outcomeRejected }

// Step applies an event and returns the effects to carry out.
func (c *Call) Step(now time.Time, event Event) []Effect {
	switch event := event.(type) {
	case Start:
		return c.onStart(now, event)
	case Decided:
		return c.onDecided(now, event)
	case DispatchResult:
		return c.onDispatchResult(now, event)
	case Cancelled:
		return c.giveUp(CallerGone)
	case LogLost:
		return c.onLogLost()
	case Withdrawn:
		return c.onWithdrawn(event)
	case Rejected:
		return c.onRejected(event)
	default:
		return c.onTick(now)
	}
}

func (c *Call) onStart(now time.Time, event Start) []Effect {
	if c.state != created {
		return nil
	}
	switch {
	case !now.Before(c.cfg.Deadline):
		return c.refuse(DeadlineExceeded, 0)
	case c.cfg.Key.Token == "":
		return c.dispatch()
	case event.Status.State != Free:
		return c.respondDuplicate(event.Status, event.HolderGone)
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

// onDecided handles the decision on this call's intent. For a call with a token
// it is the only place that permits a first dispatch: the intent was accepted,
// no other intent of the key is accepted until this call abandons the key or the
// key expires, and this call has not abandoned the key.
func (c *Call) onDecided(now time.Time, event Decided) []Effect {
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
		return c.respondDuplicate(d.Holder, event.HolderGone)
	case !now.Before(c.cfg.Deadline):
		return append(c.refuse(DeadlineExceeded, c.cfg.RetryAfter), c.abandon()...)
	}
	c.fencing = d.Fencing
	return c.dispatch()
}

func (c *Call) onTick(now time.Time) []Effect {
	if c.outcomeRejected {
		c.outcomeRejected = false
		return []Effect{AddEntry{Entry: c.outcomeEntry}}
	}
	if now.Before(c.cfg.Deadline) {
		return nil
	}
	return c.giveUp(DeadlineExceeded)
}

// giveUp answers the caller after its deadline or disconnection. An undecided
// intent may still be accepted, so the call stays open to free the key then.
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

func (c *Call) onLogLost() []Effect {
	if c.state != undecided {
		return nil
	}
	return []Effect{Withdraw{ID: c.intentID()}}
}

func (c *Call) onWithdrawn(event Withdrawn) []Effect {
	switch c.state {
	case undecided:
		return c.refuse(LogUnavailable, event.RetryAfter)
	case abandoning:
		c.state = closed
	}
	return nil
}

func (c *Call) onRejected(event Rejected) []Effect {
	if c.state == undecided {
		return c.refuse(OutboxFull, event.RetryAfter)
	}
	c.outcomeRejected = c.state == closed && c.outcomeEntry.ID != ""
	return nil
}

// respondDuplicate answers a caller whose key is claimed or done by another
// request.
func (c *Call) respondDuplicate(holder Status, holderGone bool) []Effect {
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

// onDispatchResult handles the result of a dispatch. Another dispatch is
// permitted only if no byte of the previous one was sent.
func (c *Call) onDispatchResult(now time.Time, result DispatchResult) []Effect {
	if c.state != dispatched {
		return nil
	}
	notRun := result.Outcome.IsNotRun() && !c.progress.MayBeSent()
	switch {
	case notRun && result.MayRetry && !c.responded && now.Before(c.cfg.Deadline):
		return c.dispatch()
	case notRun:
		return append(c.refuse(NoEndpoint, c.cfg.RetryAfter), c.abandon()...)
	case result.Refused:
		return append(c.respondAnswered(result), c.abandon()...)
	case result.Outcome.HasRun():
		return append(c.respondAnswered(result), c.closeWithAnswer(result)...)
	default:
		effects := c.respond(Respond{Kind: OutcomeUnknown, Outcome: outcome.Unknown()})
		return append(effects, c.close(Outcome{Unknown: true})...)
	}
}

func (c *Call) respondAnswered(result DispatchResult) []Effect {
	return c.respond(Respond{
		Kind:    Answered,
		Status:  result.Status,
		Body:    result.Body,
		Outcome: result.Outcome,
	})
}

func (c *Call) closeWithAnswer(result DispatchResult) []Effect {
	out := Outcome{Status: result.Status, Body: result.Body}
	if len(out.Body) > c.cfg.MaxBody {
		out.Body, out.Truncated = nil, true
	}
	return c.close(out)
}

func (c *Call) abandon() []Effect { return c.close(Outcome{Abandoned: true}) }

// close ends the call and returns the effect that records its outcome, or none
// for a call without a token.
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
	c.outcomeEntry = entry
	return []Effect{AddEntry{Entry: entry}}
}

// refuse answers that the call was not run, or that its outcome is unknown if
// bytes of it may have been sent to an endpoint.
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

// NewAbandonedEntry returns an entry that frees the key of an accepted intent
// that belongs to no open call, for example an intent that was appended again
// long after its call had finished. Use it only for decisions whose writer is
// the local instance and whose attempt no open call has.
func NewAbandonedEntry(d Decision) (platform.Entry, error) {
	entry, err := platform.NewEntry(outcomeID(d.Attempt), KindOutcome, d.Writer, Outcome{
		Key:       d.Key,
		Attempt:   d.Attempt,
		Abandoned: true,
	})
	return entry, eris.Wrap(err, "intent: encode abandoned outcome")
}
