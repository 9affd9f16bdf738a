// Package demo runs a whole fleet with its surroundings in one process, sends
// it mixed traffic while things change and fail, and checks every invariant.
package demo
