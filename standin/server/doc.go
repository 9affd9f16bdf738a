// Package server is the HTTP server that all stand-ins share: an echo router
// behind a switch of faults, on a loopback address.
package server
