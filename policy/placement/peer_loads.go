package placement

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// peerLoadExpiry is how long a peer's word on its dispatches counts.
const peerLoadExpiry = 5 * time.Second

// peerLoads holds what peers told of their dispatches to one endpoint.
type peerLoads struct {
	byPeer map[platform.InstanceID]peerLoad
}

type peerLoad struct {
	inFlight int
	at       time.Time
}

func (p *peerLoads) told(peer platform.InstanceID, inFlight int, at time.Time) {
	if p.byPeer == nil {
		p.byPeer = make(map[platform.InstanceID]peerLoad)
	}
	if known, ok := p.byPeer[peer]; ok && at.Before(known.at) {
		return
	}
	p.byPeer[peer] = peerLoad{inFlight: max(0, inFlight), at: at}
}

// add changes a peer's count by one dispatch or one end.
func (p *peerLoads) add(peer platform.InstanceID, change int, at time.Time) {
	known := p.byPeer[peer]
	p.told(peer, known.inFlight+change, at)
}

// sum returns the dispatches that peers have in flight, and the mean age of
// their words. Expired words are dropped.
func (p *peerLoads) sum(now time.Time) (inFlight int, age time.Duration) {
	var ages time.Duration
	for peer, load := range p.byPeer {
		elapsed := max(0, now.Sub(load.at))
		if elapsed > peerLoadExpiry {
			delete(p.byPeer, peer)
			continue
		}
		inFlight += load.inFlight
		ages += elapsed
	}
	if len(p.byPeer) == 0 {
		return 0, NoReportAge
	}
	return inFlight, ages / time.Duration(len(p.byPeer))
}
