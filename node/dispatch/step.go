package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/coord/suspect"
	"github.com/wigeonusher/wigeonusher/node/admit"
	"github.com/wigeonusher/wigeonusher/node/random"
	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/openai"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

const (
	// maxTries bounds the dispatches of one step.
	maxTries = 3
	// retryAfter is when to come back after a failure of the endpoints.
	retryAfter = time.Second
	// minPatience is the least silence after which a dispatch is given up.
	minPatience = 100 * time.Millisecond
)

// errCallerGone reports that the sink refused a frame.
var errCallerGone = eris.New("dispatch: caller has gone")

// step is the work on one version of a request.
type step struct {
	dispatcher  *Dispatcher
	request     *Request
	ref         document.Ref
	sink        Sink
	result      *Result
	pool        platform.PoolName
	slots       int
	fingerprint suspect.Fingerprint
	prefix      []uint64
	avoid       []platform.EndpointID
	delivered   bool
	// frames counts those passed on in the present dispatch.
	frames int
	// counted tells whether the endpoint's owner counts the present dispatch.
	counted bool
}

// runStep dispatches a request to one version, again if need be.
func (d *Dispatcher) runStep(ctx context.Context, request *Request, ref document.Ref, sink Sink, result *Result) (*engine.Answer, *problem.Problem) {
	s := &step{dispatcher: d, request: request, ref: ref, sink: sink, result: result}
	if trouble := s.choosePool(); trouble != nil {
		return nil, trouble
	}
	s.fingerprint = fingerprintOf(request)
	s.prefix = d.Endpoints.PrefixHashes(request.Prompt)
	slot, trouble := s.enter(ctx)
	if trouble != nil {
		return nil, trouble
	}
	if !request.Fresh {
		d.Exposures.Charge(ref)
	}
	answer, trouble := s.tries(ctx)
	if trouble != nil {
		slot.Abort()
		return nil, trouble
	}
	slot.Leave()
	return answer, nil
}

func (s *step) noEndpoint() *problem.Problem {
	detail := "no endpoint serves " + s.ref.String()
	return problem.New(problem.NoEndpoint, http.StatusServiceUnavailable, detail, &s.request.Attempt).After(retryAfter)
}

// enter waits for a slot of the pool.
func (s *step) enter(ctx context.Context) (*admit.Slot, *problem.Problem) {
	speed := s.dispatcher.speeds.of(s.ref)
	slot, err := s.dispatcher.Pools.Enter(ctx, s.pool, admission.Request{
		Account:  s.request.Account,
		Class:    s.request.Class,
		Work:     speed.firstToken + speed.perToken*time.Duration(answerTokens(s.request)),
		Left:     time.Until(s.request.Deadline),
		Weight:   s.dispatcher.Policies.Policy().Accounts[s.request.Account].Weight,
		Priority: s.request.Priority,
	})
	var refusal *admission.Refusal
	switch {
	case err == nil:
		return slot, nil
	case errors.As(err, &refusal):
		return nil, problem.New(problem.Overloaded, http.StatusTooManyRequests, string(refusal.Reason), &s.request.Attempt).After(refusal.RetryAfter)
	default:
		return nil, s.ended()
	}
}

// ended is the problem of a request whose time is over.
func (s *step) ended() *problem.Problem {
	return problem.New(problem.DeadlinePassed, http.StatusGatewayTimeout, "deadline passed", &s.request.Attempt)
}

// tries dispatches until an answer is whole or nothing may be tried any more.
func (s *step) tries(ctx context.Context) (*engine.Answer, *problem.Problem) {
	d := s.dispatcher
	accountBudget, poolBudget := d.Budgets.Account(s.request.Account), d.Budgets.Pool(s.pool)
	accountBudget.Deposit()
	poolBudget.Deposit()
	pauses := 0
	for number := 0; ; number++ {
		answer, err := s.try(ctx)
		if err == nil {
			return answer, nil
		}
		if errors.Is(err, errOccupied) && pauses < maxOccupiedPauses {
			pauses++
			number--
			if !sleep(ctx, occupiedPause) {
				return nil, s.ended()
			}
			continue
		}
		var trouble *problem.Problem
		if errors.As(err, &trouble) {
			return nil, trouble
		}
		if ctx.Err() != nil {
			return nil, s.ended()
		}
		mayRetry := !s.delivered && retry.Allowed(s.request.Attempt.Outcome(), true) && number+1 < maxTries
		if !mayRetry {
			return nil, s.interrupted(err)
		}
		if !eris.Is(err, engine.ErrRefused) && !retry.WithdrawAll(time.Now(), accountBudget, poolBudget) {
			return nil, s.interrupted(err)
		}
		if !sleep(ctx, retry.Backoff{}.Wait(random.Global{}, number)) {
			return nil, s.ended()
		}
	}
}

// sleep waits. It reports false if the context ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (s *step) interrupted(err error) *problem.Problem {
	if s.request.Attempt.Outcome().IsNotRun() || errors.Is(err, errOccupied) {
		return s.noEndpoint()
	}
	return problem.New(problem.AnswerInterrupted, http.StatusBadGateway, eris.Cause(err).Error(), &s.request.Attempt).After(retryAfter)
}

// try dispatches once, as the suspects' verdict allows.
func (s *step) try(ctx context.Context) (*engine.Answer, error) {
	switch s.dispatcher.Suspects.Permission(s.fingerprint) {
	case suspect.Refused:
		return nil, s.crashSuspect("the request has crashed the endpoints that ran it")
	case suspect.Isolated:
		return s.tryAlone(ctx)
	default:
		candidate, err := s.place(ctx, nil)
		if err != nil {
			return nil, err
		}
		answer, _, err := s.dispatch(ctx, candidate)
		return answer, err
	}
}

// dispatch sends the request to one endpoint, once.
func (s *step) dispatch(ctx context.Context, candidate placement.Candidate) (answer *engine.Answer, crashed bool, err error) {
	d := s.dispatcher
	if !d.Endpoints.MayDispatch(candidate.ID) {
		s.uncount(candidate)
		s.avoid = append(s.avoid, candidate.ID)
		return nil, false, engine.ErrRefused
	}
	var sent outcome.Attempt
	s.frames = 0
	call := engine.Call{
		Address:   candidate.Address,
		RequestID: s.request.ID,
		AttemptID: d.attemptID(),
		Ref:       s.ref,
		Priority:  s.request.Priority,
		Request:   s.request.Body,
		Progress:  s.patience(),
	}
	d.Endpoints.Dispatched(time.Now(), candidate.ID, s.prefix)
	d.Suspects.Started(s.fingerprint, candidate.ID)
	answer, err = d.Engines.Chat(ctx, call, &sent, s.pass)
	if err == nil {
		s.request.Attempt.Depart()
		s.request.Attempt.Answer()
		s.finish(candidate, answer.FirstToken, nil)
		d.Suspects.Finished(s.fingerprint, candidate.ID)
		s.use(answer)
		return answer, false, nil
	}
	s.avoid = append(s.avoid, candidate.ID)
	return nil, s.failed(ctx, candidate, &sent, err), err
}

// patience is the longest silence of a dispatch: half of the time left, so that
// a silent connection leaves time for another endpoint.
func (s *step) patience() time.Duration {
	return max(minPatience, time.Until(s.request.Deadline)/2)
}

// failed sorts a failed dispatch: refused, cut off by the caller, crashed or
// otherwise failed. It reports whether the endpoint crashed.
func (s *step) failed(ctx context.Context, candidate placement.Candidate, sent *outcome.Attempt, err error) (crashed bool) {
	d := s.dispatcher
	refused := eris.Is(err, engine.ErrRefused)
	if sent.Departed() && !refused {
		s.request.Attempt.Depart()
	}
	if refused {
		d.Endpoints.Refused(platform.ListedEndpoint{ID: candidate.ID, Address: candidate.Address})
	}
	if errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled) {
		s.usePart()
	}
	if refused || ctx.Err() != nil || errors.Is(err, errCallerGone) {
		s.finish(candidate, 0, nil)
		d.Suspects.Finished(s.fingerprint, candidate.ID)
		return false
	}
	s.finish(candidate, 0, err)
	d.Planner.Failed(s.request.Class, s.ref)
	if eris.Is(err, engine.ErrCut) && sent.Departed() && s.gone(candidate.Address) {
		d.Suspects.Crashed(s.fingerprint, s.pool, candidate.ID)
		return true
	}
	d.Suspects.Finished(s.fingerprint, candidate.ID)
	return false
}

func (s *step) finish(candidate placement.Candidate, firstToken time.Duration, err error) {
	s.uncount(candidate)
	s.dispatcher.Endpoints.Finished(time.Now(), candidate.ID, firstToken, err != nil)
}

// usePart notes what a caller got that left in the middle of the answer: a
// token a frame.
func (s *step) usePart() {
	if s.frames == 0 {
		return
	}
	s.result.Ref = s.ref
	s.result.CallerGone = true
	s.result.Uses = append(s.result.Uses, Use{
		Ref:          s.ref,
		PromptTokens: placement.EstimateTokens(s.request.Prompt),
		AnswerTokens: s.frames,
	})
}

func (s *step) use(answer *engine.Answer) {
	usage := answer.Usage()
	s.result.Uses = append(s.result.Uses, Use{
		Ref:          s.ref,
		PromptTokens: usage.PromptTokens,
		AnswerTokens: usage.CompletionTokens,
	})
}

func (s *step) pass(chunk *openai.Chunk) error {
	s.delivered = true
	s.frames++
	if err := s.sink.Frame(s.ref, chunk); err != nil {
		return errCallerGone
	}
	return nil
}
