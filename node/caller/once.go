package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/intent"
	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/node/atmostonce"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// responseMargin is the part of a call's time that is reserved for sending the
// answer to the caller.
const responseMargin = 50 * time.Millisecond

// serveAtMostOnce serves a call that must run at most once.
func (s *Server) serveAtMostOnce(ctx context.Context, call *serviceCall) error {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	var answerType string
	response := s.AtMostOnce.Run(ctx, atmostonce.Call{
		Key: intent.Key{
			Account: string(call.account),
			Service: string(call.service),
			Token:   call.idempotencyKey(),
		},
		Method:   call.echo.Request().Method,
		Path:     call.path,
		Body:     call.body,
		Deadline: call.deadline.Add(-responseMargin),
	}, call.attempt, func(_ context.Context, fencing uint64, progress *outcome.Attempt) intent.DispatchResult {
		result, answeredType := call.dispatchOnce(fencing, progress)
		answerType = answeredType
		return result
	})
	switch response.Kind {
	case intent.Answered:
		return call.echo.Blob(response.Status, answerType, response.Body)
	case intent.Replayed:
		call.echo.Response().Header().Set(HeaderReplayed, "true")
		return call.echo.Blob(response.Status, http.DetectContentType(response.Body), response.Body)
	default:
		return s.refuse(call.echo, call.onceProblem(response))
	}
}

// dispatchOnce runs the call through the relay. It continues after the caller
// disconnects, because the call may have started. It leaves progress unchanged if
// the call certainly did not run. The result never sets MayRetry, so such a call is
// not dispatched again: the relay has already tried all endpoints that it may try.
// The second result is the answer's content type.
func (c *serviceCall) dispatchOnce(fencing uint64, progress *outcome.Attempt) (intent.DispatchResult, string) {
	c.fencing = fencing
	writer := &serviceWriter{}
	c.run(context.Background(), writer)
	if writer.end == relay.AnswerComplete {
		progress.MarkSent()
		return intent.DispatchResult{Outcome: outcome.Ran(), Status: writer.head.Status, Body: writer.body}, writer.head.Header.Get(contentType)
	}
	if writer.refusal == nil || !writer.refusal.NotRun {
		progress.MarkSent()
	}
	return intent.DispatchResult{Outcome: progress.Outcome()}, ""
}

// onceProblem converts a response without an answer to a problem.
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
		return problem.New(kind, status, string(response.Reason), c.attempt).WithRetryAfter(max(response.RetryAfter, retryAfter))
	case intent.InProgress:
		return c.unknownOutcomeProblem(problem.InProgress, http.StatusConflict, "a request with this key is being worked on").WithRetryAfter(max(response.RetryAfter, retryAfter))
	case intent.Conflict:
		return problem.New(problem.KeyReused, http.StatusUnprocessableEntity, "the key belongs to another call", c.attempt)
	default:
		return c.unknownOutcomeProblem(problem.OutcomeUnknown, http.StatusBadGateway, "the call may have run")
	}
}

// unknownOutcomeProblem returns the problem of a call that may have run, through
// this request or another one with the same key.
func (c *serviceCall) unknownOutcomeProblem(kind problem.Type, status int, detail string) *problem.Problem {
	prob := problem.New(kind, status, detail, c.attempt)
	prob.Outcome = outcome.Unknown().String()
	return prob
}
