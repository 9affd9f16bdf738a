package fleetlimit

// Statement is what an answer of an endpoint says about its limit.
type Statement struct {
	// Named reports that the endpoint names a limit. An answer without one ends it.
	Named bool
	// PerSecond is the number of requests a second that the endpoint takes from all
	// instances together.
	PerSecond float64
}
