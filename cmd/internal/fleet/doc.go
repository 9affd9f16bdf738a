// Package fleet runs the instances of a deployment inside one process, each
// with sockets of its own, and can stop, kill and replace them one by one.
package fleet
