// Package relay carries one request from a client to an endpoint and the
// answer back. It is the core path of an instance, free of any codec.
//
// # Ports
//
// A codec on the client's side turns bytes into a [Request] and implements
// [Client]; a codec on the endpoints' side implements [Endpoints]. Neither is
// known here. What is decided from outside comes through further ports: [Gate]
// (may the request run?), [Planner] (by which model?), [Places] (at which
// endpoint?) and [Budgets] (may it be repeated?).
//
// [TableGate], [SizePlanner] and [PooledPlaces] implement them for a routing
// table, models of different sizes and pools of endpoints. Package caller
// implements them for chat requests with cascades and for plain services.
//
// # Steps
//
// [Relay.Serve] asks the gate, settles the deadline and the service, and makes
// attempts. Each attempt asks the gate again, because the configuration may
// have changed while the request waited, then takes a place, sends, and copies
// the answer.
//
// # What an attempt may end in
//
// An attempt ends in a verdict. It decides whether another attempt may follow
// (see [run.mayRepeat]), and whether a refusal may say that the request has not
// run: only if each attempt ended before a byte was sent, or by the endpoint's
// statement that it did not run the request.
package relay
