// Package membership keeps an instance's view of its peers and of the
// endpoints. The view is a hint: it may make requests faster or slower, but it
// never grants permission.
//
// # Peers
//
// [Peers] is a table of the other instances, updated from the digests that
// peers exchange as heartbeats. Each digest carries a sequence number, and a
// digest that is not newer than the last one is ignored unless it announces a
// departure, so delayed, repeated and reordered messages are harmless. A silent
// peer becomes [Suspect], then [Dead], and is finally removed. A peer that
// announces its departure is removed at once, and its InstanceID is not added
// again: a restarted process has a new one.
//
// An instance exchanges digests with every peer of its own availability zone
// and with a few contacts in every other zone. The contacts are the live peers
// with the highest rendezvous scores for the pair (self, peer), and if there
// are too few live ones, the other peers in turn. So the load is spread evenly
// and the cost for one instance does not grow with the number of instances in
// other zones. Peers that are known only from third parties are contacted, but
// they are not part of [Peers.Live] or [Peers.Rank] and are not passed on.
//
// # Ranking
//
// [Peers.Rank] orders the live instances of an availability zone for a key by
// rendezvous hashing: each instance scores hash(key, instance), and the highest
// score comes first. Instances with equal tables agree without exchanging a
// message, and when an instance leaves, only its own keys move.
//
// # Endpoints
//
// [Endpoints] merges three sources: the platform's instance list, which lags;
// the endpoint's own answers; and the sightings of peers. The merge is
// asymmetric. The first source to report "leaving" wins, and nothing reverts it
// for that EndpointID: a wrong "leaving" costs one endpoint's capacity until it
// restarts, whereas a wrong "live" sends requests to an endpoint that is
// leaving. "Down" is temporary because it is inferred from failures.
//
// All types are deterministic: time and random numbers are arguments. They are
// not safe for concurrent use; the caller must hold a lock.
package membership
