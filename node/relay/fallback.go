package relay

import (
	"context"
	"io"
	"time"
)

// saveFallback saves a discarded answer of low confidence, if it is complete. It
// is sent to the client if no larger model answers.
func (a *attempt) saveFallback() {
	if a.answer.Complete {
		a.run.fallback = a.answer
	}
}

// sendFallback sends the saved answer of low confidence to the client, because no
// larger model answered.
func (r *run) sendFallback() {
	answer := r.fallback
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		r.refuse(&Refusal{Reason: EndpointsFailed, RetryAfter: r.request.retryAfter()})
		return
	}
	r.headSent, r.status = true, answer.Status
	r.client.Begin(Head{Status: answer.Status, Header: answer.Header, Fallback: true})
	r.complete = r.client.Write(body) == nil // otherwise the client has disconnected
}

// readFailure reads the endpoint's failure, which is sent to the client if no
// attempt follows, no answer has begun and there is no fallback.
func (a *attempt) readFailure(ctx context.Context) {
	_ = a.answer.Body.SetReadDeadline(time.Now().Add(minPatience)) // an error shows in the read
	body, err := io.ReadAll(io.LimitReader(a.answer.Body, maxAnswerBytes))
	if err != nil {
		a.markBroken(ctx, err)
		return
	}
	a.verdict, a.failureBody = verdictFailure, body
}

// sendFailure sends the endpoint's failure to the client.
func (a *attempt) sendFailure() {
	a.sendHead()
	if err := a.run.client.Write(a.failureBody); err != nil {
		a.err = err
		return
	}
	a.run.complete = true
}
