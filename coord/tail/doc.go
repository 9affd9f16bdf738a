// Package tail keeps an instance's fold of a stream moving forward, from the
// platform's log and from peers.
//
// # The idea
//
// [Tailer] is a pure state machine in the manner of a consensus library's core:
// [Tailer.Step] takes what happened (an [Event]) and returns what to do (a list
// of [Effect]s). The caller does all input and output: it reads the log or a
// peer and hands the answer back, and it applies delivered records to the fold.
// There is no clock, socket or goroutine inside.
//
// # Who reads the log
//
// The log serves everyone, so few should wait on it. In every availability
// zone the [Config.Readers] best-ranked live instances read it by long poll.
// The others follow: a heartbeat that tells of a higher next offset makes them
// read the records from that peer at once, and a slow timer does the same when
// heartbeats are lost. When no source has answered for [Config.Silence], a
// follower reads the log itself. Views of membership may differ between
// instances; then a few more or fewer read the log, and nothing else changes.
//
// Any peer in any zone that is further on serves as a source. So a zone that is
// cut off from the platform but not from its peers keeps up, and so does one
// that rejoins.
//
// # Forward only
//
// Records are delivered in order of offset, none twice and none left out. Late,
// repeated and foreign answers deliver nothing. When the records wanted have
// passed out of retention, or a fresh instance has far to go, the tailer looks
// for a snapshot: from a peer, then backwards through the log's end in growing
// steps, so that the cost does not follow the log's length.
//
// # Ready
//
// [Tailer.Ready] holds once the fold has reached an end of the stream that was
// seen after the start. While the log is down, it holds once the fold has what
// a peer has.
package tail
