package crashes

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// probeDelay is the time until a crashed endpoint refuses connections.
	probeDelay = 20 * time.Millisecond
	// An endpoint is checked firstCheck after an attempt that has ended on this side, and then each
	// checkInterval until endedMemory is over.
	firstCheck    = 100 * time.Millisecond
	checkInterval = 450 * time.Millisecond
	// breakTolerance is the difference between the times at which instances notice the same crash, if
	// the endpoint's port refuses connections.
	breakTolerance = 150 * time.Millisecond
	// pathProbes bounds the endpoints that are probed to find out whether this instance
	// reaches any: more than the few that may be down at the same time.
	pathProbes = 6
	// unclearMemory is how long an endpoint whose end is not clear is kept: longer than an endpoint
	// takes to start and register again. It is examined each unclearInterval while others are
	// active.
	unclearMemory   = 10 * time.Second
	unclearInterval = 500 * time.Millisecond
	// returnMemory is how long a crash is kept to notice that the endpoint returns in the same
	// lifetime, as far as the registry tells, and maxEndpoints bounds the endpoints that are kept.
	returnMemory = time.Minute
	maxEndpoints = 2048
)

// ending is what is known of an endpoint at which an attempt did not come to its end.
type ending int

const (
	// goesOn: the endpoint accepts connections.
	goesOn ending = iota
	// hasLeft: it had announced that it leaves, or is not listed any more.
	hasLeft
	// isUnclear: the endpoint is not reached, and the path of this instance may be the reason.
	isUnclear
	// hasCrashed: it has ended without that.
	hasCrashed
)

// confirmCrash finds out in the background whether an endpoint that broke a connection has
// crashed. The caller holds the lock.
func (t *Tracker) confirmCrash(at *endpoint, now time.Time) {
	if at.brokenAt.IsZero() {
		at.brokenAt = now
	}
	at.isExaminedAgain = at.isExamined
	t.settle(at, probeDelay)
}

// settle examines an endpoint after the delay, and acts on the result. The caller holds the lock.
func (t *Tracker) settle(at *endpoint, delay time.Duration) {
	if at.confirming {
		return
	}
	at.confirming, at.settled = true, make(chan struct{})
	go func() {
		end, probe := t.examineAfter(at, delay)
		t.mu.Lock()
		if at.isExaminedAgain { // the connection broke while the endpoint was examined
			t.mu.Unlock()
			end, probe = t.examineAfter(at, probeDelay)
			t.mu.Lock()
		}
		defer t.mu.Unlock()
		at.confirming, at.isExamined = false, false
		settled := at.settled
		if t.conclude(at, end, probe) == hasCrashed {
			time.AfterFunc(noticeTime, func() { close(settled) })
			return
		}
		close(settled)
	}()
}

func (t *Tracker) examineAfter(at *endpoint, delay time.Duration) (ending, relay.ProbeOutcome) {
	time.Sleep(delay)
	t.mu.Lock()
	at.isExamined, at.isExaminedAgain = true, false
	record := at.record
	t.mu.Unlock()
	return t.examine(record)
}

// examine finds out whether an endpoint has ended. The registry may tell; otherwise its port does, as
// far as this instance reaches any.
func (t *Tracker) examine(record pool.Record) (ending, relay.ProbeOutcome) {
	listed, ok := t.config.Pools.Service(record.Service).Lookup(record.ID)
	switch {
	case ok && listed.Born > record.Born:
		return hasCrashed, ""
	case !ok || listed.Leaving:
		return hasLeft, ""
	}
	probe := t.config.Prober.Probe(context.Background(), record.Address)
	switch {
	case probe != relay.ProbeRefused && probe != relay.ProbeTimedOut:
		return goesOn, probe
	case t.reachesOthers(record, probe):
		return hasCrashed, probe
	default:
		return isUnclear, probe
	}
}

// reachesOthers reports whether this instance reaches other endpoints: one that is itself cut off
// must not blame requests. If all others of the service are down, one of another service shows that
// the path is sound, unless the endpoint is silent. If there is no other endpoint, nothing speaks
// against the crash.
func (t *Tracker) reachesOthers(record pool.Record, probe relay.ProbeOutcome) bool {
	same := t.config.Pools.Service(record.Service).Addresses(record.ID, pathProbes)
	if t.reachesAny(same) {
		return true
	}
	if len(same) > 0 && probe != relay.ProbeRefused {
		return false
	}
	others := t.config.Pools.Addresses(record.ID, pathProbes)
	return len(same)+len(others) == 0 || t.reachesAny(others)
}

func (t *Tracker) reachesAny(addresses []string) bool {
	reached := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { reached <- t.config.Prober.Probe(context.Background(), address) == relay.ProbeReached }()
	}
	for range addresses {
		if <-reached {
			return true
		}
	}
	return false
}

// conclude acts on the end of an endpoint. A silent one that broke no connection remains
// unclear: only its registration can tell that it has ended. The caller holds the lock.
func (t *Tracker) conclude(at *endpoint, end ending, probe relay.ProbeOutcome) ending {
	reason := "no other endpoint reached"
	if end == hasCrashed && probe == relay.ProbeTimedOut && !at.hasBroken() {
		end, reason = isUnclear, "endpoint is silent and broke no connection"
	}
	now := time.Now()
	if at.brokenAt.IsZero() && end != goesOn {
		at.brokenAt = now
	}
	switch end {
	case hasCrashed:
		t.reportCrash(at, probe)
	case isUnclear:
		if at.unclearAt.IsZero() {
			at.unclearAt = now
			t.logUncounted(at, probe, reason)
		}
		t.endTrials(at)
	case hasLeft:
		t.logUncounted(at, probe, "endpoint has left")
		t.release(at)
	case goesOn:
		if at.unclearAt.IsZero() {
			t.release(at)
		}
	}
	return end
}

// hasBroken reports whether the endpoint broke a connection lately.
func (at *endpoint) hasBroken() bool {
	for a := range at.ended {
		if a.end == relay.AttemptBroken {
			return true
		}
	}
	return false
}

// release forgets the attempts that broke without a crash. Those that have ended on this side are
// kept for a crash that follows. The caller holds the lock.
func (t *Tracker) release(at *endpoint) {
	at.brokenAt, at.unclearAt = time.Time{}, time.Time{}
	for a := range at.ended {
		if a.end == relay.AttemptBroken {
			delete(at.ended, a)
			t.endTrial(a.trial)
		}
	}
}

// endTrials ends the trials at an endpoint without a result. The caller holds the lock.
func (t *Tracker) endTrials(at *endpoint) {
	for a := range at.ended {
		t.endTrial(a.trial)
		a.trial = nil
	}
}

// checkLater plans checks whether an endpoint ends after an attempt there that has ended on this
// side. The caller holds the lock.
func (at *endpoint) checkLater(now time.Time) {
	if at.checkAt.IsZero() {
		at.checkAt = now.Add(firstCheck)
	}
}

// examineDue examines the endpoints that are due for it.
func (t *Tracker) examineDue(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.endpoints {
		switch {
		case at.confirming:
		case !at.unclearAt.IsZero():
			t.resolveUnclear(at, now)
		case !at.checkAt.IsZero() && !now.Before(at.checkAt):
			t.check(at, now)
		}
	}
}

// check examines an endpoint as long as attempts that have ended on this side may end it. The caller
// holds the lock.
func (t *Tracker) check(at *endpoint, now time.Time) {
	at.checkAt = time.Time{}
	for a := range at.ended {
		if a.end == relay.AttemptCanceled && !a.reported && now.Sub(a.endedAt) <= endedMemory {
			at.checkAt = now.Add(checkInterval)
			t.settle(at, 0)
			return
		}
	}
}

// resolveUnclear examines an endpoint whose end is not clear, or forgets it. The caller holds the
// lock.
func (t *Tracker) resolveUnclear(at *endpoint, now time.Time) {
	listed, ok := t.config.Pools.Service(at.record.Service).Lookup(at.record.ID)
	switch {
	case ok && listed.Born > at.record.Born:
		t.reportCrash(at, "")
	case !ok || listed.Leaving || now.Sub(at.unclearAt) > unclearMemory:
		t.release(at)
	case now.Sub(at.examinedAt) > unclearInterval && t.config.Pools.ActiveSince(at.record.ID, at.unclearAt):
		at.examinedAt = now
		t.settle(at, 0)
	}
}

// watchReturn finds out whether an endpoint that has crashed is back, though the registry lists no
// new lifetime of it: it may crash again. The caller holds the lock.
func (t *Tracker) watchReturn(at *endpoint) {
	if at.crashedAt.IsZero() || !at.returnedAt.IsZero() {
		return
	}
	address := at.record.Address
	go func() {
		if t.config.Prober.Probe(context.Background(), address) != relay.ProbeReached {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if at.returnedAt.IsZero() {
			at.returnedAt, at.brokenAt = time.Now(), time.Time{}
			t.ledger.RecordReturn(at.lifetime(), at.returnedAt)
		}
	}()
}

// recordCrashed remembers a crash of this lifetime.
func (at *endpoint) recordCrashed(crashedAt time.Time) {
	at.crashedAt, at.returnedAt, at.unclearAt = crashedAt, time.Time{}, time.Time{}
}

// reportCrash accuses the features of the attempts at an endpoint that has crashed, and
// tells the others. The caller holds the lock.
func (t *Tracker) reportCrash(at *endpoint, probe relay.ProbeOutcome) {
	now := time.Now()
	accused := t.accuse(at, now)
	t.logCrash(at, probe, accused, now)
	t.ledger.RecordCrash(at.lifetime(), at.brokenAt, accused)
	notice := &peerpb.Notice{}
	if len(accused) > 0 {
		notice.Crashes = append(notice.Crashes, at.encodeCrash(now, accused))
	}
	for a := range at.ended {
		if len(a.trial) > 0 {
			t.delayTrial(now, a.trial...)
			notice.Trials = append(notice.Trials, encodeTrials(a.trial, true)...)
			a.trial = nil
		}
	}
	at.recordCrashed(at.brokenAt)
	if len(notice.Crashes)+len(notice.Trials) > 0 {
		t.notify(notice)
	}
	t.apply(now)
}

func (t *Tracker) logCrash(at *endpoint, probe relay.ProbeOutcome, accused []crashcause.Accusation, now time.Time) {
	t.config.Count(`wigeonusher_endpoint_crashes_total{service="` + string(at.record.Service) + `"}`)
	t.config.Logger.WithFields(logrus.Fields{
		"endpoint": at.record.ID, "born": at.record.Born, "service": at.record.Service, "probe": probe,
		"accused": len(accused), "requests": namesOfRequests(accused), "attempts": len(at.ended),
		"after_ms": now.Sub(at.brokenAt).Milliseconds(),
	}).Warn("endpoint crashed while it ran requests")
}

// accuse returns the features of the attempts that may have crashed the endpoint, whole requests
// first.
func (t *Tracker) accuse(at *endpoint, now time.Time) []crashcause.Accusation {
	byFeature := make(map[crashcause.Feature]crashcause.Accusation)
	for a := range at.ended {
		if a.reported || !a.mayEnd(at.brokenAt) {
			continue
		}
		a.reported = true
		for _, use := range a.uses {
			if use.Depth != crashcause.WholeRequest && !a.mayEndByPart(at.brokenAt) {
				continue
			}
			previous, isKnown := byFeature[use.Feature]
			byFeature[use.Feature] = crashcause.Accusation{
				Use: use, Begun: !a.headAt.IsZero() || previous.Begun, Survived: t.ledger.HasSurvived(now, use.Feature),
				Late: !a.mayEndByPart(at.brokenAt) && (previous.Late || !isKnown),
				Held: max(previous.Held, at.brokenAt.Sub(a.sentAt)),
			}
		}
	}
	accused := make([]crashcause.Accusation, 0, len(byFeature))
	for _, accusation := range byFeature {
		accused = append(accused, accusation)
	}
	slices.SortFunc(accused, func(a, b crashcause.Accusation) int {
		return cmp.Or(cmp.Compare(b.Depth, a.Depth), cmp.Compare(a.Feature, b.Feature))
	})
	return accused
}

// mayEnd reports whether the request may have ended its endpoint at the given time: it was there
// without having been run to its end. An endpoint may go on with it for a while after the attempt has
// ended on this side. A connection that broke before the endpoint crashed had another reason.
func (a *attempt) mayEnd(crashedAt time.Time) bool {
	tolerance := endedMemory
	if a.end == relay.AttemptBroken {
		tolerance = breakTolerance
	}
	return crashedAt.Sub(a.endedAt) <= tolerance
}

// mayEndByPart reports whether a part of the prompt may be the cause. Many requests have it, so an
// answer that has gone on for longer than blameWindow says that it is not.
func (a *attempt) mayEndByPart(crashedAt time.Time) bool {
	if a.end != relay.AttemptBroken && crashedAt.Sub(a.endedAt) > blameWindow {
		return false
	}
	return a.headAt.IsZero() || crashedAt.Sub(a.headAt) <= blameWindow
}
