package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// PollShare returns the endpoints, of those given, whose load this instance
// polls on behalf of its zone. Each endpoint belongs to the instance of the
// highest rendezvous hash, so a change of membership moves few endpoints.
// Peers may include self.
func PollShare(self platform.InstanceID, peers []platform.InstanceID, endpoints []platform.EndpointID) []platform.EndpointID {
	var share []platform.EndpointID
	for _, endpoint := range endpoints {
		if ownsPoll(self, peers, endpoint) {
			share = append(share, endpoint)
		}
	}
	slices.Sort(share)
	return share
}

func ownsPoll(self platform.InstanceID, peers []platform.InstanceID, endpoint platform.EndpointID) bool {
	own := pollRank(self, endpoint)
	for _, peer := range peers {
		if peer == self {
			continue
		}
		rank := pollRank(peer, endpoint)
		if rank > own || rank == own && peer > self {
			return false
		}
	}
	return true
}

func pollRank(instance platform.InstanceID, endpoint platform.EndpointID) uint64 {
	return xxhash.Sum64String(string(instance) + "\x00" + string(endpoint))
}
