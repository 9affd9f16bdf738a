// Package server implements the HTTP server that all stand-ins share: an echo
// router with fault injection that listens on a loopback address.
package server
