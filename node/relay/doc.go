// Package relay forwards one request from a client to an endpoint and returns
// the answer. It is the request path of an instance and does not depend on any
// wire format.
//
// # Ports
//
// A codec on the client's side decodes bytes into a [Request] and implements
// [Client]; a codec on the endpoints' side implements [Endpoints]. The policy
// decisions are made behind further interfaces: [Gate] admits the request,
// [Planner] selects the model, [EndpointPicker] selects the endpoint and [Budgets]
// limits retries.
//
// [TableGate], [SizePlanner] and [PooledPicker] implement them for a routing
// table, models of different sizes and pools of endpoints. Package caller
// implements them for chat requests with cascades and for plain services.
//
// # Steps
//
// [Relay.Serve] asks the gate for admission, and [Admission] whether the fleet has room,
// fixes the deadline, picks the service and makes attempts. Before each further attempt it asks the gate
// again, because the configuration may have changed in the meantime. An attempt
// selects an endpoint, sends the request and copies the answer to the client.
//
// # End of an answer
//
// Whether an endpoint's answer is whole is decided in one place, for all framings and
// kinds of answers: [bodyEnd.check]. An answer that is not whole is a broken attempt. The
// client's codec learns from [Client.End] whether the answer that it sends is complete,
// and must not frame it so otherwise.
//
// # Verdicts
//
// An attempt ends with a verdict. The verdict decides whether another attempt
// may follow (see [run.takeRetry]) and whether a refusal may state that the
// request has not run: only if every attempt either ended before a byte was
// sent or was answered by the endpoint with the statement that it did not run
// the request.
//
// An attempt that could not be sent costs no retry, so each usable endpoint is tried,
// in at most [maxUnsent] unsent attempts.
// If all of them refuse connections or are full, or none is listed, a request whose
// answer has not begun is refused without delay, so that the client can retry
// elsewhere. An answer that has begun and can be resumed waits for an endpoint, with
// growing pauses, for as long as its client waits for the next event (see
// [run.waitForEndpoint]).
package relay
