// Package crashes watches the attempts of an instance for endpoints that crash, exchanges
// the evidence with the other instances, and decides by it which requests may be sent. The
// decisions themselves are those of package crashcause.
package crashes

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/tailer"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// probeDelay is the time until a crashed endpoint refuses connections.
	probeDelay = 20 * time.Millisecond
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
	// later.
	endedMemory = time.Second
	// maintenanceInterval is the time between checks for verdicts to tell the others.
	maintenanceInterval = 100 * time.Millisecond
	// pathProbes bounds the endpoints that are probed to find out whether this instance
	// reaches any: more than the few that may be down at the same time.
	pathProbes = 6
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
	// brokenAt is when an attempt broke first, zero if none has.
	brokenAt   time.Time
	confirming bool
	// settled is closed when it is known whether the endpoint has crashed.
	settled chan struct{}
}

// attempt implements [relay.AttemptWatch].
type attempt struct {
	tracker  *Tracker
	endpoint *endpoint
	uses     []crashcause.Use
	// trial holds the features of which the attempt is the trial.
	trial  []crashcause.Feature
	cancel context.CancelCauseFunc
	// headAt and firstEventAt are zero if nothing arrived. isBroken reports that the endpoint
	// broke the connection, and reported that its features were accused.
	headAt, firstEventAt, endedAt time.Time
	isBroken, reported            bool
	// failed reports that the endpoint answered with a failure.
	failed   bool
	survival *time.Timer
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
	at := t.endpoints[lifetime]
	if at == nil {
		at = &endpoint{record: record, running: make(map[*attempt]struct{}), ended: make(map[*attempt]struct{})}
		t.endpoints[lifetime] = at
	}
	a := &attempt{tracker: t, endpoint: at, uses: uses}
	if decision.Permission == crashcause.Alone {
		a.trial = decision.Features
	}
	at.running[a] = struct{}{}
	return a
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
	a.firstEventAt = time.Now()
	a.survival = time.AfterFunc(blameWindow, a.survive)
}

// survive records that the endpoint goes on after it has begun the answer.
func (a *attempt) survive() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.endedAt.IsZero() {
		a.tracker.recordSurvival(a)
	}
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
	a.endedAt, a.isBroken = now, end == relay.AttemptBroken
	delete(a.endpoint.running, a)
	a.endpoint.ended[a] = struct{}{}
	switch end {
	case relay.AttemptBroken:
		t.confirmCrash(a.endpoint, now)
		return
	case relay.AttemptComplete, relay.AttemptFailed:
		a.failed = end == relay.AttemptFailed
		t.recordSurvival(a)
	case relay.AttemptNotRun:
		delete(a.endpoint.ended, a)
	case relay.AttemptCanceled:
	}
	if end != relay.AttemptCanceled || a.headAt.IsZero() {
		t.endTrial(a.trial)
	}
}

// AwaitCause implements [relay.AttemptWatch].
func (a *attempt) AwaitCause(ctx context.Context) {
	a.tracker.mu.Lock()
	settled := a.endpoint.settled
	_, mayBeCause := a.mayBeCause(a.endedAt)
	a.tracker.mu.Unlock()
	if settled == nil || !mayBeCause {
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

// recordSurvival records evidence for the features of an attempt, and tells the others if
// there is evidence against them. The caller holds the lock.
func (t *Tracker) recordSurvival(a *attempt) {
	now := time.Now()
	features := make([]crashcause.Feature, 0, len(a.uses))
	for _, use := range a.uses {
		features = append(features, use.Feature)
	}
	accused, acquitted := t.ledger.RecordSurvival(now, features...)
	if len(accused)+len(acquitted) > 0 {
		t.logSurvival(a, accused, acquitted)
	}
	if len(accused) == 0 {
		return
	}
	a.trial = nil
	notice := &peerpb.Notice{}
	for _, feature := range accused {
		notice.Survivals = append(notice.Survivals, &peerpb.FeatureSurvival{Feature: uint64(feature)})
	}
	t.notify(notice)
	t.verdicts.recordCleared(accused)
	t.apply(now)
}

// confirmCrash finds out in the background whether an endpoint that broke a connection has
// crashed. The caller holds the lock.
func (t *Tracker) confirmCrash(at *endpoint, now time.Time) {
	if at.brokenAt.IsZero() {
		at.brokenAt = now
	}
	if at.confirming {
		return
	}
	at.confirming, at.settled = true, make(chan struct{})
	brokenAt := at.brokenAt
	go func() {
		time.Sleep(probeDelay)
		probe := t.config.Prober.Probe(context.Background(), at.record.Address)
		gone := probe == relay.ProbeRefused || probe == relay.ProbeTimedOut
		crashed := gone && t.reachesOthers(at.record, brokenAt)
		t.mu.Lock()
		defer t.mu.Unlock()
		at.confirming = false
		if gone && !crashed {
			t.logUncounted(at, probe)
		}
		if crashed {
			t.reportCrash(at, probe)
			settled := at.settled
			time.AfterFunc(noticeTime, func() { close(settled) })
			return
		}
		close(at.settled)
		at.brokenAt = time.Time{}
		t.releaseBroken(at)
	}()
}

// reachesOthers reports whether this instance reaches another endpoint of the service: one
// that is itself cut off must not blame requests. If there is no other endpoint, nothing
// speaks against the crash.
func (t *Tracker) reachesOthers(record pool.Record, brokenAt time.Time) bool {
	endpoints := t.config.Pools.Service(record.Service)
	if endpoints.ActiveSince(record.ID, brokenAt) {
		return true
	}
	others := endpoints.Addresses(record.ID, pathProbes)
	if len(others) == 0 {
		return true
	}
	reached := make(chan bool, len(others))
	for _, address := range others {
		go func() { reached <- t.config.Prober.Probe(context.Background(), address) == relay.ProbeReached }()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return false
}

// releaseBroken ends the trials of attempts that broke without a crash.
func (t *Tracker) releaseBroken(at *endpoint) {
	for a := range at.ended {
		if a.isBroken {
			delete(at.ended, a)
			t.endTrial(a.trial)
		}
	}
}

// reportCrash accuses the features of the attempts at an endpoint that has crashed, and
// tells the others. The caller holds the lock.
func (t *Tracker) reportCrash(at *endpoint, probe relay.ProbeOutcome) {
	now := time.Now()
	lifetime := crashcause.Lifetime{Endpoint: at.record.ID, Born: at.record.Born}
	accused := t.accuse(at, now)
	t.config.Count(`wigeonusher_endpoint_crashes_total{service="` + string(at.record.Service) + `"}`)
	t.config.Logger.WithFields(logrus.Fields{
		"endpoint": at.record.ID, "born": at.record.Born, "service": at.record.Service, "probe": probe,
		"accused": len(accused), "requests": namesOfRequests(accused), "attempts": len(at.ended),
		"after_ms": now.Sub(at.brokenAt).Milliseconds(),
	}).Warn("endpoint crashed while it ran requests")
	t.ledger.RecordCrash(lifetime, at.brokenAt, accused)
	notice := &peerpb.Notice{}
	if len(accused) > 0 {
		notice.Crashes = append(notice.Crashes, encodeCrash(lifetime, now.Sub(at.brokenAt), accused))
	}
	for a := range at.ended {
		if len(a.trial) > 0 {
			t.delayTrial(now, a.trial...)
			notice.Trials = append(notice.Trials, encodeTrials(a.trial, true)...)
			a.trial = nil
		}
	}
	if len(notice.Crashes)+len(notice.Trials) > 0 {
		t.notify(notice)
	}
	t.apply(now)
}

// accuse returns the features of the attempts that may have crashed the endpoint.
func (t *Tracker) accuse(at *endpoint, now time.Time) []crashcause.Accusation {
	byFeature := make(map[crashcause.Feature]crashcause.Accusation)
	for a := range at.ended {
		begun, ok := a.mayBeCause(at.brokenAt)
		if !ok || a.reported {
			continue
		}
		a.reported = true
		for _, use := range a.uses {
			previous := byFeature[use.Feature]
			byFeature[use.Feature] = crashcause.Accusation{
				Use: use, Begun: begun || previous.Begun, Survived: t.ledger.HasSurvived(now, use.Feature),
			}
		}
	}
	accused := make([]crashcause.Accusation, 0, len(byFeature))
	for _, accusation := range byFeature {
		accused = append(accused, accusation)
	}
	return accused
}

// mayBeCause reports whether the attempt may have crashed its endpoint at the given time,
// and whether its answer had begun. An answer that has gone on for longer than blameWindow
// is not the cause.
func (a *attempt) mayBeCause(crashedAt time.Time) (begun, ok bool) {
	if !a.isBroken && crashedAt.Sub(a.endedAt) > blameWindow {
		return false, false
	}
	if a.headAt.IsZero() {
		return false, true
	}
	return true, crashedAt.Sub(a.headAt) <= blameWindow
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
			if a.cancel != nil && a.headAt.IsZero() && len(a.trial) == 0 && t.worstStanding(now, a.uses) != crashcause.Unsuspected {
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

func (t *Tracker) logStanding(feature crashcause.Feature, former crashcause.Standing, e crashcause.Explanation) {
	t.config.Count(`wigeonusher_feature_standings_total{standing="` + e.Standing.String() + `"}`)
	t.config.Logger.WithFields(logrus.Fields{
		"feature": crashcause.Name(feature), "standing": e.Standing.String(), "former": former.String(), "depth": e.Depth,
		"score": e.Score, "unexplained": e.Unexplained, "has_survived": e.Survived, "verdict": e.IsVerdict,
	}).Warn("suspicion of a feature changed")
}

// logUncounted logs an endpoint that seems to have ended, and for which nothing is accused.
func (t *Tracker) logUncounted(at *endpoint, probe relay.ProbeOutcome) {
	t.config.Count(`wigeonusher_uncounted_crashes_total`)
	t.config.Logger.WithFields(logrus.Fields{
		"endpoint": at.record.ID, "born": at.record.Born, "service": at.record.Service, "probe": probe, "attempts": len(at.ended),
		"reason": "no other endpoint of the service reached",
	}).Warn("endpoint that cannot be reached is not counted as crashed")
}

// logSurvival logs what cleared features that were suspected, guilty or being tried, and whole
// requests that were accused.
func (t *Tracker) logSurvival(a *attempt, cleared, acquitted []crashcause.Feature) {
	t.config.Logger.WithFields(logrus.Fields{
		"features": namesOf(cleared), "requests": namesOf(acquitted), "endpoint": a.endpoint.record.ID, "born": a.endpoint.record.Born,
		"attempt_has_ended": !a.endedAt.IsZero(), "failed": a.failed,
	}).Warn("endpoint survived what was accused of crashes")
}

// maxNames bounds the features in one line.
const maxNames = 8

func namesOf(features []crashcause.Feature) []string {
	names := make([]string, 0, min(len(features), maxNames))
	for _, feature := range features[:min(len(features), maxNames)] {
		names = append(names, crashcause.Name(feature))
	}
	return names
}

// namesOfRequests returns the names of the whole requests among the accused features.
func namesOfRequests(accused []crashcause.Accusation) []string {
	var requests []crashcause.Feature
	for _, a := range accused {
		if a.Depth == crashcause.WholeRequest {
			requests = append(requests, a.Feature)
		}
	}
	return namesOf(requests)
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
		if at.confirming {
			continue
		}
		for a := range at.ended {
			if now.Sub(a.endedAt) > endedMemory {
				delete(at.ended, a)
				if !a.isBroken {
					t.endTrial(a.trial)
				}
			}
		}
		if len(at.running)+len(at.ended) == 0 {
			delete(t.endpoints, lifetime)
		}
	}
}
