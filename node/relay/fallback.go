package relay

import "io"

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
		r.refuse(&Refusal{Reason: EndpointsFailed, RetryAfter: r.request.RetryAfter()})
		return
	}
	r.headSent, r.status = true, answer.Status
	r.hasBegun.Store(true)
	r.client.Begin(Head{Status: answer.Status, Header: answer.Header, Fallback: true})
	r.complete = r.writeParts(body) == nil // otherwise the client has disconnected
}

// sendFailure sends the endpoint's failure to the client.
func (a *attempt) sendFailure() {
	a.sendHead()
	if err := a.run.writeParts(a.failureBody); err != nil {
		a.err = err
		return
	}
	a.run.complete = true
}
