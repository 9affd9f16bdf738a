// Package fleet runs the instances of a deployment inside one process, each
// with its own sockets, and can stop, kill and replace them individually.
package fleet
