// Package relay carries one request from a client to an endpoint and the
// answer back. It is the core path of an instance, free of any codec.
//
// # Ports
//
// A codec on the client's side turns bytes into a [Request] and implements
// [Client]; a codec on the endpoints' side implements [Endpoints]. Neither is
// known here.
//
// # Steps
//
// [Relay.Serve] runs a request through a list of steps: gate (route, account,
// model, age of the configuration), suspect (has the request crashed
// endpoints?), then attempts. Each attempt asks the gate again, because the
// configuration may have changed while the request waited, then plans a model,
// chooses an endpoint, sends, and copies the answer.
//
// # What an attempt may end in
//
// An attempt ends in a verdict. It decides whether another attempt may follow
// (see [run.mayRepeat]), and whether a refusal may say that the request has not
// run: only if each attempt ended before a byte was sent, or by the endpoint's
// statement that it did not run the request.
package relay
