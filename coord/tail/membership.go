package tail

import (
	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// SeenPeers returns the event that tells a tailer of a stream what the table of
// peers holds.
func SeenPeers(peers *membership.Peers, stream platform.Stream) PeersSeen {
	var seen PeersSeen
	for _, peer := range peers.Rank(string(stream), peers.Self().Zone) {
		seen.Readers = append(seen.Readers, peer.ID)
	}
	for _, peer := range peers.All() {
		if peer.Liveness == membership.Alive {
			seen.Sources = append(seen.Sources, PeerOffset{ID: peer.ID, Zone: peer.Zone, Next: peer.ControlNext})
		}
	}
	return seen
}
