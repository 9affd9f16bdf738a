package tail

import (
	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// NewPeersUpdated returns the event that passes the table of peers to the tailer
// of a stream. The readers are ranked for that stream, but the next offsets of the
// sources are those of the control stream.
func NewPeersUpdated(peers *membership.Peers, stream platform.Stream) PeersUpdated {
	var event PeersUpdated
	for _, peer := range peers.Rank(string(stream), peers.Self().Zone) {
		event.Readers = append(event.Readers, peer.ID)
	}
	for _, peer := range peers.All() {
		if peer.Liveness == membership.Alive {
			event.Sources = append(event.Sources, PeerOffset{ID: peer.ID, Zone: peer.Zone, Next: peer.ControlNext})
		}
	}
	return event
}
