// Package faults makes a stand-in misbehave on command.
//
// A [Switch] holds the faults of one stand-in. POST /faults replaces them,
// GET /faults returns them, and neither is subject to them. [Switch.Middleware]
// brings about the faults that concern one call, [Listener] those that concern
// connections. The faults of answers ([Set.BadVersions], [Set.CutRate]) are
// read by the stand-in itself.
package faults
