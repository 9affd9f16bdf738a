package crashes

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/tailer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const service = "models"

// outcomes is a [relay.Prober] with an outcome for each address; the others are reached.
type outcomes struct {
	mu sync.Mutex
	by map[string]relay.ProbeOutcome
}

func (o *outcomes) Probe(_ context.Context, address string) relay.ProbeOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome, ok := o.by[address]; ok {
		return outcome
	}
	return relay.ProbeReached
}

func (o *outcomes) set(address string, outcome relay.ProbeOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.by[address] = outcome
}

// instanceProber is the prober of one instance, which may be cut off from all endpoints.
type instanceProber struct {
	*outcomes
	isCutOff func() bool
}

func (p *instanceProber) Probe(ctx context.Context, address string) relay.ProbeOutcome {
	if p.isCutOff != nil && p.isCutOff() {
		return relay.ProbeTimedOut
	}
	return p.outcomes.Probe(ctx, address)
}

// fleet is a group of trackers that deliver their notices to each other.
type fleet struct {
	pools    *pool.Pools
	prober   *outcomes
	proberOf []*instanceProber
	log      *memoryLog
	trackers []*Tracker
}

// noticeDelay is the time that a notice takes.
const noticeDelay = 5 * time.Millisecond

// link is the [Notifier] of one tracker. A cut one delivers nothing.
type link struct {
	fleet *fleet
	from  int
	cut   bool

	mu   sync.Mutex
	sent int
}

// count returns the number of notices sent.
func (l *link) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

func (l *link) NotifyCrash(notice *peerpb.Notice) {
	l.mu.Lock()
	l.sent++
	l.mu.Unlock()
	if l.cut {
		return
	}
	for n, t := range l.fleet.trackers {
		if n != l.from {
			time.AfterFunc(noticeDelay, func() {
				reply := t.HandleNotice(notice)
				time.AfterFunc(noticeDelay, func() { l.fleet.trackers[l.from].HandleNotice(&peerpb.Notice{Survivals: reply.Survivals}) })
			})
		}
	}
}

// memoryLog is a [keyed.Log] with one topic.
type memoryLog struct {
	mu      sync.Mutex
	records []keyed.Record
}

func (m *memoryLog) Newest(context.Context, keyed.Topic) (keyed.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return keyed.Page{Records: m.records, Next: keyed.Position{Offset: keyed.Offset(len(m.records))}}, nil
}

func (m *memoryLog) Read(ctx context.Context, _ keyed.Topic, from keyed.Position, wait time.Duration) (keyed.Page, error) {
	const pause = 20 * time.Millisecond
	for waited := time.Duration(0); waited < wait && ctx.Err() == nil; waited += pause {
		m.mu.Lock()
		next := keyed.Position{Offset: keyed.Offset(len(m.records))}
		if next.Offset > from.Offset {
			defer m.mu.Unlock()
			return keyed.Page{Records: m.records[from.Offset:], Next: next}, nil
		}
		m.mu.Unlock()
		time.Sleep(pause)
	}
	return keyed.Page{Next: from}, ctx.Err()
}

func (m *memoryLog) AppendAt(_ context.Context, _ keyed.Topic, at keyed.Position, key string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Offset != keyed.Offset(len(m.records)) {
		return keyed.ErrConflict
	}
	m.records = append(m.records, keyed.Record{Key: key, Value: value, Offset: at.Offset})
	return nil
}

// newFleet starts trackers that know the given number of endpoints.
func newFleet(t *testing.T, size, endpoints int) *fleet {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f := &fleet{prober: &outcomes{by: make(map[string]relay.ProbeOutcome)}, log: &memoryLog{}}
	pools := pool.New("zone", logrus.NewEntry(logger))
	f.pools = pools
	for n := range endpoints {
		pools.Put(endpointAt(n))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	for n := range size {
		f.proberOf = append(f.proberOf, &instanceProber{outcomes: f.prober})
		tracker := New(Config{
			Prober: f.proberOf[n], Pools: pools, Notifier: &link{fleet: f, from: n},
			Logger: logrus.NewEntry(logger), Count: func(string) {},
		})
		f.trackers = append(f.trackers, tracker)
		running.Go(func() { _ = tracker.Run(ctx, f.log, "verdicts") })
		topic := tracker.TopicConfig("verdicts")
		topic.Log, topic.Logger = f.log, logrus.NewEntry(logger)
		running.Go(func() { _ = tailer.New(topic).Run(ctx) })
	}
	return f
}

// otherService is an endpoint of another service than that of [endpointAt].
var otherService = pool.Record{ID: "other", Service: "other", Address: "other", Born: 1, Slots: 8}

func endpointAt(n int) pool.Record {
	name := "e" + strconv.Itoa(n)
	return pool.Record{ID: platform.EndpointID(name), Service: service, Address: name, Born: 1, Slots: 8}
}

// request returns the features of a request with the shared parts. No two are alike.
func request(parts ...string) []crashcause.Use {
	nextRequest++
	return crashcause.PartUses(nextRequest, parts)
}

var nextRequest uint64 = 1 << 32

func (t *Tracker) permission(uses []crashcause.Use) crashcause.Permission {
	decision := t.Admit(uses)
	t.Release(decision)
	return decision.Permission
}

// crash sends the requests to an endpoint, which crashes after it has begun an answer to the
// first; the others wait.
func (f *fleet) crash(tracker *Tracker, endpoint pool.Record, requests ...[]crashcause.Use) {
	var watches []relay.AttemptWatch
	for _, uses := range requests {
		watches = append(watches, tracker.Begin(endpoint, uses, crashcause.Decision{}))
	}
	time.Sleep(100 * time.Millisecond)
	watches[0].RecordHead()
	time.Sleep(50 * time.Millisecond)
	f.prober.set(endpoint.Address, relay.ProbeRefused)
	for _, watch := range watches {
		watch.End(relay.AttemptBroken)
	}
	time.Sleep(100 * time.Millisecond)
}

func TestPartThatCrashesEndpointsIsRefusedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 8)
		for n := range 3 {
			assert.Assert(t, f.trackers[n].permission(request("all", "bad")) != crashcause.Refused, "after %d crashes", n)
			f.crash(f.trackers[n], endpointAt(n), request("all", "bad"), request("all", "other"+strconv.Itoa(n)))
		}
		for _, tracker := range f.trackers {
			assert.Equal(t, tracker.permission(request("all", "bad")), crashcause.Refused)
			assert.Equal(t, tracker.permission(request("all", "bad", "more")), crashcause.Refused)
			assert.Equal(t, tracker.permission(request("other0")), crashcause.Normal)
		}
	})
}

// A request that comes again, with the same path, account and body.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 8)
		again := request()
		for n := range 3 {
			assert.Assert(t, f.trackers[0].permission(again) != crashcause.Refused, "after %d crashes", n)
			f.crash(f.trackers[0], endpointAt(n), again)
		}
		assert.Equal(t, f.trackers[0].permission(again), crashcause.Refused)
		assert.Equal(t, f.trackers[1].permission(again), crashcause.Refused)
		assert.Equal(t, f.trackers[0].permission(request()), crashcause.Normal)
	})
}

func TestLostAnswerIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 8)
		for range 5 {
			f.trackers[0].Begin(endpointAt(0), request("bad"), crashcause.Decision{}).End(relay.AttemptBroken)
			time.Sleep(time.Second)
		}
		assert.Equal(t, f.trackers[0].permission(request("bad")), crashcause.Normal)
	})
}

// An instance that is cut off from the endpoints cannot tell a crash from its own broken
// path.
func TestInstanceThatReachesNoEndpointBlamesNoRequest(t *testing.T) {
	for _, outcome := range []relay.ProbeOutcome{relay.ProbeRefused, relay.ProbeTimedOut} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2, 8)
			for n := range 8 {
				f.prober.set(endpointAt(n).Address, outcome)
			}
			again := request("all", "part")
			time.Sleep(time.Second)
			for n := range 8 {
				f.crash(f.trackers[0], endpointAt(n), again)
			}
			assert.Equal(t, f.trackers[0].permission(again), crashcause.Normal, outcome)
			assert.Equal(t, f.trackers[1].permission(again), crashcause.Normal, outcome)
		})
	}
}

// An endpoint takes all its requests with it; those that it has answered for a while are not
// the cause.
func TestAnswerThatHasGoneOnIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 8)
		for n := range 4 {
			running := f.trackers[0].Begin(endpointAt(n), request("long"), crashcause.Decision{})
			running.RecordHead()
			running.RecordFirstEvent()
			time.Sleep(2 * time.Second)
			f.prober.set(endpointAt(n).Address, relay.ProbeRefused)
			running.End(relay.AttemptBroken)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, f.trackers[0].permission(request("long")), crashcause.Normal)
	})
}

// The instance drops an answer whose model is not confident, a moment before it crashes the
// endpoint; another attempt shows the crash.
func TestAnswerDroppedJustBeforeTheCrashIsBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 8)
		for n := range 3 {
			dropped := f.trackers[0].Begin(endpointAt(n), request("bad"), crashcause.Decision{})
			dropped.RecordHead()
			dropped.RecordFirstEvent()
			dropped.End(relay.AttemptCanceled)
			time.Sleep(50 * time.Millisecond)
			f.crash(f.trackers[1], endpointAt(n), request("x"+strconv.Itoa(n)))
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, f.trackers[1].permission(request("bad")), crashcause.Refused)
	})
}

func TestVerdictReachesInstancesThatAreCutOffFromTheirPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 8)
		f.trackers[0].config.Notifier.(*link).cut = true
		for n := range 3 {
			f.crash(f.trackers[0], endpointAt(n), request("all", "bad"))
		}
		time.Sleep(2 * time.Second)
		for n, tracker := range f.trackers {
			assert.Equal(t, tracker.permission(request("all", "bad")), crashcause.Refused, "instance %d", n)
		}
		assert.Equal(t, len(f.log.records), 1, "each verdict is written once")
	})
}

// Only one request with a suspected part runs at a time.
func TestSuspectedPartIsTriedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 8)
		for n := range 2 {
			f.crash(f.trackers[n], endpointAt(n), request("bad"))
		}
		time.Sleep(time.Second)
		trial := f.trackers[0].Admit(request("bad"))
		assert.Equal(t, trial.Permission, crashcause.Alone)
		time.Sleep(50 * time.Millisecond)
		for _, tracker := range f.trackers {
			assert.Equal(t, tracker.permission(request("bad")), crashcause.Pending)
		}
		watch := f.trackers[0].Begin(endpointAt(5), request("bad"), trial)
		watch.RecordHead()
		watch.RecordFirstEvent()
		time.Sleep(time.Second)
		for _, tracker := range f.trackers {
			assert.Equal(t, tracker.permission(request("bad")), crashcause.Normal, "the endpoint survives")
		}
		watch.End(relay.AttemptComplete)
	})
}

// A request that waits at an endpoint is called back when its part becomes suspected.
func TestWaitingRequestWithASuspectedPartIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 8)
		ctx, cancel := context.WithCancelCause(t.Context())
		waiting := f.trackers[1].Begin(endpointAt(6), request("bad"), crashcause.Decision{})
		waiting.SetCancel(cancel)
		f.crash(f.trackers[0], endpointAt(0), request("bad"))
		assert.NilError(t, ctx.Err())
		f.crash(f.trackers[0], endpointAt(1), request("bad"))
		assert.ErrorIs(t, context.Cause(ctx), relay.ErrSuspected)
		waiting.End(relay.AttemptCanceled)
	})
}

// Requests with the part come at one instance for long. The others, and the log, must keep the
// verdict as well, and forget it only some time after the last request.
func TestVerdictIsKeptByAllWhileRequestsComeAtOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 8)
		for n := range 3 {
			f.crash(f.trackers[n], endpointAt(n), request("bad"))
		}
		for begin := time.Now(); time.Since(begin) < 40*time.Minute; time.Sleep(10 * time.Second) {
			assert.Equal(t, f.trackers[0].permission(request("bad")), crashcause.Refused, "after %v", time.Since(begin))
		}
		assert.Equal(t, f.trackers[1].permission(request("bad")), crashcause.Refused)
		assert.Assert(t, len(f.log.records[len(f.log.records)-1].Value) > 0)
		time.Sleep(3 * crashcause.VerdictMemory)
		assert.Equal(t, f.trackers[2].permission(request("bad")), crashcause.Normal)
		assert.Equal(t, len(f.log.records[len(f.log.records)-1].Value), 0, "the log forgets it too")
	})
}

// The part comes back when the removal of its old verdict is due.
func TestRemovalOfAnOldVerdictSparesANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 8)
		for n := range 3 {
			f.crash(f.trackers[0], endpointAt(n), request("bad"))
		}
		time.Sleep(2*crashcause.VerdictMemory + time.Second)
		for n := range 3 {
			f.crash(f.trackers[0], endpointAt(3+n), request("bad"))
		}
		time.Sleep(2 * time.Minute)
		assert.Equal(t, f.trackers[0].permission(request("bad")), crashcause.Refused)
		assert.Equal(t, f.trackers[1].permission(request("bad")), crashcause.Refused)
	})
}

// Many instances report a crash with a part that all others have seen survive. Each telling so
// after each report is a storm, at the worst time.
func TestReportsOfOneCrashStartNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, reporters = 40, 10
		f := newFleet(t, size, 8)
		for _, tracker := range f.trackers[reporters:] {
			watch := tracker.Begin(endpointAt(1), request("subject"), crashcause.Decision{})
			watch.RecordHead()
			watch.RecordFirstEvent()
			watch.End(relay.AttemptComplete)
		}
		for n, tracker := range f.trackers {
			link := tracker.config.Notifier.(*link)
			link.sent = 0
			if n < reporters {
				go f.crash(tracker, endpointAt(0), request("subject"))
			}
		}
		time.Sleep(time.Second)
		sent := f.notices()
		assert.Assert(t, sent <= 2*reporters, "%d notices after %d reports", sent, reporters)
	})
}

// A part that is accused once is cleared by each instance for itself. Each telling so is a storm.
func TestSurvivalsAfterOneCrashStartNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 40
		f := newFleet(t, size, 8)
		f.crash(f.trackers[0], endpointAt(0), request("subject"))
		before := f.notices()
		for _, tracker := range f.trackers {
			watch := tracker.Begin(endpointAt(1), request("subject"), crashcause.Decision{})
			watch.RecordHead()
			watch.RecordFirstEvent()
			watch.End(relay.AttemptComplete)
		}
		time.Sleep(time.Second)
		assert.Equal(t, f.notices()-before, 0)
	})
}

func (f *fleet) notices() int {
	sent := 0
	for _, tracker := range f.trackers {
		sent += tracker.config.Notifier.(*link).count()
	}
	return sent
}

// An instance that suspects a part asks whether others have seen it survive.
func TestPartThatOthersHaveSeenSurviveIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 8)
		watch := f.trackers[2].Begin(endpointAt(7), request("subject"), crashcause.Decision{})
		watch.RecordHead()
		watch.RecordFirstEvent()
		watch.End(relay.AttemptComplete)
		time.Sleep(time.Second)
		for n := range 3 { // at the same moment, as many endpoints crash together
			go f.crash(f.trackers[n%2], endpointAt(n), request("subject"))
		}
		time.Sleep(time.Second)
		for n, tracker := range f.trackers {
			assert.Equal(t, tracker.permission(request("subject")), crashcause.Normal, "instance %d", n)
		}
	})
}
