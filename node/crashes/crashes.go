// Package crashes watches the attempts of an instance for endpoints that crash, exchanges
// the evidence with the other instances, and decides by it which requests may be sent. The
// decisions themselves are those of package crashcause.
package crashes

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/tailer"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// blameWindow is the time from the head of an answer within which it may be the cause of
	// a crash. An answer that goes on for longer after its first event shows that the endpoint
	// survives its features.
	blameWindow = 500 * time.Millisecond
	// noticeTime is the time in which the evidence of other instances on the same crash
	// arrives, and maxAwait bounds the wait for all evidence before the next attempt.
	noticeTime = 40 * time.Millisecond
	maxAwait   = 250 * time.Millisecond
	// applyDelay is how long the evidence of a notice waits for that of others.
	applyDelay = 10 * time.Millisecond
	// A trial begins at least minTrialDelay after the last evidence, by which time that of the
	// other instances has arrived, and up to trialSpread later.
	minTrialDelay = 60 * time.Millisecond
	trialSpread   = 300 * time.Millisecond
	// endedMemory is how long attempts that have ended are kept for a crash that is noticed
	// later. A request whose attempt has ended on this side may crash its endpoint within it.
	endedMemory = 1200 * time.Millisecond
	// maintenanceInterval is the time between checks for verdicts to tell the others.
	maintenanceInterval = 100 * time.Millisecond
	// maxAgeMillis bounds an age in a notice, so that it does not overflow.
	maxAgeMillis = uint32(time.Hour / time.Millisecond)
)

// Notifier tells the other instances.
type Notifier interface {
	// NotifyCrash passes on evidence without a delay.
	NotifyCrash(evidence *peerpb.Notice)
}

// Pools returns the endpoints of a service.
type Pools interface {
	Service(name route.ServiceName) *pool.Pool
	// ActiveSince reports whether an endpoint of any service, other than the given one, has sent
	// something since the given time.
	ActiveSince(other platform.EndpointID, since time.Time) bool
	// Addresses returns up to the given number of addresses of other endpoints, of all services.
	Addresses(other platform.EndpointID, most int) []string
}

// Config lists what a [Tracker] uses.
type Config struct {
	Prober   relay.Prober
	Pools    Pools
	Notifier Notifier
	Logger   *logrus.Entry
	// Count increments a counter.
	Count func(name string)
}

// Tracker implements [relay.Suspects]. It is safe for concurrent use.
type Tracker struct {
	config Config

	mu        sync.Mutex
	ledger    *crashcause.Ledger
	endpoints map[crashcause.Lifetime]*endpoint
	// standings are the last ones logged.
	standings map[crashcause.Feature]crashcause.Standing
	// isApplyDue reports that evidence of peers waits for apply.
	isApplyDue bool
	verdicts   verdictTopic
}

// endpoint holds the attempts at one lifetime of an endpoint.
type endpoint struct {
	record pool.Record
	// running are in progress, and ended have ended lately.
	running, ended map[*attempt]struct{}
	// brokenAt is when an attempt broke first or the endpoint was first found gone, zero if neither
	// has happened.
	brokenAt time.Time
	// confirming reports that it is being found out whether the endpoint has crashed, isExamined that
	// its port is probed, and isExaminedAgain that an attempt broke since.
	confirming, isExamined, isExaminedAgain bool
	// settled is closed when it is known whether the endpoint has crashed.
	settled chan struct{}
	// checkAt is when to check next whether the endpoint ends after attempts that have ended on this
	// side, zero if there are none.
	checkAt time.Time
	// unclearAt is when the endpoint was found gone though the path of this instance may be the
	// reason, zero if it was not; examinedAt is when it was last examined since.
	unclearAt, examinedAt time.Time
	// crashedAt is when the endpoint last crashed, and returnedAt when it was reached again in
	// the same lifetime, as far as that is known.
	crashedAt, returnedAt time.Time
}

// attempt implements [relay.AttemptWatch].
type attempt struct {
	tracker  *Tracker
	endpoint *endpoint
	uses     []crashcause.Use
	// trial holds the features of which the attempt is the trial.
	trial  []crashcause.Feature
	cancel context.CancelCauseFunc
	// headAt is zero if nothing arrived, and endedAt while the attempt is in progress. end is valid
	// once it has ended. reported reports that its features were accused.
	sentAt, headAt, endedAt time.Time
	end                     relay.AttemptEnd
	reported                bool
	survival                *time.Timer
}

// New returns a tracker without evidence.
func New(config Config) *Tracker {
	return &Tracker{
		config: config, ledger: crashcause.New(), endpoints: make(map[crashcause.Lifetime]*endpoint),
		standings: make(map[crashcause.Feature]crashcause.Standing),
	}
}

// TopicConfig returns how the topic of verdicts is followed. So verdicts reach instances that are
// cut off from their peers or start later.
func (t *Tracker) TopicConfig(topic keyed.Topic) tailer.Config {
	return tailer.Config{Topic: topic, Wait: func() time.Duration { return topicWait }, Apply: t.applyTopic}
}

// Run writes the verdicts of this instance to the topic until the context ends.
func (t *Tracker) Run(ctx context.Context, log keyed.Log, topic keyed.Topic) error {
	return loop.Every(ctx, maintenanceInterval, func(now time.Time) {
		t.examineDue(now)
		t.removeEnded(now)
		t.publishDue(ctx, now, log, topic)
	})
}

// Admit implements [relay.Suspects].
func (t *Tracker) Admit(uses []crashcause.Use) crashcause.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.isApplyDue {
		t.apply(now) // delays the trials of features that are suspected since
	}
	decision := t.ledger.Admit(now, uses)
	switch decision.Permission {
	case crashcause.Alone:
		t.config.Count(`wigeonusher_suspected_requests_total{decision="alone"}`)
		t.notify(&peerpb.Notice{Trials: encodeTrials(decision.Features, false)})
	case crashcause.Undecided:
		t.config.Count(`wigeonusher_suspected_requests_total{decision="undecided"}`)
	case crashcause.Pending:
		t.config.Count(`wigeonusher_suspected_requests_total{decision="pending"}`)
	case crashcause.Refused:
		t.config.Count(`wigeonusher_suspected_requests_total{decision="refused"}`)
	case crashcause.Normal:
	}
	return decision
}

// Release implements [relay.Suspects].
func (t *Tracker) Release(decision crashcause.Decision) {
	if decision.Permission != crashcause.Alone {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endTrial(decision.Features)
}

// endTrial ends a trial without a result. The caller holds the lock.
func (t *Tracker) endTrial(features []crashcause.Feature) {
	if len(features) == 0 {
		return
	}
	t.ledger.EndTrial(features...)
	t.notify(&peerpb.Notice{Trials: encodeTrials(features, true)})
}

// Begin implements [relay.Suspects].
func (t *Tracker) Begin(record pool.Record, uses []crashcause.Use, decision crashcause.Decision) relay.AttemptWatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	lifetime := crashcause.Lifetime{Endpoint: record.ID, Born: record.Born}
	at := t.endpoint(lifetime)
	at.record = record
	t.watchReturn(at)
	a := &attempt{tracker: t, endpoint: at, uses: uses, sentAt: time.Now()}
	if decision.Permission == crashcause.Alone {
		a.trial = decision.Features
	}
	at.running[a] = struct{}{}
	return a
}

// endpoint returns the state of a lifetime of an endpoint, which is created at the first call.
func (t *Tracker) endpoint(lifetime crashcause.Lifetime) *endpoint {
	at := t.endpoints[lifetime]
	if at == nil {
		at = &endpoint{running: make(map[*attempt]struct{}), ended: make(map[*attempt]struct{})}
		t.endpoints[lifetime] = at
	}
	return at
}

func (at *endpoint) lifetime() crashcause.Lifetime {
	return crashcause.Lifetime{Endpoint: at.record.ID, Born: at.record.Born}
}

// SetCancel implements [relay.AttemptWatch].
func (a *attempt) SetCancel(cancel context.CancelCauseFunc) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.cancel = cancel
}

// RecordHead implements [relay.AttemptWatch].
func (a *attempt) RecordHead() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.headAt = time.Now()
}

// RecordFirstEvent implements [relay.AttemptWatch].
func (a *attempt) RecordFirstEvent() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.survival = time.AfterFunc(blameWindow, a.surviveParts)
}

// surviveParts records that the endpoint goes on after it has begun the answer: it survives the
// parts that requests share, while the whole request may still end it.
func (a *attempt) surviveParts() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.endedAt.IsZero() {
		a.tracker.recordSurvival(a, partsOf(a.uses))
	}
}

func partsOf(uses []crashcause.Use) []crashcause.Use {
	return slices.DeleteFunc(slices.Clone(uses), func(use crashcause.Use) bool { return use.Depth == crashcause.WholeRequest })
}

// End implements [relay.AttemptWatch].
func (a *attempt) End(end relay.AttemptEnd) {
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.survival != nil {
		a.survival.Stop()
	}
	now := time.Now()
	a.endedAt, a.end = now, end
	delete(a.endpoint.running, a)
	switch end {
	case relay.AttemptBroken:
		a.endpoint.ended[a] = struct{}{}
		t.confirmCrash(a.endpoint, now)
	case relay.AttemptCanceled:
		a.endpoint.ended[a] = struct{}{}
		a.endpoint.checkLater(now)
	case relay.AttemptComplete:
		t.recordSurvival(a, a.uses)
		t.endTrial(a.trial)
	case relay.AttemptFailed, relay.AttemptNotRun:
		t.endTrial(a.trial)
	}
}

// AwaitCause implements [relay.AttemptWatch].
func (a *attempt) AwaitCause(ctx context.Context) {
	a.tracker.mu.Lock()
	settled := a.endpoint.settled
	a.tracker.mu.Unlock()
	if settled == nil {
		return
	}
	timer := time.NewTimer(maxAwait)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordSurvival records evidence for features of an attempt, and tells the others if
// there is evidence against them. The caller holds the lock.
func (t *Tracker) recordSurvival(a *attempt, uses []crashcause.Use) {
	now := time.Now()
	features := make([]crashcause.Feature, 0, len(uses))
	for _, use := range uses {
		features = append(features, use.Feature)
	}
	accused, acquitted := t.ledger.RecordSurvival(now, features...)
	if len(accused)+len(acquitted) > 0 {
		t.logSurvival(a, accused, acquitted)
	}
	if len(accused) == 0 {
		return
	}
	a.trial = slices.DeleteFunc(slices.Clone(a.trial), func(f crashcause.Feature) bool { return slices.Contains(accused, f) })
	notice := &peerpb.Notice{}
	for _, feature := range accused {
		notice.Survivals = append(notice.Survivals, &peerpb.FeatureSurvival{Feature: uint64(feature)})
	}
	t.notify(notice)
	t.verdicts.recordCleared(accused)
	t.apply(now)
}

// applySoon applies the evidence of a notice after applyDelay, with that of the others that
// arrive meanwhile: each decision goes through all evidence. The caller holds the lock.
func (t *Tracker) applySoon() {
	if t.isApplyDue {
		return
	}
	t.isApplyDue = true
	time.AfterFunc(applyDelay, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.isApplyDue {
			t.apply(time.Now())
		}
	})
}

// apply acts on changed standings: it logs them, and cancels the attempts whose answers
// have not begun and whose features are suspected now. The caller holds the lock.
func (t *Tracker) apply(now time.Time) {
	t.isApplyDue = false
	for _, at := range t.endpoints {
		for a := range at.running {
			if a.cancel != nil && a.headAt.IsZero() && len(a.trial) == 0 && t.worstStanding(now, a.uses) >= crashcause.Suspected {
				a.cancel(relay.ErrSuspected)
			}
		}
	}
	t.logChanges(now)
}

func (t *Tracker) worstStanding(now time.Time, uses []crashcause.Use) crashcause.Standing {
	worst := crashcause.Unsuspected
	for _, use := range uses {
		worst = max(worst, t.ledger.Standing(now, use.Feature))
	}
	return worst
}

// delayTrial keeps this instance from trying a feature for a random time, so that the
// instances do not all begin a trial before they hear of each other's.
func (t *Tracker) delayTrial(now time.Time, features ...crashcause.Feature) {
	for _, feature := range features {
		t.ledger.DelayTrial(feature, now.Add(minTrialDelay+rand.N(trialSpread)))
	}
}

// logChanges logs the features whose standing has changed since the last call. It asks the
// peers whether they have seen those survive that are suspected from now on.
func (t *Tracker) logChanges(now time.Time) {
	current := t.ledger.Standings(now)
	asked := &peerpb.Notice{}
	for feature, standing := range current {
		previous := t.standings[feature]
		if previous == standing.Standing {
			continue
		}
		t.logStanding(feature, previous, standing)
		if standing.Standing == crashcause.Suspected {
			t.delayTrial(now, feature)
		}
		if previous == crashcause.Unsuspected {
			asked.Suspected = append(asked.Suspected, uint64(feature))
		}
	}
	if len(asked.Suspected) > 0 {
		t.notify(asked)
	}
	for feature, previous := range t.standings {
		if _, ok := current[feature]; !ok {
			t.logStanding(feature, previous, crashcause.Explanation{})
		}
	}
	clear(t.standings)
	for feature, standing := range current {
		t.standings[feature] = standing.Standing
	}
}

// GuiltyCount returns the number of features that are refused.
func (t *Tracker) GuiltyCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, e := range t.ledger.Standings(time.Now()) {
		if e.Standing == crashcause.Guilty {
			count++
		}
	}
	return count
}

// removeEnded forgets attempts that have ended, and endpoints without attempts.
func (t *Tracker) removeEnded(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for lifetime, at := range t.endpoints {
		if at.confirming || !at.unclearAt.IsZero() {
			continue
		}
		for a := range at.ended {
			if now.Sub(a.endedAt) > endedMemory {
				delete(at.ended, a)
				if a.end == relay.AttemptCanceled {
					t.endTrial(a.trial)
				}
			}
		}
		if len(at.running)+len(at.ended) == 0 && now.Sub(at.crashedAt) > returnMemory {
			delete(t.endpoints, lifetime)
		}
	}
}
