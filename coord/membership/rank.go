package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// score returns the rendezvous score of a member for a key.
func score(key, member string) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	// Writes to an xxhash.Digest never fail.
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(member)
	return hash.Sum64()
}

// rankPeers sorts peers by descending score for the key, then by ID.
func rankPeers(key string, peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return CompareScores(key, string(a.ID), string(b.ID))
	})
}

// CompareScores orders two members by rendezvous score for the key: the one with the higher
// score first, then by name.
func CompareScores(key, a, b string) int {
	if order := cmp.Compare(score(key, b), score(key, a)); order != 0 {
		return order
	}
	return cmp.Compare(a, b)
}

// Rank returns the live instances of the zone in descending order of rendezvous
// score for the key. It includes self unless this instance is leaving.
func (p *Peers) Rank(key string, zone platform.Zone) []Peer {
	ranked := p.Live(zone)
	rankPeers(key, ranked)
	return ranked
}

// FleetRank returns the position of this instance, from 0, in an order over all
// live instances: first the highest-ranked instance of each zone, with zones
// ordered by their own score, then the second of each zone, and so on. A zone
// with fewer instances than another leaves positions unused, and an instance that
// is leaving comes last. A caller uses the position as a delay, in steps, for a
// task that only one instance of the fleet should do.
func (p *Peers) FleetRank(key string) int {
	zones := p.zones()
	slices.SortFunc(zones, func(a, b platform.Zone) int {
		return CompareScores(key, string(a), string(b))
	})
	zoneRank := slices.Index(zones, p.self.Zone)
	rankInZone := slices.IndexFunc(p.Rank(key, p.self.Zone), func(peer Peer) bool {
		return peer.ID == p.self.ID
	})
	if rankInZone < 0 {
		rankInZone = len(p.peers)
	}
	return rankInZone*len(zones) + zoneRank
}

// zones returns the local zone and all other zones with a live instance.
func (p *Peers) zones() []platform.Zone {
	zones := []platform.Zone{p.self.Zone}
	for _, entry := range p.order {
		if entry.Liveness == Alive && !slices.Contains(zones, entry.Zone) {
			zones = append(zones, entry.Zone)
		}
	}
	return zones
}

// ZoneMembers returns the instances of the local zone that are not known to be dead, with
// this instance unless it has left.
func (p *Peers) ZoneMembers() []platform.InstanceID {
	var members []platform.InstanceID
	if p.self.Liveness == Alive {
		members = append(members, p.self.ID)
	}
	for _, entry := range p.order {
		if entry.Zone == p.self.Zone && (entry.Liveness == Alive || entry.Liveness == Suspect) {
			members = append(members, entry.ID)
		}
	}
	return members
}

// KnownZones returns the local zone and all zones with an instance in the table that has
// sent a digest, including instances that are dead and not removed yet.
func (p *Peers) KnownZones() []platform.Zone {
	zones := []platform.Zone{p.self.Zone}
	for _, entry := range p.order {
		if entry.Liveness != Unconfirmed && !slices.Contains(zones, entry.Zone) {
			zones = append(zones, entry.Zone)
		}
	}
	return zones
}
