// Package forward runs client requests through peers, for an instance that does not reach
// the endpoints of a service itself, and serves such requests of peers.
//
// # One hop
//
// A peer runs a forwarded request like one of its own clients: its gate, keys, limits, seats,
// sessions, versions, suspects and retries decide, and its evidence counts. It does not
// forward the request again, and does not count it in its retry budget, because the instance
// that has it from the client has done so. Runs are counted across the hop.
//
// # Promises
//
// A request is unsent if no connection to the peer was made, and has not run if the peer says
// so. In all other cases it may have run. A stream that the peer cannot finish ends as broken
// off, so that it may go on elsewhere.
//
// # Who may forward
//
// Only an instance of the cluster, calling from the address that the cluster knows it by; and
// only what its client may ask for, since the peer checks the client's key again.
package forward
