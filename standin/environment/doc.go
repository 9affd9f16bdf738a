// Package environment starts all that surrounds a deployment's instances: log
// with the first configuration, instance list, rating service, weight store,
// engines and desks, each with a socket of its own on the loopback address.
package environment
