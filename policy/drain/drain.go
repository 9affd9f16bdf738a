// Package drain decides which requests an instance that stops still runs.
//
// The balancer sends clients for some time after the stop has begun, and a client that is refused then may
// come back to the same instance: all is run. Later requests come on connections that were open before.
// Their clients reach another instance at once if they are refused, so a request is run only if its
// answer will be complete before the instance closes its connections.
package drain

import "time"

// Window is the time in which an instance stops.
type Window struct {
	// LagEnds is when the balancer has stopped sending clients.
	LagEnds time.Time
	// Ends is when the last answers must be complete.
	Ends time.Time
}

// Request is what is known of the time that a request takes.
type Request struct {
	// Remaining is how long the client waits at most. It has its answer by then, if only a refusal.
	Remaining time.Duration
	// Objective is the route's latency objective, 0 if it has none. That of a stream is for its first
	// event.
	Objective time.Duration
	IsStream  bool
	// Usual is a time within which nearly all requests of the route are answered completely; 0 if
	// unknown.
	Usual time.Duration
}

// unknownFactor is how many times its objective an answer may take if nothing is known of the route.
const unknownFactor = 2

// longest returns the longest time that the request is expected to take.
func (r Request) longest() time.Duration {
	switch {
	case r.Usual > 0:
		return min(r.Remaining, max(r.Usual, r.Objective))
	case r.IsStream || r.Objective <= 0:
		return r.Remaining
	default:
		return min(r.Remaining, unknownFactor*r.Objective)
	}
}

// Admits reports whether the request may be run.
func (w Window) Admits(now time.Time, request Request) bool {
	return now.Before(w.LagEnds) || request.longest() <= w.Ends.Sub(now)
}
