package forward

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// table is what one instance knows of the fleet.
type table struct {
	self membership.Peer
	all  []membership.Peer
}

func (t *table) Self() membership.Peer            { return t.self }
func (t *table) All() []membership.Peer           { return t.all }
func (t *table) BrokenPaths() []route.ServiceName { return nil }

// newTables returns the tables of a fleet: each instance knows all of its zone, and some of
// the others.
func newTables(random *rand.Rand, size, zones int) []*table {
	var instances []membership.Peer
	for n := range size {
		instances = append(instances, membership.Peer{
			ID: platform.InstanceID("i" + strconv.Itoa(n)), Zone: platform.Zone("z" + strconv.Itoa(n%zones)), Liveness: membership.Alive,
		})
	}
	var tables []*table
	for _, self := range instances {
		t := &table{self: self}
		known := make(map[platform.Zone]int)
		for _, n := range random.Perm(size) {
			other := instances[n]
			if other.ID == self.ID || other.Zone != self.Zone && known[other.Zone] >= membership.MaxOtherZonePeers {
				continue
			}
			known[other.Zone]++
			t.all = append(t.all, other)
		}
		tables = append(tables, t)
	}
	return tables
}

// Each cut instance forwards two requests at a time. From a second after the cut, nearly all
// must find a peer that is not cut off, and none of the peers may get far more than the mean.
func TestForwardedRequestsFindPeersAndSpread(t *testing.T) {
	const (
		maxTries = 6
		rounds   = 40
		// maxOverMean bounds the load of one peer, as a multiple of the mean.
		maxOverMean = 4.0
	)
	for _, fleet := range []struct{ size, zones int }{{9, 4}, {78, 3}, {380, 17}} {
		for _, how := range []string{"half", "two thirds", "a zone"} {
			t.Run(fmt.Sprintf("%d instances, %s cut off", fleet.size, how), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(1, uint64(fleet.size)))
					tables := newTables(random, fleet.size, fleet.zones)
					cut := make(map[platform.InstanceID]bool)
					for place, n := range random.Perm(fleet.size) {
						if how == "half" && place < fleet.size/2 || how == "two thirds" && place < fleet.size*2/3 || how == "a zone" && n%fleet.zones == 0 {
							cut[tables[n].self.ID] = true
						}
					}
					load := make(map[platform.EndpointID]int)
					sent, found := 0, 0
					clients := make(map[platform.InstanceID]*Client)
					for _, table := range tables {
						clients[table.self.ID] = NewClient(table, table, nil)
					}
					for round := range rounds {
						time.Sleep(100 * time.Millisecond)
						if round%10 == 5 {
							exchangeDigests(tables, clients, cut)
						}
						for _, table := range tables {
							if !cut[table.self.ID] {
								continue
							}
							for range 2 {
								peer, ok := forwardOnce(clients[table.self.ID], cut, maxTries)
								if round < 10 {
									continue // the cut instances are not known yet
								}
								sent++
								if ok {
									found++
									load[peer]++
								}
							}
						}
					}
					most, able := 0, fleet.size-len(cut)
					for _, count := range load {
						most = max(most, count)
					}
					mean := float64(found) / float64(able)
					t.Logf("%d of %d found a peer; at most %.1f times the mean at one", found, sent, float64(most)/mean)
					assert.Check(t, float64(found) >= 0.97*float64(sent))
					assert.Check(t, float64(most) <= maxOverMean*mean)
				})
			})
		}
	}
}

// exchangeDigests tells the cut instances that their peers of the same zone are cut off too, as
// their heartbeats do.
func exchangeDigests(tables []*table, clients map[platform.InstanceID]*Client, cut map[platform.InstanceID]bool) {
	for _, table := range tables {
		for _, known := range table.all {
			if known.Zone == table.self.Zone && cut[known.ID] {
				clients[table.self.ID].HandleDigest(time.Now(), &peerpb.Digest{Instance: string(known.ID), Unreached: []string{"s"}})
			}
		}
	}
}

// forwardOnce asks peers until one is not cut off. It returns that peer.
func forwardOnce(client *Client, cut map[platform.InstanceID]bool, tries int) (platform.EndpointID, bool) {
	var avoid []platform.EndpointID
	for range tries {
		lease, ok := client.Pick("s", avoid)
		if !ok {
			return "", false
		}
		id := lease.Endpoint().ID
		if !cut[platform.InstanceID(id)] {
			time.AfterFunc(150*time.Millisecond, func() { lease.End(relay.AttemptResult{End: relay.AttemptComplete}) })
			return id, true
		}
		lease.End(relay.AttemptResult{End: relay.AttemptNotRun})
		avoid = append(avoid, id)
	}
	return "", false
}
