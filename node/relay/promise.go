package relay

// isFalsePromise reports whether a status must not reach the client because it promises that the request
// has not run, though the endpoint that answered with it may have run it. A client that believes the
// promise sends the request again. That does no harm if the request may run more than once, and then the
// status is passed on unchanged.
func isFalsePromise(promisesNotRun, mayHaveRun, repeatable bool) bool {
	return promisesNotRun && mayHaveRun && !repeatable
}

// hasFalsePromise reports whether the status of the attempt's answer must not reach the client.
func (a *attempt) hasFalsePromise() bool {
	if a.answer == nil || a.run.relay.PromisesNotRun == nil {
		return false
	}
	return isFalsePromise(a.run.relay.PromisesNotRun(a.answer.Status), !a.answer.NotExecuted, a.run.permission.Route.Repeatable())
}
