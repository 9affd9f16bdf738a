package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// verdict is what became of one attempt.
type verdict int

const (
	// verdictNotSent: no byte of the request left.
	verdictNotSent verdict = iota
	// verdictNotExecuted: the endpoint said that it did not run the request.
	verdictNotExecuted
	// verdictDelivered: the client has the whole answer.
	verdictDelivered
	// verdictFailure: the endpoint's own answer is a failure, kept for the
	// client if nothing better comes.
	verdictFailure
	// verdictLowConfidence: the answer was dropped for a larger model's.
	verdictLowConfidence
	// verdictBroken: no answer, or one that broke off; it may have run.
	verdictBroken
	// verdictClientGone: the client left.
	verdictClientGone
)

var verdictNames = [...]string{
	"not sent", "not executed", "delivered", "failure", "low confidence", "broken", "client gone",
}

func (v verdict) String() string { return verdictNames[v] }

// attempt is one try of a request at one endpoint.
type attempt struct {
	run      *run
	place    Place
	endpoint pool.Record
	model    route.ModelName
	started  time.Time
	ended    time.Time

	verdict verdict
	// next is the model to ask after an answer of low confidence.
	next route.ModelName
	// heard is when the endpoint last sent something, in Unix nanoseconds, and
	// streaming tells that the first event has come.
	heard     atomic.Int64
	streaming atomic.Bool
	// crashed tells that the endpoint broke the connection.
	crashed     bool
	misdirected bool
	answer      *Answer
	failure     []byte
	events      int
	firstEvent  time.Duration
	lastEventAt time.Time
	longestGap  time.Duration
	err         error
}

// ran reports whether the endpoint may have run the request.
func (a *attempt) ran() bool { return a.verdict != verdictNotSent && a.verdict != verdictNotExecuted }

func (a *attempt) do(ctx context.Context) {
	defer a.end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if a.run.relay.Reach != nil && a.mayGoOnElsewhere() {
		watchdog := a.watch(ctx, cancel)
		defer watchdog.stop()
	}
	answer, err := a.run.relay.Endpoints.Send(ctx, a.call(), a.run.deadline)
	if err != nil {
		a.sendFailed(ctx, err)
		return
	}
	defer answer.Body.Close()
	a.answer = answer
	a.hear()
	if answer.HasLoad {
		a.place.Reported(answer.Running, answer.Waiting)
	}
	switch {
	case answer.NotExecuted:
		a.verdict, a.misdirected = verdictNotExecuted, answer.Misdirected
	case !answer.Genuine:
		a.verdict, a.err = verdictBroken, eris.New("answer is not the endpoint's own")
	case answer.Status >= http.StatusInternalServerError:
		a.keepFailure(ctx)
	case a.escalates():
		a.verdict = verdictLowConfidence
		a.noteFirstEvent()
		a.keepFallback()
	case a.run.permission.Route.Kind == route.Stream:
		a.copyStream(ctx)
	default:
		a.copyWhole(ctx)
	}
}

// end notes when the attempt ended, and how long no event came if none did.
func (a *attempt) end() {
	a.ended = time.Now()
	if a.firstEvent == 0 && a.ran() && a.verdict != verdictFailure {
		a.place.NoEvent(a.ended.Sub(a.started))
	}
}

func (a *attempt) call() *Call {
	r := a.run
	var dial time.Duration
	if r.relay.Dial != nil {
		dial = r.relay.Dial()
	}
	return &Call{
		Request:     r.request,
		Endpoint:    a.endpoint.ID,
		Address:     a.endpoint.Address,
		Account:     r.permission.Account,
		Model:       a.model,
		Left:        time.Until(r.deadline),
		ResumeAfter: r.lastEvent,
		Priority:    r.permission.Priority,
		Dial:        dial,
	}
}

// mayGoOnElsewhere reports whether another endpoint may take the request over
// if this one is silent.
func (a *attempt) mayGoOnElsewhere() bool {
	found := a.run.permission.Route
	return found.Repeatable() && a.run.runs+1 < found.MaxAttempts
}

// heardAt is when the endpoint last sent something, at first when it was
// called.
func (a *attempt) heardAt() time.Time { return time.Unix(0, a.heard.Load()) }

// hear notes that the endpoint sent something.
func (a *attempt) hear() {
	a.heard.Store(time.Now().UnixNano())
	a.place.Sign()
}

func (a *attempt) sendFailed(ctx context.Context, err error) {
	var failed *SendError
	if errors.As(err, &failed) && !failed.Departed {
		a.verdict, a.err = verdictNotSent, err
		return
	}
	a.broke(ctx, err)
}

// broke sorts an answer that did not come, or not whole.
func (a *attempt) broke(ctx context.Context, err error) {
	a.verdict, a.err = verdictBroken, err
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		a.crashed = !errors.Is(err, os.ErrDeadlineExceeded)
	case errors.Is(cause, errUnreachable) || errors.Is(cause, errStuck):
		a.err = cause
	case errors.Is(cause, context.Canceled):
		a.verdict = verdictClientGone
	}
}

// escalates reports whether the answer is dropped for a larger model's.
func (a *attempt) escalates() bool {
	r := a.run
	found := r.permission.Route
	if !found.Repeatable() || !a.answer.HasConfidence || r.begun || r.runs+1 >= found.MaxAttempts {
		return false
	}
	next, ok := r.relay.Planner.Next(r.progress(), a.model, a.answer.Confidence)
	if !ok || r.arrivals >= maxArrivals || !r.budget.Escalate(time.Now()) {
		return false
	}
	a.next = next
	return true
}

func (a *attempt) begin() {
	if a.run.begun {
		return
	}
	a.run.begun = true
	a.run.status = a.answer.Status
	a.run.client.Begin(Head{Status: a.answer.Status, Header: a.answer.Header})
}

// copyWhole keeps the answer until it is whole, then passes it on.
func (a *attempt) copyWhole(ctx context.Context) {
	_ = a.answer.Body.SetReadDeadline(a.run.deadline) // a failure shows in the read
	body, err := io.ReadAll(io.LimitReader(a.answer.Body, maxAnswerBytes))
	if err != nil {
		a.broke(ctx, err)
		return
	}
	a.noteFirstEvent()
	a.begin()
	a.verdict = verdictDelivered
	if err := a.run.client.Write(body); err != nil {
		a.verdict, a.err = verdictClientGone, err
	}
}

func (a *attempt) noteFirstEvent() {
	if a.firstEvent > 0 {
		return
	}
	a.firstEvent = time.Since(a.started)
	a.streaming.Store(true)
	a.place.FirstEvent(a.firstEvent)
}

// pace is the mean time from event to event, 0 if there were too few.
func (a *attempt) pace() time.Duration {
	if a.events < leastPaceEvents {
		return 0
	}
	return (a.ended.Sub(a.started) - a.firstEvent) / time.Duration(a.events-1)
}

// delivery tells how the answer reached the client.
func (a *attempt) delivery() Delivery {
	first := a.firstEvent
	if first == 0 {
		first = a.ended.Sub(a.started)
	}
	return Delivery{
		FirstEvent: a.started.Sub(a.run.request.Received) + first,
		LongestGap: a.longestGap,
		Whole:      a.verdict == verdictDelivered,
		LongPrompt: a.place.LongPrompt(),
	}
}

// ending is what the attempt tells of its endpoint.
func (a *attempt) ending() Ending {
	return Ending{Result: a.result(), Crashed: a.crashed, FirstEvent: a.firstEvent, Pace: a.pace()}
}

func (a *attempt) result() pool.Result {
	switch a.verdict {
	case verdictDelivered, verdictLowConfidence:
		return pool.Succeeded
	case verdictFailure:
		return pool.Failed
	case verdictNotExecuted:
		if a.misdirected {
			return pool.Replaced
		}
		return pool.Full
	case verdictClientGone:
		return pool.Abandoned
	default:
		return pool.Broken
	}
}

func (a *attempt) event() *AttemptEvent {
	event := &AttemptEvent{
		RequestID:  a.run.request.ID,
		Session:    a.run.request.Session,
		Number:     a.run.arrivals,
		Service:    a.run.service,
		Endpoint:   string(a.endpoint.ID),
		Version:    a.endpoint.Version,
		Model:      a.model,
		Revision:   a.run.permission.Revision,
		Verdict:    a.verdict.String(),
		Events:     a.events,
		Took:       a.ended.Sub(a.started),
		FirstEvent: a.firstEvent,
		SinceStart: a.started.Sub(a.run.request.Received),
		LongestGap: a.longestGap,
		Err:        a.err,
	}
	if a.answer != nil {
		event.Status, event.Confidence = a.answer.Status, a.answer.Confidence
	}
	return event
}
