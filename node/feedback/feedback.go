// Package feedback submits answers to the rating service, passes ratings to the
// cascade planner and to the roll-outs, and guards the planner by a lock.
package feedback

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/node/random"
	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

const (
	// maxPending bounds the number of answers that wait for a rating.
	maxPending = 20_000
	// pendingTTL is how long an answer waits for a rating.
	pendingTTL = 10 * time.Minute
	// queueLength bounds the number of answers that wait to be submitted.
	// Further answers are not rated.
	queueLength = 1024
	// callTimeout bounds one call to the rating service.
	callTimeout = 2 * time.Second
	// pollInterval is the time between polls for ratings.
	pollInterval = 250 * time.Millisecond
	// maxTextBytes is the length to which a submitted prompt or answer is
	// truncated.
	maxTextBytes = 16 << 10
)

// Evidence receives the outcomes of a version's answers.
type Evidence interface {
	// RecordRating records a rating.
	RecordRating(ref document.Ref, good bool)
	// RecordFailure records a failed answer.
	RecordFailure(ref document.Ref)
}

// Feedback feeds the outcomes and ratings of answers back to the cascade planner and
// the roll-outs. It is safe for concurrent use.
type Feedback struct {
	instance platform.InstanceID
	service  platform.RatingService
	evidence Evidence
	logger   *logrus.Entry

	mu      sync.Mutex
	planner *cascade.LearningPlanner
	export  countsExport

	pending *expirable.LRU[string, cascade.Result]
	queue   chan platform.RatingRequest
}

// New returns a feedback loop around a planner without any observations. If service
// is nil, no answers are rated.
func New(instance platform.InstanceID, service platform.RatingService, evidence Evidence, logger *logrus.Entry) *Feedback {
	return &Feedback{
		instance: instance,
		service:  service,
		evidence: evidence,
		logger:   logger,
		planner:  cascade.NewLearningPlanner(instance),
		pending:  expirable.NewLRU[string, cascade.Result](maxPending, nil, pendingTTL),
		queue:    make(chan platform.RatingRequest, queueLength),
	}
}

// Plan implements caller.Planner.
func (f *Feedback) Plan(rule document.ClassRule, exploreShare float64, request cascade.Request) cascade.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.planner.Plan(random.Global{}, rule, exploreShare, request)
}

// RecordAnswer implements caller.Planner.
func (f *Feedback) RecordAnswer(requestID, prompt string, result cascade.Result, text string) {
	f.mu.Lock()
	f.planner.ObserveResult(result)
	f.mu.Unlock()
	if f.service == nil {
		return
	}
	id := requestID + "/" + result.Ref.String()
	f.pending.Add(id, result)
	answer := platform.RatingRequest{
		RequestID: id,
		TaskClass: string(result.Class),
		Model:     string(result.Ref.Model),
		Version:   string(result.Ref.Version),
		Prompt:    truncate(prompt),
		Answer:    truncate(text),
	}
	select {
	case f.queue <- answer:
	default:
	}
}

// RecordFailure implements caller.Planner.
func (f *Feedback) RecordFailure(class document.TaskClass, ref document.Ref) {
	f.mu.Lock()
	f.planner.ObserveResult(cascade.Result{Class: class, Ref: ref, Failed: true})
	f.mu.Unlock()
	f.evidence.RecordFailure(ref)
}

func truncate(text string) string { return text[:min(len(text), maxTextBytes)] }

// RunSubmit submits queued answers to the rating service until the context ends.
func (f *Feedback) RunSubmit(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case answer := <-f.queue:
			f.submit(ctx, answer)
		}
	}
}

func (f *Feedback) submit(ctx context.Context, answer platform.RatingRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := f.service.Submit(ctx, answer); err != nil {
		f.logger.WithError(err).Debug("answer not submitted for rating")
	}
}

// RunRatings polls the rating service for ratings until the context ends.
func (f *Feedback) RunRatings(ctx context.Context) error {
	if f.service == nil {
		<-ctx.Done()
		return nil
	}
	var cursor uint64
	return loop.Every(ctx, pollInterval, func(time.Time) { cursor = f.poll(ctx, cursor) })
}

func (f *Feedback) poll(ctx context.Context, cursor uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ratings, next, err := f.service.Ratings(ctx, f.instance, cursor)
	if err != nil {
		return cursor
	}
	for _, rating := range ratings {
		f.applyRating(rating)
	}
	return next
}

func (f *Feedback) applyRating(rating platform.Rating) {
	result, ok := f.pending.Get(rating.RequestID)
	if !ok {
		return
	}
	f.pending.Remove(rating.RequestID)
	good := rating.Score >= platform.GoodScore
	f.mu.Lock()
	f.planner.ObserveRating(cascade.RatedResult{Result: result, Good: good})
	f.mu.Unlock()
	f.evidence.RecordRating(result.Ref, good)
}
