// Package reservations reserves slots at endpoints. Each endpoint is owned by one
// instance of its zone, which counts the requests that all instances dispatch to
// it; the others ask the owner before they dispatch. If the owner does not answer,
// the count is less accurate, but the request is dispatched nevertheless.
package reservations

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// reserveTimeout bounds one call of Reserve at an owner.
	reserveTimeout = 50 * time.Millisecond
	// unresponsiveTTL is how long an owner that did not answer is skipped. It
	// also bounds one call of Release.
	unresponsiveTTL = 2 * time.Second
	// maxReleases bounds the concurrent calls of Release. Further releases are
	// dropped; the owner expires these reservations.
	maxReleases = 256
)

// ErrNoOwner reports an endpoint whose owner is unknown or unresponsive.
var ErrNoOwner = eris.New("reservations: no responsive owner for the endpoint")

// Peers lists this instance and its peers with their liveness.
type Peers interface {
	Self() membership.Peer
	All() []membership.Peer
}

// Caller sends reservation calls to the owner at an address.
type Caller interface {
	Reserve(ctx context.Context, address string, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
	Release(ctx context.Context, address string, request *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error)
}

// Client reserves and releases slots at the owners of endpoints, and holds the
// counts of the endpoints that this instance owns. Its methods may be called
// from several goroutines.
type Client struct {
	instance platform.InstanceID
	loads    *placement.LoadTable
	peers    Peers
	caller   Caller
	releases chan struct{}

	mu sync.Mutex
	// unresponsive holds the end of the time for which an owner is skipped.
	unresponsive map[platform.InstanceID]time.Time
}

// New returns the client of an instance. Reservations at the endpoints that the
// instance owns are counted in loads.
func New(instance platform.InstanceID, loads *placement.LoadTable, peers Peers, caller Caller) *Client {
	return &Client{
		instance:     instance,
		loads:        loads,
		peers:        peers,
		caller:       caller,
		releases:     make(chan struct{}, maxReleases),
		unresponsive: map[platform.InstanceID]time.Time{},
	}
}

// owner returns the instance that owns the endpoint, among the live instances of
// the zone. It returns false if the zone has no live instance.
func (c *Client) owner(zone platform.Zone, endpoint platform.EndpointID) (membership.Peer, bool) {
	byID := map[platform.InstanceID]membership.Peer{}
	var instances []platform.InstanceID
	add := func(peer membership.Peer) {
		if peer.Zone == zone && peer.Liveness == membership.Alive {
			byID[peer.ID] = peer
			instances = append(instances, peer.ID)
		}
	}
	add(c.peers.Self())
	for _, peer := range c.peers.All() {
		add(peer)
	}
	id, ok := placement.Owner(instances, endpoint)
	return byID[id], ok
}

// Reserve implements caller.Owners.
func (c *Client) Reserve(ctx context.Context, zone platform.Zone, endpoint platform.EndpointID, slots int, inAnyCase bool) (outstanding int, granted bool, err error) {
	owner, ok := c.owner(zone, endpoint)
	switch {
	case !ok || c.isUnresponsive(owner.ID):
		return 0, false, ErrNoOwner
	case owner.ID == c.instance:
		// The load table counts local dispatches itself, so nothing is reserved
		// here that would have to be released.
		return c.loads.Outstanding(time.Now(), endpoint), false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := c.caller.Reserve(ctx, owner.Address, &peerpb.ReserveRequest{
		Instance:  string(c.instance),
		Endpoint:  string(endpoint),
		Slots:     uint32(slots),
		InAnyCase: inAnyCase,
	})
	if err != nil {
		c.markUnresponsive(owner.ID)
		return 0, false, err
	}
	return int(reply.Outstanding), reply.Granted, nil
}

// Release implements caller.Owners. It returns without waiting for the owner;
// a failed call is not retried.
func (c *Client) Release(zone platform.Zone, endpoint platform.EndpointID) {
	owner, ok := c.owner(zone, endpoint)
	if !ok || owner.ID == c.instance || c.isUnresponsive(owner.ID) {
		return
	}
	select {
	case c.releases <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.releases }()
		ctx, cancel := context.WithTimeout(context.Background(), unresponsiveTTL)
		defer cancel()
		_, _ = c.caller.Release(ctx, owner.Address, &peerpb.ReleaseRequest{
			Instance: string(c.instance),
			Endpoint: string(endpoint),
		})
	}()
}

func (c *Client) isUnresponsive(id platform.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.unresponsive[id]
	if ok && time.Now().After(until) {
		delete(c.unresponsive, id)
		return false
	}
	return ok
}

func (c *Client) markUnresponsive(id platform.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive[id] = time.Now().Add(unresponsiveTTL)
}
