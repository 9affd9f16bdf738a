package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/intent"
	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/node/once"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// answerMargin is the part of a call's time that is kept for the answer's way
// back.
const answerMargin = 50 * time.Millisecond

// serveOnce runs a call that must run at most once.
func (s *Server) serveOnce(ctx context.Context, call *serviceCall) error {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	var kind string
	response := s.Once.Run(ctx, once.Call{
		Key: intent.Key{
			Account: string(call.account),
			Service: string(call.service),
			Token:   call.idempotencyKey(),
		},
		Method:   call.echo.Request().Method,
		Path:     call.path,
		Body:     call.body,
		Deadline: call.deadline.Add(-answerMargin),
	}, call.attempt, func(_ context.Context, fencing uint64, progress *outcome.Attempt) intent.DispatchResult {
		result, answered := call.dispatchOnce(fencing, progress)
		kind = answered
		return result
	})
	switch response.Kind {
	case intent.Answered:
		return call.echo.Blob(response.Status, kind, response.Body)
	case intent.Replayed:
		call.echo.Response().Header().Set(HeaderReplayed, "true")
		return call.echo.Blob(response.Status, http.DetectContentType(response.Body), response.Body)
	default:
		return s.refuse(call.echo, call.onceProblem(response))
	}
}

// dispatchOnce has the relay run the call. It goes on when the caller has gone,
// because the call may have begun. One that certainly did not run leaves
// progress untouched; the relay has asked all endpoints that it may, so it is
// not dispatched again.
func (c *serviceCall) dispatchOnce(fencing uint64, progress *outcome.Attempt) (intent.DispatchResult, string) {
	c.fencing = fencing
	writer := &serviceWriter{}
	c.run(context.Background(), writer)
	if writer.refusal == nil {
		progress.Depart()
		return intent.DispatchResult{Outcome: outcome.Ran(), Status: writer.head.Status, Body: writer.body}, writer.head.Header.Get(contentType)
	}
	if !writer.refusal.NotRun {
		progress.Depart()
	}
	return intent.DispatchResult{Outcome: progress.Outcome()}, ""
}

// onceProblem turns a response without an answer into a problem.
func (c *serviceCall) onceProblem(response intent.Respond) *problem.Problem {
	switch response.Kind {
	case intent.NotRun:
		kind, status := problem.LogUnavailable, http.StatusServiceUnavailable
		switch response.Reason {
		case intent.DeadlineExceeded:
			kind, status = problem.DeadlinePassed, http.StatusGatewayTimeout
		case intent.NoEndpoint:
			kind = problem.NoEndpoint
		}
		return problem.New(kind, status, string(response.Reason), c.attempt).After(max(response.RetryAfter, retryAfter))
	case intent.InProgress:
		return c.unknown(problem.InProgress, http.StatusConflict, "a request with this key is being worked on").After(max(response.RetryAfter, retryAfter))
	case intent.Conflict:
		return problem.New(problem.KeyReused, http.StatusUnprocessableEntity, "the key belongs to another call", c.attempt)
	default:
		return c.unknown(problem.OutcomeUnknown, http.StatusBadGateway, "the call may have run")
	}
}

// unknown returns a problem of a call that may have run, by this request or
// another with its key.
func (c *serviceCall) unknown(kind problem.Type, status int, detail string) *problem.Problem {
	trouble := problem.New(kind, status, detail, c.attempt)
	trouble.Outcome = outcome.Unknown().String()
	return trouble
}
