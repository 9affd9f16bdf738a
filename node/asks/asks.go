// Package asks lets the instances ask each other for free slots: each endpoint
// belongs to one instance of its zone, which counts what all dispatch to it.
// An owner that does not answer costs accuracy, not the request.
package asks

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
	// askTimeout bounds one ask.
	askTimeout = 50 * time.Millisecond
	// muteFor is how long an owner that did not answer is not asked again.
	muteFor = 2 * time.Second
	// maxReleases bounds the releases on their way; others are left to the
	// owner's expiry.
	maxReleases = 256
)

// ErrNoOwner reports an endpoint whose owner is not known or not answering.
var ErrNoOwner = eris.New("asks: no owner to ask")

// Peers tells who is alive.
type Peers interface {
	Self() membership.Peer
	All() []membership.Peer
}

// Caller calls owners.
type Caller interface {
	Reserve(ctx context.Context, address string, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
	Release(ctx context.Context, address string, request *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error)
}

// Asks asks owners, and answers as one. Its methods may be called from several
// goroutines.
type Asks struct {
	instance platform.InstanceID
	loads    *placement.LoadTable
	peers    Peers
	caller   Caller
	releases chan struct{}

	mu    sync.Mutex
	muted map[platform.InstanceID]time.Time
}

// New returns asks of an instance with its table of loads.
func New(instance platform.InstanceID, loads *placement.LoadTable, peers Peers, caller Caller) *Asks {
	return &Asks{
		instance: instance,
		loads:    loads,
		peers:    peers,
		caller:   caller,
		releases: make(chan struct{}, maxReleases),
		muted:    map[platform.InstanceID]time.Time{},
	}
}

// owner returns the live instance of the zone to which the endpoint belongs.
func (a *Asks) owner(zone platform.Zone, endpoint platform.EndpointID) (membership.Peer, bool) {
	byID := map[platform.InstanceID]membership.Peer{}
	var instances []platform.InstanceID
	add := func(peer membership.Peer) {
		if peer.Zone == zone && peer.Liveness == membership.Alive {
			byID[peer.ID] = peer
			instances = append(instances, peer.ID)
		}
	}
	add(a.peers.Self())
	for _, peer := range a.peers.All() {
		add(peer)
	}
	id, ok := placement.Owner(instances, endpoint)
	return byID[id], ok
}

// Reserve implements dispatch.Owners.
func (a *Asks) Reserve(ctx context.Context, zone platform.Zone, endpoint platform.EndpointID, slots int, inAnyCase bool) (outstanding int, granted bool, err error) {
	owner, ok := a.owner(zone, endpoint)
	switch {
	case !ok || a.isMuted(owner.ID):
		return 0, false, ErrNoOwner
	case owner.ID == a.instance:
		// Own dispatches are counted as such; there is nothing to release.
		return a.loads.Outstanding(time.Now(), endpoint), false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := a.caller.Reserve(ctx, owner.Address, &peerpb.ReserveRequest{
		Instance:  string(a.instance),
		Endpoint:  string(endpoint),
		Slots:     uint32(slots),
		InAnyCase: inAnyCase,
	})
	if err != nil {
		a.mute(owner.ID)
		return 0, false, err
	}
	return int(reply.Outstanding), reply.Granted, nil
}

// Release implements dispatch.Owners. It does not wait for the owner.
func (a *Asks) Release(zone platform.Zone, endpoint platform.EndpointID) {
	owner, ok := a.owner(zone, endpoint)
	if !ok || owner.ID == a.instance || a.isMuted(owner.ID) {
		return
	}
	select {
	case a.releases <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-a.releases }()
		ctx, cancel := context.WithTimeout(context.Background(), muteFor)
		defer cancel()
		_, _ = a.caller.Release(ctx, owner.Address, &peerpb.ReleaseRequest{
			Instance: string(a.instance),
			Endpoint: string(endpoint),
		})
	}()
}

func (a *Asks) isMuted(id platform.InstanceID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.muted[id]
	if ok && time.Now().After(until) {
		delete(a.muted, id)
		return false
	}
	return ok
}

func (a *Asks) mute(id platform.InstanceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.muted[id] = time.Now().Add(muteFor)
}
