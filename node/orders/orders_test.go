package orders

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/claim"
	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
	"github.com/wigeonusher/wigeonusher/wire/engine"
)

const self platform.InstanceID = "self"

// surroundings are all that the orders of one instance see.
type surroundings struct {
	mu       sync.Mutex // guards reports
	holding  claim.Holding
	logUp    bool
	rank     int
	gone     bool
	storeErr error
	wait     time.Duration
	reported string // ID in the engine's report
	loaded   []string
	others   int // further engines of the pool, which give no report
	reports  int
	orders   []engine.Order
	entries  []platform.Entry
}

func (s *surroundings) Policy() *document.Policy {
	serving := document.Version{State: document.VersionServing}
	return &document.Policy{
		Models: map[document.ModelName]document.Model{"m": {Stable: "v1", Versions: map[document.VersionName]document.Version{"v1": serving}}},
		Pools:  map[platform.PoolName]document.Pool{"p": {Serves: []document.Ref{{Model: "m", Version: "v1"}}}},
	}
}

func (s *surroundings) Holding(claim.Resource) claim.Holding { return s.holding }

func (s *surroundings) Holds(claim.Resource, platform.InstanceID) (uint64, bool) {
	return s.holding.Fencing, s.holding.Holder == self && !s.holding.Released
}

func (s *surroundings) Statuses() []rollout.Status { return nil }

func (s *surroundings) Add(entry platform.Entry) error {
	s.entries = append(s.entries, entry)
	return nil
}

func (s *surroundings) Available(time.Time) bool         { return s.logUp }
func (s *surroundings) FleetRank(string) int             { return s.rank }
func (s *surroundings) Gone(id platform.InstanceID) bool { return id != self && s.gone }
func (s *surroundings) All() []membership.Endpoint {
	all := []membership.Endpoint{{ListedEndpoint: platform.ListedEndpoint{ID: "e", Pool: "p"}}}
	for range s.others {
		all = append(all, membership.Endpoint{ListedEndpoint: platform.ListedEndpoint{ID: "silent", Pool: "p"}})
	}
	return all
}

func (s *surroundings) Load(context.Context, string) (engine.LoadReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
	return engine.LoadReport{ID: s.reported, Loaded: s.loaded}, nil
}

func (s *surroundings) Order(_ context.Context, _ string, order engine.Order) error {
	s.orders = append(s.orders, order)
	s.loaded = append(s.loaded, order.Model+"@"+order.Version)
	return nil
}

func (s *surroundings) Reserve(context.Context, string, string, int64) (time.Duration, error) {
	return s.wait, s.storeErr
}

// run steps the orders in virtual time.
func run(t *testing.T, s *surroundings, test func(o *Orders, after func(time.Duration))) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetLevel(logrus.PanicLevel)
		caughtUp := make(chan struct{})
		close(caughtUp)
		o := New(Config{
			Instance: self, Policies: s, Claims: s, Rollouts: s, Writer: s, Peers: s,
			CaughtUp: caughtUp, Directory: s, Engines: s, Weights: s, Logger: logrus.NewEntry(logger),
		})
		test(o, func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				o.step(context.Background())
				time.Sleep(stepInterval)
				synctest.Wait()
			}
		})
	})
}

func held() *surroundings {
	return &surroundings{logUp: true, reported: "e", holding: claim.Holding{Holder: self, Fencing: 7}}
}

func TestHolderOrdersUnderItsNumber(t *testing.T) {
	s := held()
	run(t, s, func(o *Orders, after func(time.Duration)) {
		after(5 * time.Second)
		assert.DeepEqual(t, s.orders, []engine.Order{{Fencing: 7, Action: engine.ActionLoad, Model: "m", Version: "v1"}})
		assert.DeepEqual(t, o.Statuses(), []Status{{Pool: "p", Fencing: 7, Loads: 1}})
	})
}

// TestLogDown leaves a holder in charge while its fold says so, and lets nobody
// else claim.
func TestLogDown(t *testing.T) {
	s := held()
	s.logUp = false
	run(t, s, func(_ *Orders, after func(time.Duration)) {
		after(5 * time.Second)
		assert.Equal(t, len(s.orders), 1)
	})
	other := &surroundings{reported: "e", holding: claim.Holding{Holder: "dead", Fencing: 7}, gone: true}
	run(t, other, func(_ *Orders, after func(time.Duration)) {
		after(time.Minute)
		assert.Equal(t, len(other.entries)+len(other.orders), 0)
		other.logUp = true
		after(takeoverAfter + 2*stepInterval)
		assert.Equal(t, len(other.entries), 1)
		assert.Equal(t, len(other.orders), 0, "an order before the claim is folded")
	})
}

// TestClaimLostBeforeTheOrder supersedes the holder while a load waits for its
// slot, and while a planned order is about to be sent.
func TestClaimLostBeforeTheOrder(t *testing.T) {
	s := held()
	s.wait = 10 * time.Second
	run(t, s, func(o *Orders, after func(time.Duration)) {
		after(5 * time.Second)
		s.holding = claim.Holding{Holder: "other", Fencing: 8}
		after(time.Minute)
		assert.Equal(t, len(s.orders), 0)
		assert.Equal(t, len(o.Statuses()), 0)
	})
	lost := &claimLostWhilePlanning{surroundings: held()}
	run(t, lost.surroundings, func(o *Orders, after func(time.Duration)) {
		o.config.Weights = lost
		after(time.Minute)
		assert.Assert(t, lost.asked)
		assert.Equal(t, len(lost.orders), 0)
	})
}

// claimLostWhilePlanning supersedes the holder just before the slot is given.
type claimLostWhilePlanning struct {
	*surroundings
	asked bool
}

func (c *claimLostWhilePlanning) Reserve(context.Context, string, string, int64) (time.Duration, error) {
	c.asked = true
	c.holding = claim.Holding{Holder: "other", Fencing: 8}
	return 0, nil
}

// TestReportsAreBounded polls a pool of a size that one poll a second would
// not allow.
func TestReportsAreBounded(t *testing.T) {
	s := held()
	s.others = 499
	run(t, s, func(_ *Orders, after func(time.Duration)) {
		after(10 * time.Minute)
		assert.Assert(t, s.reports <= 600*maxReportsPerSecond+500, "%d reports", s.reports)
		assert.Assert(t, s.reports > 300*maxReportsPerSecond, "%d reports", s.reports)
	})
}

func TestNoOrder(t *testing.T) {
	for name, spoil := range map[string]func(*surroundings){
		"weight store down":             func(s *surroundings) { s.storeErr = errors.New("down") },
		"weight store slow":             func(s *surroundings) { s.wait = time.Hour },
		"another run at the address":    func(s *surroundings) { s.reported = "another" },
		"claim of another":              func(s *surroundings) { s.holding.Holder = "other" },
		"claim released":                func(s *surroundings) { s.holding.Released, s.rank = true, 9 },
		"engine has the version loaded": func(s *surroundings) { s.loaded = []string{"m@v1"} },
	} {
		t.Run(name, func(t *testing.T) {
			s := held()
			spoil(s)
			run(t, s, func(_ *Orders, after func(time.Duration)) {
				after(time.Minute)
				assert.Equal(t, len(s.orders), 0)
			})
		})
	}
}

// TestVacantPoolIsTakenByTheNextRank has the first rank cut off from the log.
func TestVacantPoolIsTakenByTheNextRank(t *testing.T) {
	s := &surroundings{logUp: true, reported: "e", rank: 2}
	run(t, s, func(_ *Orders, after func(time.Duration)) {
		after(rankDelay)
		assert.Equal(t, len(s.entries), 0)
		after(2 * rankDelay)
		assert.Assert(t, len(s.entries) > 0)
	})
}

// TestReleaseEndsOrders releases the claim while a load waits for its slot.
func TestReleaseEndsOrders(t *testing.T) {
	s := held()
	s.wait = 10 * time.Second
	run(t, s, func(o *Orders, after func(time.Duration)) {
		after(5 * time.Second)
		o.Release()
		after(time.Minute)
		assert.Equal(t, len(s.entries), 1)
		assert.Equal(t, s.entries[0].Kind, claim.KindRelease)
		assert.Equal(t, len(s.orders), 0)
	})
}
