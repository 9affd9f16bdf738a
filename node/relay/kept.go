package relay

import (
	"context"
	"io"
	"time"
)

// keepFallback keeps an answer that is dropped for a larger model's.
func (a *attempt) keepFallback() {
	if a.answer.Complete {
		a.run.fallback = a.answer
	}
}

// fallBack passes on the answer that was dropped for one that did not come.
func (r *run) fallBack() {
	answer := r.fallback
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		r.refuse(&Refusal{Reason: EndpointsFailed, RetryAfter: r.request.comeBack()})
		return
	}
	r.begun, r.status = true, answer.Status
	r.client.Begin(Head{Status: answer.Status, Header: answer.Header, Fallback: true})
	// A client that is gone needs no more.
	_ = r.client.Write(body)
}

// keepFailure reads the endpoint's failure, for the client if nothing better
// comes.
func (a *attempt) keepFailure(ctx context.Context) {
	_ = a.answer.Body.SetReadDeadline(time.Now().Add(leastPatience)) // a failure shows in the read
	body, err := io.ReadAll(io.LimitReader(a.answer.Body, maxAnswerBytes))
	if err != nil {
		a.broke(ctx, err)
		return
	}
	a.verdict, a.failure = verdictFailure, body
}

// passFailure gives the client the endpoint's failure.
func (a *attempt) passFailure() {
	a.begin()
	if err := a.run.client.Write(a.failure); err != nil {
		a.err = err
	}
}
