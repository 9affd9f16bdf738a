package placement

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// peerLoadExpiry is the time after which a peer's count of dispatches expires.
const peerLoadExpiry = 5 * time.Second

// peerLoads holds the peers' counts of dispatches in flight to one endpoint.
type peerLoads struct {
	byPeer map[platform.InstanceID]peerLoad
}

type peerLoad struct {
	inFlight   int
	reportedAt time.Time
}

func (p *peerLoads) record(peer platform.InstanceID, inFlight int, reportedAt time.Time) {
	if p.byPeer == nil {
		p.byPeer = make(map[platform.InstanceID]peerLoad)
	}
	if previous, ok := p.byPeer[peer]; ok && reportedAt.Before(previous.reportedAt) {
		return
	}
	p.byPeer[peer] = peerLoad{inFlight: max(0, inFlight), reportedAt: reportedAt}
}

// add adds change to a peer's count: 1 for a dispatch, -1 for the end of one.
func (p *peerLoads) add(peer platform.InstanceID, change int, reportedAt time.Time) {
	previous := p.byPeer[peer]
	p.record(peer, previous.inFlight+change, reportedAt)
}

// sum returns the total of the peers' counts and their mean age, or 0 and
// [NoReportAge] if there is none. It drops expired counts.
func (p *peerLoads) sum(now time.Time) (inFlight int, age time.Duration) {
	var ages time.Duration
	for peer, load := range p.byPeer {
		elapsed := max(0, now.Sub(load.reportedAt))
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
