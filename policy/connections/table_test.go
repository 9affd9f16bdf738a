package connections_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/proptest"
	"github.com/wigeonusher/wigeonusher/policy/connections"
)

func TestMain(m *testing.M) { proptest.Main(m, "20261207") }

var start = time.Unix(1, 0)

func open(t *testing.T, table *connections.Table, n int, address string, phase connections.Phase) (opened []*connections.Connection) {
	t.Helper()
	for i := range n {
		c, _ := table.Open(start.Add(time.Duration(i)*time.Second), address)
		assert.Assert(t, c != nil)
		if phase == connections.Running {
			assert.Equal(t, table.Run(start.Add(time.Duration(i)*time.Second), c), connections.Admitted)
		} else {
			table.SetPhase(start.Add(time.Duration(i)*time.Second), c, phase)
		}
		opened = append(opened, c)
	}
	return opened
}

// One client that opens connections and leaves them kept all others out.
func TestOtherClientsFindAConnectionBesideOneThatHoldsMost(t *testing.T) {
	for _, phase := range []connections.Phase{connections.Fresh, connections.Idle, connections.Receiving} {
		table := connections.NewTable(100)
		quiet := open(t, table, 10, "quiet", connections.Idle)
		hog := open(t, table, 90, "hog", phase)
		for i := range 20 {
			c, removed := table.Open(start.Add(time.Hour), "other-"+strconv.Itoa(i))
			assert.Assert(t, c != nil && removed == hog[i], "the one of the hog that is used least")
		}
		assert.Equal(t, table.CountOf("quiet"), len(quiet))
		assert.Equal(t, table.Count(), 100)
	}
}

// A connection that carries a request must not be closed for another one of the same client.
func TestRequestsInProgressAreNotClosedForTheirOwnClient(t *testing.T) {
	table := connections.NewTable(100)
	open(t, table, 100, "balancer", connections.Running)
	c, removed := table.Open(start, "balancer")
	assert.Assert(t, c == nil && removed == nil)
}

// Behind a balancer all clients have one address: the connection that never carried a header goes first.
func TestConnectionsWithoutAHeaderAreClosedFirst(t *testing.T) {
	table := connections.NewTable(3)
	open(t, table, 1, "balancer", connections.Running)
	open(t, table, 1, "balancer", connections.Idle)
	fresh := open(t, table, 1, "balancer", connections.Fresh)
	_, removed := table.Open(start.Add(time.Hour), "balancer")
	assert.Assert(t, removed == fresh[0])
	table.Close(removed) // closing one twice changes nothing
	assert.Equal(t, table.Count(), 3)
}

// TestRunningRequestsAreNotClosedForNewcomers guards against a full instance that closed the connections of
// requests at work at endpoints, without an answer, for clients that had none yet.
func TestRunningRequestsAreNotClosedForNewcomers(t *testing.T) {
	table := connections.NewTable(60)
	open(t, table, 60, "client", connections.Running)
	for i := range 20 {
		c, removed := table.Open(start.Add(time.Hour), "other-"+strconv.Itoa(i))
		assert.Assert(t, c == nil && removed == nil)
	}

	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		table := connections.NewTable(limit)
		phases := make(map[*connections.Connection]connections.Phase)
		var order []*connections.Connection // of phases
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Second)
			step := rapid.IntRange(0, 5).Draw(t, "step")
			if step < 2 || len(phases) == 0 {
				opened, removed := table.Open(now, "client-"+strconv.Itoa(rapid.IntRange(0, 6).Draw(t, "client")))
				if removed != nil && phases[removed] == connections.Running {
					t.Fatalf("a running request was closed")
				}
				delete(phases, removed)
				order = slices.DeleteFunc(order, func(c *connections.Connection) bool { return c == removed })
				if opened != nil {
					phases[opened] = connections.Fresh
					order = append(order, opened)
				}
				if removed != nil && table.Run(now, removed) != connections.Removed {
					t.Fatalf("the request of a removed connection may run")
				}
				continue
			}
			at := rapid.IntRange(0, len(order)-1).Draw(t, "connection")
			c := order[at]
			switch step {
			case 2:
				table.Close(c)
				delete(phases, c)
				order = slices.Delete(order, at, at+1)
			case 3:
				phases[c] = rapid.SampledFrom([]connections.Phase{connections.Idle, connections.Receiving}).Draw(t, "phase")
				table.SetPhase(now, c, phases[c])
			default:
				if table.Run(now, c) == connections.Admitted {
					phases[c] = connections.Running
				}
			}
			running := 0
			for _, phase := range phases {
				if phase == connections.Running {
					running++
				}
			}
			if running != table.Running() || len(phases) != table.Count() || table.Count() > limit {
				t.Fatalf("%d running of %d, counted %d of %d", running, len(phases), table.Running(), table.Count())
			}
		}
	})
}

// TestClientWithManyRunningRequestsKeepsNobodyOut guards against one client that runs requests on all
// connections: they are no longer closed for others, so the last ones must not run its requests.
func TestClientWithManyRunningRequestsKeepsNobodyOut(t *testing.T) {
	const limit = 100
	table := connections.NewTable(limit)
	hog := open(t, table, limit-1, "hog", connections.Receiving)
	open(t, table, 1, "other", connections.Idle)
	refused := 0
	for _, c := range hog {
		switch table.Run(start, c) {
		case connections.OverShare:
			refused++
			table.SetPhase(start, c, connections.Idle)
		case connections.Removed:
			t.Fatal("no connection was removed")
		}
	}
	assert.Assert(t, refused >= limit/20, "%d", refused)
	for i := range 40 {
		c, _ := table.Open(start.Add(time.Hour), "other-"+strconv.Itoa(i))
		assert.Assert(t, c != nil)
		assert.Equal(t, table.Run(start.Add(time.Hour), c), connections.Admitted)
		table.Close(c) // its request has been answered
	}
	// An address that is refused counts as another one: the requests that end make room for it.
	table = connections.NewTable(limit)
	hog = open(t, table, limit, "hog", connections.Running)
	c, _ := table.Open(start, "other")
	assert.Assert(t, c == nil)
	table.SetPhase(start, hog[0], connections.Receiving) // its next request
	assert.Equal(t, table.Run(start, hog[0]), connections.OverShare)
	// Many clients share the instance without such a bound.
	table = connections.NewTable(limit)
	for i := range limit {
		open(t, table, 1, "client-"+strconv.Itoa(i%10), connections.Running)
	}
}
