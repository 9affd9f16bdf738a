// Package tail keeps an instance's fold of a stream up to date with the
// platform's log, reading from the log and from peers.
//
// # State machine
//
// [Tailer] is a deterministic state machine, like the core of a consensus
// library: [Tailer.Step] takes an [Event] and returns the [Effect]s to carry
// out. The caller does all input and output: it reads the log or a peer, passes
// the answer to Step, and applies delivered records to the fold. The package
// uses no clock, socket or goroutine.
//
// # Who reads the log
//
// All instances share the log, so only a few should wait on it. In each
// availability zone, the [Config.Readers] highest-ranked live instances read it
// by long poll. The others follow: when the heartbeat of a peer reports a
// higher next offset, they read the records from such a peer at once, and a
// slow timer triggers a read when heartbeats are lost. A follower reads the log
// itself when no source has answered for [Config.SilenceTimeout], and at the
// long intervals that [Config.ZoneProbeInterval] sets. If instances disagree on
// membership, a few more or fewer of them read the log; nothing else changes.
//
// Any peer in any zone with a higher next offset can serve as a source. So a
// zone that is cut off from the platform but not from its peers stays up to
// date, and a zone that rejoins catches up.
//
// # Order of delivery
//
// Records are delivered in order of offset, none of them twice, and without a
// gap unless a snapshot replaces the records in between. Late, repeated and
// unrelated answers deliver nothing out of order. When the next records are no
// longer retained, or the fold is far behind, the tailer looks for a snapshot:
// by default first at a peer (see [Bootstrap]), then backwards from the end of
// the log over growing distances, so that the cost does not grow with the
// length of the log.
//
// # Readiness
//
// [Tailer.Ready] is true once the fold has reached an end of the stream that was
// observed after the start. If no end could be observed because the log is
// unavailable, it becomes true once the fold has caught up with the peers.
package tail
