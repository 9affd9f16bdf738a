package versions_test

import (
	"context"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/versions"
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

var order = canary.Order{Service: "s", Target: "v2", Duration: 20 * time.Second}

// fixture holds the roll-outs of one instance with a clock that the test sets.
type fixture struct {
	versions *versions.Versions
	now      time.Duration
	// peers maps the sessions that peers know to whether they run on the
	// candidate.
	peers map[string]bool
	// lookups counts the calls of AskSession.
	lookups int
}

func (f *fixture) AskSession(_ context.Context, _, _, session string) (onTarget, known bool) {
	f.lookups++
	onTarget, known = f.peers[session]
	return onTarget, known
}

func (f *fixture) Propose(context.Context, keyed.Position, canary.Status) error { return nil }

func newFixture() *fixture {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	f := &fixture{now: time.Hour, peers: make(map[string]bool)}
	f.versions = f.newVersions(pool.New("z", log))
	return f
}

func (f *fixture) newVersions(pools relay.Pools) *versions.Versions {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return versions.New(versions.Tuning{Share: 0.2, SessionGap: 5 * time.Second, ExposureShare: 0.5}, versions.Config{
		Pools: pools, Writer: f, Sessions: f, Logger: logrus.NewEntry(logger), Now: func() time.Duration { return f.now },
	})
}

// agree lets the instances agree on a phase of the roll-out, which may expose further requests.
func (f *fixture) agree(phase canary.Phase) {
	for range 100 {
		f.versions.RecordArrival(order.Service)
	}
	f.versions.ApplyStatuses(keyed.Position{Offset: 1}, canary.Status{Service: order.Service, Target: order.Target, Phase: phase})
}

// newPicker returns a picker for three endpoints of each version.
func (f *fixture) newPicker(versions ...string) *relay.PooledPicker {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	pools := pool.New("z", logrus.NewEntry(logger))
	for _, version := range versions {
		for n := range 3 {
			pools.Put(pool.Record{
				ID: platform.EndpointID(version + "-" + strconv.Itoa(n)), Service: order.Service, Zone: "z",
				Address: "127.0.0.1:1", Version: version, Slots: 8,
			})
		}
	}
	return &relay.PooledPicker{Pools: pools, Versions: f.versions, Suspects: relay.NopSuspects{}}
}

// testQuery returns the query of a request whose first attempt used the version.
func testQuery(version string) *relay.Query {
	return &relay.Query{
		Request: &relay.Request{ID: "1"}, Permission: &relay.Permission{Route: &route.Route{}}, Service: order.Service, Version: version,
	}
}

// choose reports whether a request of the session is assigned to the candidate
// version, and whether it is assigned to the incumbent.
func (f *fixture) choose(session, id string) (candidate, incumbent bool) {
	choice := f.versions.Choose(context.Background(), order.Service, session, id)
	if choice.Assigned == nil {
		return true, true
	}
	return choice.Assigned("v2"), choice.Assigned("v1")
}

// chosenSession returns a session that the hash assigns to the candidate.
func chosenSession(t *testing.T) string {
	t.Helper()
	r := canary.New(order, canary.Tuning{Share: 0.2}, 0)
	for i := range 1000 {
		if session := "session-" + strconv.Itoa(i); r.IsInCanary(session) {
			return session
		}
	}
	t.Fatal("the hash assigns no session to the candidate")
	return ""
}

// incumbentSession returns a session that the hash assigns to the incumbent.
func incumbentSession(t *testing.T, order canary.Order) string {
	t.Helper()
	r := canary.New(order, canary.Tuning{Share: 0.2}, 0)
	for i := range 1000 {
		if session := "session-" + strconv.Itoa(i); !r.IsInCanary(session) {
			return session
		}
	}
	t.Fatal("the hash assigns no session to the incumbent")
	return ""
}

func TestSessionStartedOnTheIncumbentStaysOnIt(t *testing.T) {
	f := newFixture()
	session := chosenSession(t)
	f.choose(session, "1") // before the order
	f.versions.Order(order)
	f.agree(canary.Canary)
	candidate, incumbent := f.choose(session, "2")
	assert.Assert(t, incumbent && !candidate)
}

func TestSessionThatAPeerRunsStaysOnItsSide(t *testing.T) {
	f := newFixture()
	session := chosenSession(t)
	f.versions.Order(order)
	f.agree(canary.Canary)
	f.peers[session] = false
	candidate, incumbent := f.choose(session, "1")
	assert.Assert(t, incumbent && !candidate)
	assert.Equal(t, f.lookups, 1)
	f.choose(session, "2")
	assert.Equal(t, f.lookups, 1, "the answer of the peer is remembered")
}

func TestUnknownSessionIsAssignedByItsHash(t *testing.T) {
	f := newFixture()
	session := chosenSession(t)
	f.versions.Order(order)
	f.agree(canary.Canary)
	candidate, _ := f.choose(session, "1")
	assert.Assert(t, candidate)
	onTarget, known := f.versions.SessionVersion(order.Service, order.Target, session)
	assert.Assert(t, onTarget && known, "a peer gets the same version")
}

// A session is remembered for the session gap after the end of its last request,
// which may be long after the start of the request.
func TestSessionIsRememberedWhileARequestMayRun(t *testing.T) {
	f := newFixture()
	session := chosenSession(t)
	f.choose(session, "1")
	f.versions.Order(order)
	f.agree(canary.Canary)
	f.now += 20 * time.Second
	candidate, _ := f.choose(session, "2")
	assert.Assert(t, !candidate)
	f.now += 10 * time.Minute
	candidate, _ = f.choose(session, "3")
	assert.Assert(t, candidate, "the forgotten session is assigned by its hash")
}

func TestPhasesDecide(t *testing.T) {
	for _, c := range []struct {
		phase                canary.Phase
		candidate, incumbent bool
	}{
		{canary.Ordered, false, true},
		{canary.Full, true, false},
		{canary.Completed, true, false},
		{canary.RolledBack, false, true},
	} {
		f := newFixture()
		f.versions.Order(order)
		f.agree(c.phase)
		candidate, incumbent := f.choose("x", "1")
		assert.Equal(t, candidate, c.candidate, "%s", c.phase)
		assert.Equal(t, incumbent, c.incumbent, "%s", c.phase)
	}
}

// All endpoints of the old version stop together when the roll-out is completed, so a
// request that began on one of them must not look for another.
func TestRetryAfterTheMoveUsesTheNewVersion(t *testing.T) {
	for _, phase := range []canary.Phase{canary.Full, canary.Completed} {
		f := newFixture()
		f.versions.Order(order)
		f.agree(phase)
		picker := f.newPicker("v1", "v2")
		lease, refusal := picker.Pick(context.Background(), testQuery("v1"))
		assert.Assert(t, refusal == nil)
		assert.Equal(t, lease.Endpoint().Version, "v2", "%s", phase)
	}
}

// The endpoints of the version before the last one have stopped, but may still be
// listed when the next roll-out is ordered.
func TestSupersededVersionIsNotPreferredAfterTheNextOrder(t *testing.T) {
	for _, phase := range []canary.Phase{canary.Ordered, canary.Canary, canary.RolledBack} {
		f := newFixture()
		f.versions.Order(order)
		f.agree(canary.Completed)
		next := order
		next.Target = "v3"
		f.versions.Order(next)
		f.versions.ApplyStatuses(keyed.Position{Offset: 4}, canary.Status{Service: order.Service, Target: "v3", Phase: phase})
		picker := f.newPicker("v1", "v2", "v3")
		for _, first := range []string{"v1", "v2", ""} {
			query := testQuery(first)
			query.Request.Session = incumbentSession(t, next)
			lease, refusal := picker.Pick(context.Background(), query)
			assert.Assert(t, refusal == nil)
			assert.Equal(t, lease.Endpoint().Version, "v2", "%s, first attempt on %q", phase, first)
		}
	}
}

// Orders and statuses are read from separate topics, so the final status of a roll-out
// may be read after the next order, or by an instance that never saw the first one.
func TestCompletionIsKnownWhateverOrderIsReadFirst(t *testing.T) {
	next := order
	next.Target = "v3"
	for name, read := range map[string]func(f *fixture){
		"after the next order": func(f *fixture) {
			f.versions.Order(order)
			f.agree(canary.Full)
			f.versions.Order(next)
			f.agree(canary.Completed)
		},
		"before its own order": func(f *fixture) {
			f.agree(canary.Completed)
			f.versions.Order(order)
			f.versions.Order(next)
		},
		"without its own order": func(f *fixture) {
			f.agree(canary.Completed)
			f.versions.Order(next)
		},
	} {
		f := newFixture()
		read(f)
		lease, refusal := f.newPicker("v1", "v2", "v3").Pick(context.Background(), testQuery("v1"))
		assert.Assert(t, refusal == nil)
		assert.Equal(t, lease.Endpoint().Version, "v2", name)
	}
}

// A version that is neither the target of the last completed roll-out nor that of
// the next one is used if it is the only one.
func TestEndpointsOfAnUnknownVersionAreUsedIfThereAreNoOthers(t *testing.T) {
	f := newFixture()
	f.versions.Order(order)
	f.agree(canary.Completed)
	next := order
	next.Target = "v3"
	f.versions.Order(next)
	_, refusal := f.newPicker("v2-hotfix").Pick(context.Background(), testQuery(""))
	assert.Assert(t, refusal == nil)
}

func TestRolledBackVersionIsNeverAllowed(t *testing.T) {
	f := newFixture()
	f.versions.Order(order)
	f.agree(canary.RolledBack)
	choice := f.versions.Choose(context.Background(), order.Service, "x", "1")
	assert.Assert(t, !choice.Allowed("v2"))
	assert.Assert(t, choice.Allowed("v1"))
}

// The endpoints of a version that was rolled back may still run when the next
// version is ordered. They must receive no requests.
func TestBadVersionStaysOutAfterTheNextOrder(t *testing.T) {
	f := newFixture()
	session := chosenSession(t)
	f.versions.Order(order)
	f.agree(canary.RolledBack)
	next := order
	next.Target = "v3"
	f.versions.Order(next)
	for _, phase := range []canary.Phase{canary.Ordered, canary.Canary, canary.Full} {
		f.versions.ApplyStatuses(keyed.Position{Offset: 4}, canary.Status{Service: order.Service, Target: "v3", Phase: phase})
		for _, id := range []string{session, "other", ""} {
			choice := f.versions.Choose(context.Background(), order.Service, id, "1")
			assert.Assert(t, !choice.Assigned("v2") && !choice.Allowed("v2"), "%s, session %q", phase, id)
		}
	}
	f.versions.Order(order)
	f.agree(canary.Full)
	assert.Assert(t, f.versions.Choose(context.Background(), order.Service, "x", "1").Assigned("v2"), "the version was ordered again")
}

func TestOrderReadAfterItsStatusAppliesTheStatus(t *testing.T) {
	f := newFixture()
	f.agree(canary.RolledBack)
	f.versions.Order(order)
	candidate, _ := f.choose("x", "1")
	assert.Assert(t, !candidate)
}

// The candidate of a completed roll-out is the incumbent of the next one, so sessions
// that ran on it are sessions of the incumbent.
func TestNextRollOutBeginsWithAllSessionsOnTheOldVersion(t *testing.T) {
	f := newFixture()
	session := chosenSession(t)
	f.versions.Order(order)
	f.agree(canary.Canary)
	candidate, _ := f.choose(session, "1")
	assert.Assert(t, candidate)
	f.agree(canary.Completed)
	f.choose(session, "2")
	next := order
	next.Target = "v3"
	f.versions.Order(next)
	f.versions.ApplyStatuses(keyed.Position{Offset: 4}, canary.Status{Service: order.Service, Target: "v3", Phase: canary.Canary})
	choice := f.versions.Choose(context.Background(), order.Service, session, "3")
	assert.Assert(t, !choice.Assigned("v3"))
	assert.Assert(t, choice.Assigned("v2"))
	onTarget, known := f.versions.SessionVersion(order.Service, "v3", session)
	assert.Assert(t, known && !onTarget, "a peer gets the incumbent")
}

// An older copy of the log records earlier phases of a roll-out, and earlier orders.
func TestRestoredLogDoesNotMoveARollOutBack(t *testing.T) {
	for _, phase := range []canary.Phase{canary.Full, canary.Completed, canary.RolledBack} {
		f := newFixture()
		f.versions.Order(order)
		f.agree(phase)
		f.versions.LoadStatuses(keyed.Position{Era: 2, Offset: 1}, canary.Status{Service: order.Service, Target: order.Target, Phase: canary.Canary})
		assert.Equal(t, f.versions.Rollouts()[0].Phase, phase.String())
	}
}

func TestRestoredOrderDoesNotReplaceALaterOne(t *testing.T) {
	f := newFixture()
	f.versions.Order(order)
	f.agree(canary.Completed)
	next := order
	next.Target = "v3"
	f.versions.Order(next)
	f.versions.RestoredOrder(order)
	assert.Equal(t, f.versions.Rollouts()[0].Target, "v3")
	newest := order
	newest.Target = "v4"
	f.versions.RestoredOrder(newest)
	assert.Equal(t, f.versions.Rollouts()[0].Target, "v4", "written by the operator after the restore")
}
