// Package environment starts the stand-ins that a deployment's instances depend
// on: the log with the first configuration, the instance list, the rating service,
// the weight store, the engines and the desks (the endpoints of the plain service).
// Each listens on its own port of the loopback address.
package environment
