// Package cluster implements the membership of an instance in the fleet: it
// exchanges digests with peers, serves the peer protocol, and keeps a view of
// which instances are alive.
package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// discoveryPeriod is the time after the start of this instance in which it may
// not know all live peers yet.
const discoveryPeriod = 10 * time.Second

// Gossip adds data of one part of the instance to the digests for peers, and
// handles that data in peers' digests. Its methods may be called from several
// goroutines.
type Gossip interface {
	// Fill adds data to a digest that is about to be sent to a peer. The
	// peer's ID is empty if it is not known.
	Fill(now time.Time, peer platform.InstanceID, digest *peerpb.Digest)
	// HandleDigest processes a peer's digest. It is called only if the digest's
	// sequence number is higher than those of all earlier digests of the peer,
	// and the peer is not leaving. Calls for several digests may overlap.
	HandleDigest(now time.Time, digest *peerpb.Digest)
}

// Cluster is an instance's view of its peers. Its methods may be called from
// several goroutines.
type Cluster struct {
	client   *peer.Client
	interval time.Duration
	log      *logrus.Entry
	started  time.Time

	mu     sync.Mutex
	seeds  []string
	peers  *membership.Peers
	random *rand.Rand

	gossips []Gossip
}

// New returns a cluster that contains only the instance itself. seeds are the
// addresses to contact while no peer is known, and interval is the time between
// heartbeats.
func New(self membership.Peer, seeds []string, interval time.Duration, client *peer.Client, log *logrus.Entry) *Cluster {
	config := membership.DefaultPeersConfig()
	config.Interval = interval
	return &Cluster{
		client:   client,
		interval: interval,
		log:      log,
		seeds:    seeds,
		started:  time.Now(),
		peers:    membership.NewPeers(self, config),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// SetSeeds changes the addresses to contact while no peer is known.
func (c *Cluster) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// AddGossip adds sources and handlers of digest data. It must be called before
// [Cluster.Run].
func (c *Cluster) AddGossip(gossips ...Gossip) { c.gossips = append(c.gossips, gossips...) }

// AddUnconfirmed adds a peer that was named by another instance or by the platform's
// instance list. It does nothing if the peer is already known or has left.
func (c *Cluster) AddUnconfirmed(known membership.KnownPeer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers.AddUnconfirmed(known)
}

// Self returns this instance.
func (c *Cluster) Self() membership.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.Self()
}

// Live returns the live instances of this instance's zone. They include this
// instance until [Cluster.Leave].
func (c *Cluster) Live() []membership.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.Live(c.peers.Self().Zone)
}

// Rank returns the live instances of this instance's zone in order of preference
// for a key.
func (c *Cluster) Rank(key string) []membership.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.Rank(key, c.peers.Self().Zone)
}

// FleetRank returns this instance's rank for a key, from 0, among the live
// instances of all zones.
func (c *Cluster) FleetRank(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.FleetRank(key)
}

// All returns all peers, without this instance.
func (c *Cluster) All() []membership.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.All()
}

// LimitGroup returns the instances that share the limits of endpoints. It reports false
// for [discoveryPeriod] after the start, while this instance may not know all of them.
func (c *Cluster) LimitGroup() (fleetlimit.Group, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.peers.Self()
	return fleetlimit.Group{
		Self: self.ID, Zone: self.Zone, Members: c.peers.ZoneMembers(), Zones: c.peers.KnownZones(),
	}, time.Since(c.started) >= discoveryPeriod
}

// ZoneOf returns the zone of a known instance, empty if it is unknown.
func (c *Cluster) ZoneOf(id platform.InstanceID) platform.Zone {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.ZoneOf(id)
}

// LiveCount returns the number of live instances of the fleet, including this
// one and those that only other zones know.
func (c *Cluster) LiveCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.FleetSize(time.Now())
}

// IsGone reports whether an instance is dead or has left. An unknown instance
// counts as gone once this instance has run for [discoveryPeriod].
func (c *Cluster) IsGone(id platform.InstanceID) bool {
	for _, known := range c.All() {
		if known.ID == id {
			return known.Liveness == membership.Dead || known.Liveness == membership.Left
		}
	}
	return id != c.Self().ID && time.Since(c.started) >= discoveryPeriod
}

// Run exchanges digests, at each heartbeat interval, with the peers that are due,
// until the context ends. Peers of other zones are due less often.
func (c *Cluster) Run(ctx context.Context) error {
	return loop.Every(ctx, c.interval, func(now time.Time) { c.heartbeat(ctx, now) })
}

// Leave announces to all peers that this instance leaves. It returns once each
// has answered or its call has failed.
func (c *Cluster) Leave(ctx context.Context) {
	c.mu.Lock()
	c.peers.Leave()
	digest := c.newDigest()
	c.mu.Unlock()
	var group sync.WaitGroup
	for _, target := range c.All() {
		group.Go(func() { _, _ = c.client.Exchange(ctx, target.Address, digest) })
	}
	group.Wait()
}

func (c *Cluster) heartbeat(ctx context.Context, now time.Time) {
	c.mu.Lock()
	c.peers.Tick(now)
	targets := c.peers.DueTargets(now, c.random)
	if len(c.peers.All()) == 0 {
		for _, seed := range c.seeds {
			targets = append(targets, membership.Peer{Address: seed})
		}
	}
	c.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	for _, target := range targets {
		go c.exchange(ctx, target, c.Digest(target.ID))
	}
}

func (c *Cluster) exchange(ctx context.Context, target membership.Peer, digest *peerpb.Digest) {
	reply, err := c.client.Exchange(ctx, target.Address, digest)
	if err != nil {
		c.log.WithError(err).WithField("peer", target.ID).Debug("heartbeat failed")
		return
	}
	c.HandleDigest(reply)
}

// Digest returns the next digest of this instance for a peer.
func (c *Cluster) Digest(peer platform.InstanceID) *peerpb.Digest {
	now := time.Now()
	c.mu.Lock()
	digest := c.newDigest()
	c.mu.Unlock()
	for _, gossip := range c.gossips {
		gossip.Fill(now, peer, digest)
	}
	return digest
}

// newDigest returns the next digest without the data of [Gossip]. The caller
// holds c.mu.
func (c *Cluster) newDigest() *peerpb.Digest {
	local := c.peers.Digest(c.random)
	digest := &peerpb.Digest{
		Instance:    string(local.ID),
		Zone:        string(local.Zone),
		Address:     local.Address,
		Sequence:    local.Sequence,
		Leaving:     local.Leaving,
		ControlNext: uint64(local.ControlNext),
	}
	if local.Sequence%zoneSizesOneIn == 0 {
		digest.ZoneSizes = c.encodeZoneSizes()
	}
	for _, known := range local.Peers {
		digest.Peers = append(digest.Peers, &peerpb.KnownPeer{
			Instance: string(known.ID),
			Zone:     string(known.Zone),
			Address:  known.Address,
		})
	}
	return digest
}

// zoneSizesOneIn is how many digests there are to one with the sizes of zones.
const zoneSizesOneIn = 4

// encodeZoneSizes returns the sizes of the zones for a digest. The caller holds c.mu.
func (c *Cluster) encodeZoneSizes() []*peerpb.ZoneSize {
	var sizes []*peerpb.ZoneSize
	now := time.Now()
	for _, size := range c.peers.ZoneSizes(now, now.Sub(c.started) >= discoveryPeriod) {
		sizes = append(sizes, &peerpb.ZoneSize{Zone: string(size.Zone), Live: uint32(size.Live), AgeMs: uint32(size.Age.Milliseconds())})
	}
	return sizes
}

func decodeZoneSizes(encoded []*peerpb.ZoneSize) []membership.ZoneSize {
	var sizes []membership.ZoneSize
	for _, size := range encoded[:min(len(encoded), membership.MaxZoneSizes)] {
		sizes = append(sizes, membership.ZoneSize{
			Zone: platform.Zone(size.Zone), Live: int(size.Live), Age: time.Duration(size.AgeMs) * time.Millisecond,
		})
	}
	return sizes
}

// HandleDigest processes a peer's digest. The [Gossip] handlers receive it only if
// it is new and the peer is not leaving.
func (c *Cluster) HandleDigest(digest *peerpb.Digest) {
	now := time.Now()
	c.mu.Lock()
	isNew := c.peers.HandleDigest(now, decodeDigest(digest))
	if isNew && !digest.Leaving {
		c.peers.MergeZoneSizes(now, decodeZoneSizes(digest.ZoneSizes))
	}
	c.mu.Unlock()
	if !isNew || digest.Leaving {
		return
	}
	for _, gossip := range c.gossips {
		gossip.HandleDigest(now, digest)
	}
}

func decodeDigest(digest *peerpb.Digest) membership.Digest {
	decoded := membership.Digest{
		ID:          platform.InstanceID(digest.Instance),
		Zone:        platform.Zone(digest.Zone),
		Address:     digest.Address,
		Sequence:    digest.Sequence,
		Leaving:     digest.Leaving,
		ControlNext: platform.Offset(digest.ControlNext),
	}
	for _, known := range digest.Peers {
		decoded.Peers = append(decoded.Peers, membership.KnownPeer{
			ID:      platform.InstanceID(known.Instance),
			Zone:    platform.Zone(known.Zone),
			Address: known.Address,
		})
	}
	return decoded
}
