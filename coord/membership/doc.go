// Package membership keeps what an instance believes of its peers and of the
// endpoints. All of it is a hint: it decides speed, never permission.
//
// # Peers
//
// [Peers] is a table of the other instances, fed by the digests that peers
// exchange as heartbeats. Each digest carries a sequence number; a digest that
// is not newer than the last one changes nothing, so delays, repeats and
// reordering on the network are harmless. A peer that goes silent is believed
// [Suspect], then [Dead], and is forgotten at last. A peer that says it leaves
// is [Left], and that is final for its InstanceID: a restarted process has a
// new one.
//
// An instance exchanges digests with every peer of its own availability zone,
// and with a few contacts in every other one. The contacts are the peers that
// rank highest for the pair (self, peer), so the load spreads evenly, and the
// cost of one instance does not grow with the number of instances elsewhere.
// Peers that were heard of but not heard are tried, not believed: they take no
// part in [Peers.Live] or [Peers.Rank], and they are not passed on.
//
// # Ranking
//
// [Peers.Rank] orders the live instances of an availability zone for a key by
// rendezvous hashing: each instance scores hash(key, instance), the highest
// score comes first. All instances with equal tables agree without a message,
// and when an instance goes only its own keys move.
//
// # Endpoints
//
// [Endpoints] merges three sources about back ends: the platform's instance
// list, which lags; what the endpoint itself answers; and the sightings of
// peers. The merge is asymmetric on purpose. The first source to say "leaving"
// wins, and nothing undoes it for that EndpointID: a wrong "leaving" costs one
// endpoint's capacity until it restarts, a wrong "live" breaks a promise.
// "Down" is temporary, because it is a guess from failures.
//
// Everything here is pure: time and random numbers are arguments. The types
// are not safe for concurrent use; the caller holds a lock of its own.
package membership
