package broadcast

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// sessionLookupTimeout bounds the lookup of a session at peers, which delays a
	// request. It covers the time for which a new configuration keeps all peers busy.
	sessionLookupTimeout = 250 * time.Millisecond
	// hedgeDelay is how long a lookup waits for one contact in another zone before
	// it also asks the next one.
	hedgeDelay = 30 * time.Millisecond
	// contactsPerZone bounds the contacts in another zone that one lookup asks.
	contactsPerZone = 2
)

// AskSession looks up whether a session runs on the target version of a roll-out.
// It asks the live instances of this zone directly. It reaches those of every other
// zone through a contact there, because an instance knows only some of them. It
// returns the first reply of an instance that knows the session. known is false if
// there is none within sessionLookupTimeout.
func (b *Broadcaster) AskSession(ctx context.Context, service, target, session string) (onTarget, known bool) {
	request := &peerpb.SessionVersionRequest{Service: service, Target: target, Session: session}
	local, contacts := b.peersByZone()
	lookups := b.directLookups(local, request)
	relayed := &peerpb.SessionVersionRequest{Service: service, Target: target, Session: session, AskZone: true}
	for _, inZone := range contacts {
		lookups = append(lookups, func(ctx context.Context) *peerpb.SessionVersionReply {
			return b.askContacts(ctx, inZone, relayed)
		})
	}
	return firstKnown(ctx, lookups)
}

// SessionVersion handles a peer's lookup of a session.
func (b *Broadcaster) SessionVersion(ctx context.Context, request *peerpb.SessionVersionRequest) (*peerpb.SessionVersionReply, error) {
	onTarget, known := b.listener.SessionVersion(request.Service, request.Target, request.Session)
	if !known && request.AskZone {
		local, _ := b.peersByZone()
		onTarget, known = firstKnown(ctx, b.directLookups(local, &peerpb.SessionVersionRequest{
			Service: request.Service, Target: request.Target, Session: request.Session,
		}))
	}
	return &peerpb.SessionVersionReply{Known: known, OnTarget: onTarget}, nil
}

// lookup asks one peer, or the contacts in one zone, for a session. It returns nil if
// it got no reply.
type lookup func(ctx context.Context) *peerpb.SessionVersionReply

// directLookups returns a lookup at each of the peers.
func (b *Broadcaster) directLookups(peers []membership.Peer, request *peerpb.SessionVersionRequest) []lookup {
	var lookups []lookup
	for _, other := range peers {
		lookups = append(lookups, func(ctx context.Context) *peerpb.SessionVersionReply {
			return b.ask(ctx, other, request)
		})
	}
	return lookups
}

// firstKnown runs the lookups concurrently, for at most sessionLookupTimeout, and
// returns the first reply that knows the session.
func firstKnown(ctx context.Context, lookups []lookup) (onTarget, known bool) {
	ctx, cancel := context.WithTimeout(ctx, sessionLookupTimeout)
	defer cancel()
	replies := make(chan *peerpb.SessionVersionReply, len(lookups))
	for _, run := range lookups {
		go func() { replies <- run(ctx) }()
	}
	for range lookups {
		if reply := <-replies; reply.GetKnown() {
			return reply.GetOnTarget(), true
		}
	}
	return false, false
}

func (b *Broadcaster) ask(ctx context.Context, other membership.Peer, request *peerpb.SessionVersionRequest) *peerpb.SessionVersionReply {
	reply, err := b.client.SessionVersion(ctx, other.Address, request)
	if err != nil {
		b.log.WithError(err).WithField("peer", other.ID).Debug("session not looked up")
		return nil
	}
	return reply
}

// askContacts asks one contact after the other until one replies. It asks the next
// one if the last one fails or has not replied after hedgeDelay.
func (b *Broadcaster) askContacts(ctx context.Context, contacts []membership.Peer, request *peerpb.SessionVersionRequest) *peerpb.SessionVersionReply {
	replies := make(chan *peerpb.SessionVersionReply, len(contacts))
	pending := 0
	for _, contact := range contacts {
		go func() { replies <- b.ask(ctx, contact, request) }()
		pending++
		select {
		case reply := <-replies:
			if reply != nil {
				return reply
			}
			pending--
		case <-time.After(hedgeDelay):
		}
	}
	for range pending {
		if reply := <-replies; reply != nil {
			return reply
		}
	}
	return nil
}

// peersByZone returns the live peers of this instance's zone, and at most
// contactsPerZone random live peers of every other zone.
func (b *Broadcaster) peersByZone() (local []membership.Peer, contacts map[platform.Zone][]membership.Peer) {
	own := b.cluster.Self().Zone
	alive := b.livePeers()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	contacts = make(map[platform.Zone][]membership.Peer)
	for _, other := range alive {
		switch {
		case other.Zone == own:
			local = append(local, other)
		case len(contacts[other.Zone]) < contactsPerZone:
			contacts[other.Zone] = append(contacts[other.Zone], other)
		}
	}
	return local, contacts
}
