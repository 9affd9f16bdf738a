// Package demo runs a fleet of instances and the stand-ins of its environment
// in one process, sends it mixed traffic during configuration changes and
// faults, and checks every invariant.
package demo
