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

// Owner returns the instance, of those given, to which the endpoint belongs:
// the one that polls it and counts what all dispatch to it. It returns false if
// there are none.
func Owner(instances []platform.InstanceID, endpoint platform.EndpointID) (platform.InstanceID, bool) {
	var owner platform.InstanceID
	for i, instance := range instances {
		if i == 0 || pollRank(instance, endpoint) > pollRank(owner, endpoint) ||
			pollRank(instance, endpoint) == pollRank(owner, endpoint) && instance > owner {
			owner = instance
		}
	}
	return owner, len(instances) > 0
}

func pollRank(instance platform.InstanceID, endpoint platform.EndpointID) uint64 {
	return xxhash.Sum64String(string(instance) + "\x00" + string(endpoint))
}
