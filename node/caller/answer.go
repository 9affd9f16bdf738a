package caller

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// chatWriter is the [relay.Client] of a chat request. It buffers an answer that
// is not streamed until the bill is recorded. It sends the frames of a stream as they
// arrive, but the end marker only after the bill is recorded.
type chatWriter struct {
	exchange *exchange
	// plan lists the versions that may answer the request.
	plan chatPlan
	// streaming reports that the caller asked for a stream.
	streaming bool

	head    *relay.Head
	body    []byte
	problem *problem.Problem
	end     relay.AnswerEnd
}

// Begin implements [relay.Client].
func (w *chatWriter) Begin(head relay.Head) {
	w.head = &head
	if w.streaming {
		w.writeHead()
	}
}

// writeHead sets the headers of the answer and, for a stream, sends them.
func (w *chatWriter) writeHead() {
	response := w.exchange.echo.Response()
	header := response.Header()
	for name, values := range w.head.Header {
		header[name] = values
	}
	if w.head.Fallback {
		header.Set(HeaderDegraded, "true")
	}
	observationOf(w.exchange.echo).recordFirstFrame(w.answeredBy())
	if w.streaming {
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		response.WriteHeader(http.StatusOK)
	}
}

// answeredBy returns the version that answered, or the zero value if none has.
func (w *chatWriter) answeredBy() document.Ref {
	if w.head == nil {
		return document.Ref{}
	}
	return w.plan[w.plan.stepIndex(route.ModelName(w.head.Header.Get(HeaderModel)))].Ref
}

// Write implements [relay.Client].
func (w *chatWriter) Write(p []byte) error {
	if !w.streaming {
		w.body = append(w.body, p...)
		return nil
	}
	return w.send(p)
}

func (w *chatWriter) send(p []byte) error {
	response := w.exchange.echo.Response()
	if _, err := response.Write(p); err != nil {
		return err
	}
	response.Flush()
	return nil
}

// End implements [relay.Client].
func (w *chatWriter) End(end relay.AnswerEnd) { w.end = end }

// Refuse implements [relay.Client].
func (w *chatWriter) Refuse(refusal *relay.Refusal) { w.problem = problemOf(refusal) }

// finish ends the answer or sends the refusal.
func (w *chatWriter) finish() error {
	c := w.exchange.echo
	switch {
	case w.problem != nil:
		return w.exchange.server.refuse(c, w.problem)
	case w.end != relay.AnswerComplete && c.Response().Committed:
		return w.writeInterrupted()
	case w.end != relay.AnswerComplete:
		return w.exchange.server.refuse(c, interruptedProblem())
	case w.streaming:
		return w.send(sseEvent([]byte("[DONE]")))
	default:
		w.writeHead()
		return c.JSONBlob(http.StatusOK, w.body)
	}
}

// streamError is the last event of a stream that could not be completed.
type streamError struct {
	Error *problem.Problem `json:"error"`
}

// writeInterrupted ends a stream with an error event.
func (w *chatWriter) writeInterrupted() error {
	prob := interruptedProblem()
	prob.RequestID = w.exchange.id
	observationOf(w.exchange.echo).problem = prob
	encoded, err := json.Marshal(streamError{prob})
	if err != nil {
		return err
	}
	return w.send(sseEvent(encoded))
}

// sseEvent encodes data as a server-sent event.
func sseEvent(data []byte) []byte {
	frame := make([]byte, 0, len(data)+len("data: \n\n"))
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	return append(frame, "\n\n"...)
}

// interruptedProblem returns the problem of a request that may have run and whose
// answer is missing or incomplete.
func interruptedProblem() *problem.Problem {
	return withUnknownOutcome(problem.New(problem.AnswerInterrupted, http.StatusBadGateway, "no endpoint answered whole", notRun())).WithRetryAfter(retryAfter)
}

// withUnknownOutcome marks a problem as that of a call that may have run.
func withUnknownOutcome(prob *problem.Problem) *problem.Problem {
	prob.Outcome = outcome.Unknown().String()
	return prob
}

// problemOf converts a refusal to a problem. If the refusal's cause is a problem,
// problemOf returns the cause.
func problemOf(refusal *relay.Refusal) *problem.Problem {
	var prob *problem.Problem
	if !errors.As(refusal.Cause, &prob) {
		prob = problemOfReason(refusal)
	}
	if !refusal.NotRun {
		withUnknownOutcome(prob)
	}
	return prob
}

// problemOfReason returns the problem for a refusal whose cause is not a problem.
func problemOfReason(refusal *relay.Refusal) *problem.Problem {
	switch {
	case refusal.Reason == relay.DeadlineExceeded:
		return problem.New(problem.DeadlinePassed, http.StatusGatewayTimeout, "deadline passed", notRun())
	case refusal.NotRun:
		return problem.New(problem.NoEndpoint, http.StatusServiceUnavailable, string(refusal.Reason), notRun()).WithRetryAfter(retryAfter)
	default:
		return interruptedProblem()
	}
}
