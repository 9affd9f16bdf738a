// Package faults injects faults into a stand-in.
//
// An [Injector] holds the faults of one stand-in. POST /faults replaces them and
// GET /faults returns them; requests to this path are exempt from the faults of
// single calls.
// [Injector.Middleware] applies the faults of single calls, [Listener] those of
// connections. The stand-in itself applies the faults of answers
// ([Set.BadVersions], [Set.CutRate]).
package faults
