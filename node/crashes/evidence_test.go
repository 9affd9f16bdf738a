package crashes

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
)

// attemptCase is an attempt at an endpoint, how it ends, and what is known of the endpoint then.
type attemptCase struct {
	name string
	// head is the time from the sending to the head of the answer, and events whether events
	// follow; a negative head never comes.
	head   time.Duration
	events bool
	// lasts is the time from the sending to the end of the attempt.
	lasts time.Duration
	end   relay.AttemptEnd
	// probe is what the endpoint's port does from downAfter the end of the attempt on.
	probe     relay.ProbeOutcome
	downAfter time.Duration
	// before changes what is known before the attempt ends, and after it later.
	before, after func(f *fleet, endpoint pool.Record)
}

const noHead = -1

// run plays the attempt at an endpoint.
func (c attemptCase) run(f *fleet, endpoint pool.Record, uses []crashcause.Use) {
	watch := f.trackers[0].Begin(endpoint, uses, crashcause.Decision{})
	watch.SetCancel(func(error) {})
	sent := time.Now()
	if c.head >= 0 {
		time.Sleep(c.head)
		watch.RecordHead()
		if c.events {
			watch.RecordFirstEvent()
		}
	}
	time.Sleep(c.lasts - time.Since(sent))
	if c.before != nil {
		c.before(f, endpoint)
	}
	if c.downAfter == 0 {
		f.prober.set(endpoint.Address, c.probe)
	} else {
		time.AfterFunc(c.downAfter, func() { f.prober.set(endpoint.Address, c.probe) })
	}
	watch.End(c.end)
	watch.AwaitCause(context.Background())
	time.Sleep(2 * time.Second)
	if c.after != nil {
		c.after(f, endpoint)
		time.Sleep(2 * time.Second)
	}
}

// registerAnew lists a new lifetime of an endpoint.
func registerAnew(f *fleet, endpoint pool.Record) {
	endpoint.Born++
	f.pools.Put(endpoint)
}

// The rows of the table in docs/design/crash-evidence.md.
func TestEvidenceIsWhatTheEndpointShowsNotHowTheAttemptEnds(t *testing.T) {
	const soon, late = 100 * time.Millisecond, 800 * time.Millisecond
	othersDown := func(outcome relay.ProbeOutcome) func(f *fleet, _ pool.Record) {
		return func(f *fleet, _ pool.Record) {
			for n := range 8 {
				f.prober.set(endpointAt(n).Address, outcome)
			}
		}
	}
	allDown := func(f *fleet, endpoint pool.Record) {
		othersDown(relay.ProbeRefused)(f, endpoint)
		f.prober.set(otherService.Address, relay.ProbeTimedOut)
	}
	leaving := func(f *fleet, endpoint pool.Record) {
		endpoint.Leaving, endpoint.Sequence = true, 1
		f.pools.Put(endpoint)
	}
	unlisted := func(f *fleet, endpoint pool.Record) { f.pools.Remove(time.Now(), endpoint.ID) }
	const refused, normal = crashcause.Refused, crashcause.Normal
	for _, c := range []struct {
		attemptCase
		request, part crashcause.Permission
	}{
		{attemptCase{name: "broken without a head, endpoint gone", head: noHead, lasts: soon, end: relay.AttemptBroken, probe: relay.ProbeRefused}, refused, normal},
		{attemptCase{name: "broken without a head for long, endpoint gone", head: noHead, lasts: late, end: relay.AttemptBroken, probe: relay.ProbeRefused}, refused, normal},
		{attemptCase{name: "broken after the head, endpoint gone", lasts: soon, end: relay.AttemptBroken, probe: relay.ProbeRefused}, refused, refused},
		{attemptCase{name: "broken long after the head, endpoint gone", lasts: late, end: relay.AttemptBroken, probe: relay.ProbeRefused}, refused, normal},
		{attemptCase{name: "broken after events for long, endpoint gone", events: true, lasts: late, end: relay.AttemptBroken, probe: relay.ProbeRefused}, refused, normal},
		{attemptCase{name: "broken, endpoint silent", lasts: soon, end: relay.AttemptBroken, probe: relay.ProbeTimedOut}, refused, refused},
		{attemptCase{name: "broken, endpoint goes on", lasts: soon, end: relay.AttemptBroken, probe: relay.ProbeReached}, normal, normal},
		{attemptCase{name: "broken, all endpoints of the service gone", lasts: soon, end: relay.AttemptBroken, probe: relay.ProbeRefused, before: othersDown(relay.ProbeRefused)}, refused, refused},
		{attemptCase{name: "broken, no endpoint reached", lasts: soon, end: relay.AttemptBroken, probe: relay.ProbeRefused, before: allDown}, normal, normal},
		{attemptCase{name: "broken, no endpoint reached, registered anew", lasts: soon, end: relay.AttemptBroken, probe: relay.ProbeRefused, before: allDown, after: registerAnew}, refused, refused},
		{attemptCase{name: "broken, endpoint leaving", lasts: soon, end: relay.AttemptBroken, probe: relay.ProbeRefused, before: leaving}, normal, normal},
		{attemptCase{name: "broken, endpoint not listed any more", lasts: soon, end: relay.AttemptBroken, probe: relay.ProbeRefused, before: unlisted}, normal, normal},
		{attemptCase{name: "ended here without a head, endpoint gone", head: noHead, lasts: soon, end: relay.AttemptCanceled, probe: relay.ProbeRefused, downAfter: 50 * time.Millisecond}, refused, normal},
		{attemptCase{name: "ended here after the head, endpoint gone", lasts: soon, end: relay.AttemptCanceled, probe: relay.ProbeRefused, downAfter: 50 * time.Millisecond}, refused, refused},
		{attemptCase{name: "ended here, endpoint gone later", lasts: soon, end: relay.AttemptCanceled, probe: relay.ProbeRefused, downAfter: 600 * time.Millisecond}, refused, normal},
		{attemptCase{name: "ended here, endpoint goes on", lasts: soon, end: relay.AttemptCanceled, probe: relay.ProbeReached}, normal, normal},
		{attemptCase{name: "ended here, endpoint silent", lasts: soon, end: relay.AttemptCanceled, probe: relay.ProbeTimedOut}, normal, normal},
		{attemptCase{name: "ended here, endpoint silent, registered anew", lasts: soon, end: relay.AttemptCanceled, probe: relay.ProbeTimedOut, after: registerAnew}, refused, refused},
		{attemptCase{name: "not run, endpoint gone", head: noHead, lasts: soon, end: relay.AttemptNotRun, probe: relay.ProbeRefused}, normal, normal},
		{attemptCase{name: "failure, endpoint gone", lasts: soon, end: relay.AttemptFailed, probe: relay.ProbeRefused}, normal, normal},
		{attemptCase{name: "failure, endpoint goes on", lasts: soon, end: relay.AttemptFailed, probe: relay.ProbeReached}, normal, normal},
		{attemptCase{name: "complete, endpoint gone", events: true, lasts: soon, end: relay.AttemptComplete, probe: relay.ProbeRefused}, normal, normal},
	} {
		t.Run(c.name+", request", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				again := crashcause.PartUses(4711, nil)
				c.checkAfterThree(t, func() []crashcause.Use { return again }, c.request)
			})
		})
		t.Run(c.name+", part", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.checkAfterThree(t, func() []crashcause.Use { return request("part") }, c.part)
			})
		})
	}
}

// checkAfterThree plays the attempt at three endpoints, one after the other.
func (c attemptCase) checkAfterThree(t *testing.T, uses func() []crashcause.Use, expected crashcause.Permission) {
	t.Helper()
	f := newFleet(t, 2, 8)
	f.pools.Put(otherService)
	for n := range 3 {
		c.run(f, endpointAt(n), uses())
	}
	for n, tracker := range f.trackers {
		last := uses()
		assert.Check(t, isRefused(tracker, last) == (expected == crashcause.Refused), "features %d, instance %d", len(last), n)
	}
}

func isRefused(tracker *Tracker, uses []crashcause.Use) bool {
	return tracker.permission(uses) == crashcause.Refused
}

// What speaks for a request and for a part that two crashes accuse.
func TestOnlyARunToTheEndClearsARequest(t *testing.T) {
	const soon, late = 100 * time.Millisecond, 800 * time.Millisecond
	for _, c := range []struct {
		attemptCase
		clearsRequest, clearsPart bool
	}{
		{attemptCase{name: "complete", events: true, lasts: soon, end: relay.AttemptComplete}, true, true},
		{attemptCase{name: "failure", lasts: soon, end: relay.AttemptFailed}, false, false},
		{attemptCase{name: "not run", head: noHead, lasts: soon, end: relay.AttemptNotRun}, false, false},
		{attemptCase{name: "ended here", lasts: soon, end: relay.AttemptCanceled}, false, false},
		{attemptCase{name: "broken, endpoint goes on", lasts: soon, end: relay.AttemptBroken}, false, false},
		{attemptCase{name: "ended here after events for long", events: true, lasts: late, end: relay.AttemptCanceled}, false, true},
		{attemptCase{name: "failure after events for long", events: true, lasts: late, end: relay.AttemptFailed}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 8)
				whole := crashcause.PartUses(4711, []string{"part"})
				for n := range 2 {
					f.crash(f.trackers[n], endpointAt(n), whole)
				}
				c.probe = relay.ProbeReached
				c.run(f, endpointAt(5), whole)
				for n, tracker := range f.trackers {
					standing := func(use crashcause.Use) crashcause.Standing {
						tracker.mu.Lock()
						defer tracker.mu.Unlock()
						return tracker.ledger.Standing(time.Now(), use.Feature)
					}
					assert.Check(t, (standing(whole[0]) == crashcause.Unsuspected) == c.clearsRequest, "the request, instance %d", n)
					assert.Check(t, (standing(whole[1]) == crashcause.Unsuspected) == c.clearsPart, "the part, instance %d", n)
				}
			})
		})
	}
}

// Two requests are always at the same endpoints, and one of them crashes these. Trials tell them apart.
func TestSoundRequestBesideOneThatCrashesEndpointsIsNotRefused(t *testing.T) {
	for bad := range 2 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2, 8)
			requests := [][]crashcause.Use{crashcause.PartUses(1, nil), crashcause.PartUses(2, nil)}
			for n := range 3 {
				f.crash(f.trackers[0], endpointAt(n), requests[bad], requests[1-bad])
			}
			for n := range 8 {
				for _, i := range []int{1 - bad, bad} {
					uses := requests[i]
					decision := f.trackers[1].Admit(uses)
					for wait := 0; decision.Permission == crashcause.Pending && wait < 100; wait++ {
						time.Sleep(20 * time.Millisecond)
						decision = f.trackers[1].Admit(uses)
					}
					if decision.Permission == crashcause.Refused {
						assert.Equal(t, i, bad, "the sound request is refused")
						continue
					}
					endpoint := endpointAt(3 + n%5)
					endpoint.Born = int64(2 + n)
					watch := f.trackers[1].Begin(endpoint, uses, decision)
					time.Sleep(100 * time.Millisecond)
					watch.RecordHead()
					time.Sleep(50 * time.Millisecond)
					if i != bad {
						f.prober.set(endpoint.Address, relay.ProbeReached)
						watch.End(relay.AttemptComplete)
						continue
					}
					f.prober.set(endpoint.Address, relay.ProbeRefused)
					watch.End(relay.AttemptBroken)
					time.Sleep(time.Second)
					f.prober.set(endpoint.Address, relay.ProbeReached)
				}
			}
			assert.Equal(t, f.trackers[0].permission(requests[bad]), crashcause.Refused)
			assert.Equal(t, f.trackers[0].permission(requests[1-bad]), crashcause.Normal)
		})
	}
}

// Endpoints are back in a lifetime that this instance cannot learn, because the registry is away.
func TestCrashesOfAnEndpointWhoseNewLifetimeIsNotKnownCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2)
		whole := crashcause.PartUses(4711, nil)
		for n := range 4 {
			f.prober.set(endpointAt(0).Address, relay.ProbeReached)
			f.crash(f.trackers[n%2], endpointAt(0), whole)
			time.Sleep(3 * time.Second)
		}
		for n, tracker := range f.trackers {
			assert.Check(t, isRefused(tracker, whole), "instance "+strconv.Itoa(n))
		}
	})
}

// A silent endpoint takes the same popular request from several instances, one after the other. It
// ends once.
func TestRequestsAtOneEndpointThatIsGoneCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 8)
		whole := crashcause.PartUses(4711, nil)
		f.prober.set(endpointAt(0).Address, relay.ProbeTimedOut)
		for n := range 4 {
			watch := f.trackers[n].Begin(endpointAt(0), whole, crashcause.Decision{})
			time.Sleep(700 * time.Millisecond)
			watch.End(relay.AttemptBroken)
			time.Sleep(200 * time.Millisecond)
		}
		assert.Equal(t, f.trackers[0].permission(whole), crashcause.Normal)
	})
}

// slowProber tells what an address did when the probe began.
type slowProber struct{ relay.Prober }

func (p slowProber) Probe(ctx context.Context, address string) relay.ProbeOutcome {
	outcome := p.Prober.Probe(ctx, address)
	time.Sleep(10 * time.Millisecond)
	return outcome
}

// A check after an attempt that has ended here begins just before the endpoint crashes.
func TestCrashDuringACheckIsNotSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 8)
		tracker := f.trackers[0]
		tracker.config.Prober = slowProber{tracker.config.Prober}
		whole := crashcause.PartUses(4711, nil)
		for n := range 3 {
			endpoint := endpointAt(n)
			tracker.Begin(endpoint, request(), crashcause.Decision{}).End(relay.AttemptCanceled)
			watch := tracker.Begin(endpoint, whole, crashcause.Decision{})
			for !isExamined(tracker, endpoint) {
				time.Sleep(time.Millisecond)
			}
			f.prober.set(endpoint.Address, relay.ProbeRefused)
			watch.End(relay.AttemptBroken)
			time.Sleep(2 * time.Second)
		}
		assert.Assert(t, isRefused(tracker, whole))
	})
}

func isExamined(tracker *Tracker, endpoint pool.Record) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.endpoints[crashcause.Lifetime{Endpoint: endpoint.ID, Born: endpoint.Born}].confirming
}
