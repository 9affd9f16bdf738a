// Package atmostonce runs calls that must run at most once. It connects the state
// machine of each call to the outbox, the fold of the intents stream and the
// endpoints.
package atmostonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/intent"
	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/follow"
	"github.com/wigeonusher/wigeonusher/node/loop"
)

const (
	// tickInterval is the time between timer events of a call.
	tickInterval = 50 * time.Millisecond
	// advanceInterval is the time between the entries that make keys of a full
	// ledger expire.
	advanceInterval = time.Second
	// eventBuffer is the number of events that one call can receive between two
	// steps without blocking the sender.
	eventBuffer = 8
	// retryAfter is the shortest delay before a retry that a response to a caller
	// suggests.
	retryAfter = time.Second
)

// LedgerConfig bounds the keys and answers that the ledger keeps. It must be equal
// on all instances.
var LedgerConfig = intent.LedgerConfig{
	Window:    1 << 18,
	MaxKeys:   200_000,
	MaxBody:   4 << 10,
	MaxBodies: 16 << 20,
}

// Writer appends entries to the intents stream.
type Writer interface {
	Add(entry platform.Entry) error
	Withdraw(ids ...string) []string
	Health(now time.Time) outbox.Health
}

// Dispatch sends a call to an endpoint with the fencing number. If the call may have
// run, Dispatch must call MarkSent on progress before it returns. Until Dispatch
// returns, the outcome of the call counts as unknown.
type Dispatch func(ctx context.Context, fencing uint64, progress *outcome.Attempt) intent.DispatchResult

// Runner runs calls. Its methods may be called from several goroutines.
type Runner struct {
	instance platform.InstanceID
	writer   Writer
	isGone   func(platform.InstanceID) bool
	caughtUp <-chan struct{}

	state    *follow.State
	ledger   *intent.Ledger
	attempts atomic.Uint64

	mu    sync.Mutex
	calls map[string]*activeCall
}

// activeCall is a call that has not finished, with its queue of events.
type activeCall struct {
	key    intent.Key
	call   *intent.Call
	events chan intent.Event
}

// New returns a runner. isGone reports whether an instance is dead or has left.
func New(instance platform.InstanceID, writer Writer, isGone func(platform.InstanceID) bool) *Runner {
	r := &Runner{instance: instance, writer: writer, isGone: isGone, calls: map[string]*activeCall{}}
	r.ledger = intent.NewLedger(LedgerConfig, r.onDecision)
	r.state = follow.NewState(fold.NewStream(r.ledger), nil, r.afterRestore)
	return r
}

// State returns the fold of the intents stream.
func (r *Runner) State() *follow.State { return r.state }

// SetCaughtUp sets the channel that is closed once the fold has caught up with the
// stream. Calls are refused until then.
func (r *Runner) SetCaughtUp(ready <-chan struct{}) { r.caughtUp = ready }

// Keys returns the number of keys in the ledger.
func (r *Runner) Keys() (keys int) {
	r.state.WithLock(func() { keys = r.ledger.Len() })
	return keys
}

// Call is a call that must run at most once for its key.
type Call struct {
	Key      intent.Key
	Method   string
	Path     string
	Body     []byte
	Deadline time.Time
}

// fingerprint returns a digest of the call's method, path and body, by which the
// ledger detects the use of one key for different calls.
func (c Call) fingerprint() string {
	digest := sha256.New()
	digest.Write([]byte(c.Method + "\n" + c.Path + "\n"))
	digest.Write(c.Body)
	return hex.EncodeToString(digest.Sum(nil)[:16])
}

// RunAdvance appends an entry per advanceInterval while the ledger is full, until
// the context ends.
// Keys expire by the number of records after them, so without new records a full
// ledger would stay full. isFirst reports whether this instance is the one that
// appends.
func (r *Runner) RunAdvance(ctx context.Context, isFirst func() bool) error {
	number := 0
	return loop.Every(ctx, advanceInterval, func(time.Time) {
		full := false
		r.state.WithLock(func() { full = r.ledger.Full() })
		if full && isFirst() {
			number++
			r.addAdvance(number)
		}
	})
}

func (r *Runner) addAdvance(number int) {
	id := "advance/" + string(r.instance) + "/" + strconv.Itoa(number)
	entry, err := platform.NewEntry(id, intent.KindAdvance, r.instance, struct{}{})
	if err != nil {
		return
	}
	_ = r.writer.Add(entry)
}

// Run runs a call and returns the response to the caller. The call's state machine
// may continue afterwards to free its key.
func (r *Runner) Run(ctx context.Context, call Call, progress *outcome.Attempt, dispatch Dispatch) intent.Respond {
	attempt := string(r.instance) + "-" + strconv.FormatUint(r.attempts.Add(1), 36)
	active := &activeCall{
		key: call.Key,
		call: intent.NewCall(intent.CallConfig{
			Writer:      r.instance,
			Key:         call.Key,
			Attempt:     attempt,
			Fingerprint: call.fingerprint(),
			Deadline:    call.Deadline,
			MaxBody:     LedgerConfig.MaxBody,
			RetryAfter:  retryAfter,
		}, progress),
		events: make(chan intent.Event, eventBuffer),
	}
	r.register(attempt, active)
	responses := make(chan intent.Respond, 1)
	go r.runCall(ctx, active, progress, dispatch, r.startEvent(call.Key), responses)
	return <-responses
}

// startEvent returns the first event of a call: the state of the log and of the
// key.
func (r *Runner) startEvent(key intent.Key) intent.Start {
	health := r.writer.Health(time.Now())
	start := intent.Start{LogAvailable: health.Available, RetryAfter: max(health.RetryAfter, retryAfter)}
	r.state.WithLock(func() {
		start.CaughtUp = r.ledger.Complete() && isClosed(r.caughtUp)
		start.Full = r.ledger.Full()
		start.Folded = r.ledger.LastOffset()
		start.Status = r.ledger.Status(key)
	})
	start.HolderGone = start.Status.State == intent.Claimed && r.isGone(start.Status.Writer)
	return start
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// runCall passes events to one call until the call has finished, and then
// unregisters the call.
func (r *Runner) runCall(ctx context.Context, active *activeCall, progress *outcome.Attempt, dispatch Dispatch, first intent.Event, responses chan<- intent.Respond) {
	defer r.unregister(active.call.Attempt())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	cancelled := ctx.Done()
	r.step(ctx, active, progress, dispatch, first, responses)
	for !active.call.Finished() {
		select {
		case event := <-active.events:
			r.step(ctx, active, progress, dispatch, event, responses)
		case now := <-ticker.C:
			r.step(ctx, active, progress, dispatch, intent.Tick{}, responses)
			if !r.writer.Health(now).Available {
				r.step(ctx, active, progress, dispatch, intent.LogLost{}, responses)
			}
		case <-cancelled:
			cancelled = nil
			r.step(ctx, active, progress, dispatch, intent.Cancelled{}, responses)
		}
	}
}

func (r *Runner) step(ctx context.Context, active *activeCall, progress *outcome.Attempt, dispatch Dispatch, event intent.Event, responses chan<- intent.Respond) {
	for _, effect := range active.call.Step(time.Now(), event) {
		switch effect := effect.(type) {
		case intent.AddEntry:
			if err := r.writer.Add(effect.Entry); err != nil {
				active.events <- intent.Rejected{RetryAfter: retryAfter}
			}
		case intent.Withdraw:
			if len(r.writer.Withdraw(effect.ID)) > 0 {
				active.events <- intent.Withdrawn{RetryAfter: retryAfter}
			}
		case intent.Dispatch:
			go func() { active.events <- dispatch(ctx, effect.Fencing, progress) }()
		case intent.Respond:
			responses <- effect
		}
	}
}

func (r *Runner) register(attempt string, active *activeCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[attempt] = active
}

func (r *Runner) unregister(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, attempt)
}

// onDecision passes a decision to its call. It runs under the lock of the state.
// If this instance no longer has the call of an accepted intent, the intent is
// abandoned so that its key is free again.
func (r *Runner) onDecision(decision intent.Decision) {
	if decision.Writer != r.instance {
		return
	}
	r.mu.Lock()
	active, known := r.calls[decision.Attempt]
	r.mu.Unlock()
	if known {
		holderGone := !decision.Accepted && r.isGone(decision.Holder.Writer)
		active.events <- intent.Decided{Decision: decision, HolderGone: holderGone}
		return
	}
	if !decision.Accepted {
		return
	}
	if entry, err := intent.NewAbandonedEntry(decision); err == nil {
		_ = r.writer.Add(entry)
	}
}

// afterRestore delivers accepted decisions whose records a restored snapshot has
// skipped. It runs under the lock of the state. A call ignores a decision that it
// already has.
func (r *Runner) afterRestore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for attempt, active := range r.calls {
		status := r.ledger.Status(active.key)
		if status.State != intent.Claimed || status.Writer != r.instance || status.Attempt != attempt {
			continue
		}
		active.events <- intent.Decided{Decision: intent.Decision{
			Attempt:  attempt,
			Writer:   r.instance,
			Key:      active.key,
			Accepted: true,
			Fencing:  status.Fencing,
		}}
	}
}
