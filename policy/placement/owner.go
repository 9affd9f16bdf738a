package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// OwnedEndpoints returns the endpoints that the instance self owns if self and peers
// are the live instances of a zone, sorted by ID. An instance polls the load of its
// endpoints on behalf of its zone. The owner of an endpoint is the instance with the
// highest rendezvous hash, so a change of membership moves few endpoints. peers may
// include self.
func OwnedEndpoints(self platform.InstanceID, peers []platform.InstanceID, endpoints []platform.EndpointID) []platform.EndpointID {
	var owned []platform.EndpointID
	for _, endpoint := range endpoints {
		if isOwner(self, peers, endpoint) {
			owned = append(owned, endpoint)
		}
	}
	slices.Sort(owned)
	return owned
}

func isOwner(self platform.InstanceID, peers []platform.InstanceID, endpoint platform.EndpointID) bool {
	selfHash := rendezvousHash(self, endpoint)
	for _, peer := range peers {
		if peer == self {
			continue
		}
		peerHash := rendezvousHash(peer, endpoint)
		if peerHash > selfHash || peerHash == selfHash && peer > self {
			return false
		}
	}
	return true
}

// Owner returns the instance that owns the endpoint, or false if instances is empty.
// The owning instance polls the endpoint and counts the dispatches of all instances
// to it.
func Owner(instances []platform.InstanceID, endpoint platform.EndpointID) (platform.InstanceID, bool) {
	var owner platform.InstanceID
	for i, instance := range instances {
		if i == 0 || rendezvousHash(instance, endpoint) > rendezvousHash(owner, endpoint) ||
			rendezvousHash(instance, endpoint) == rendezvousHash(owner, endpoint) && instance > owner {
			owner = instance
		}
	}
	return owner, len(instances) > 0
}

func rendezvousHash(instance platform.InstanceID, endpoint platform.EndpointID) uint64 {
	return xxhash.Sum64String(string(instance) + "\x00" + string(endpoint))
}
