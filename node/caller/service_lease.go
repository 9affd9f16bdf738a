package caller

import (
	"net/http"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// serviceLease is the [relay.Lease] of a call at an endpoint of a plain service.
type serviceLease struct {
	relay.NopLease
	call      *serviceCall
	candidate placement.Candidate
	started   time.Time
}

// Endpoint implements [relay.Lease].
func (l *serviceLease) Endpoint() pool.Record {
	return pool.Record{
		ID: l.candidate.ID, Service: route.ServiceName(l.call.service), Address: l.candidate.Address,
		Zone: l.candidate.Zone, Slots: l.call.slots,
	}
}

// End implements [relay.Lease].
func (l *serviceLease) End(attempt relay.AttemptResult) {
	endpoints := l.call.server.Endpoints
	failed := attempt.Result == pool.Broken
	endpoints.RecordCompletion(time.Now(), l.candidate.ID, time.Since(l.started), failed)
	if attempt.Result == pool.Full {
		endpoints.PollAfterRefusal(platform.ListedEndpoint{ID: l.candidate.ID, Address: l.candidate.Address})
	}
}

// serviceWriter is the [relay.Client] of a call to a plain service. It buffers
// the answer.
type serviceWriter struct {
	head    relay.Head
	body    []byte
	refusal *relay.Refusal
	end     relay.AnswerEnd
}

// Begin implements [relay.Client].
func (w *serviceWriter) Begin(head relay.Head) { w.head = head }

// Write implements [relay.Client].
func (w *serviceWriter) Write(p []byte) error {
	w.body = append(w.body, p...)
	return nil
}

// End implements [relay.Client].
func (w *serviceWriter) End(end relay.AnswerEnd) { w.end = end }

// Refuse implements [relay.Client].
func (w *serviceWriter) Refuse(refusal *relay.Refusal) { w.refusal = refusal }

// finish sends the answer or the refusal to the caller.
func (w *serviceWriter) finish(call *serviceCall) error {
	switch {
	case w.refusal != nil:
		return call.server.refuse(call.echo, serviceProblem(w.refusal))
	case w.end != relay.AnswerComplete:
		return call.server.refuse(call.echo, call.unknownOutcomeProblem(problem.OutcomeUnknown, http.StatusBadGateway, "the answer is incomplete"))
	default:
		return call.echo.Blob(w.head.Status, w.head.Header.Get(contentType), w.body)
	}
}

// serviceProblem converts a refusal to a problem. The answer is buffered, so a caller
// never has a part of it: an interrupted answer is reported as an unknown outcome.
func serviceProblem(refusal *relay.Refusal) *problem.Problem {
	prob := problemOf(refusal)
	if prob.Type == problem.AnswerInterrupted {
		prob.Type = problem.OutcomeUnknown
	}
	return prob
}
