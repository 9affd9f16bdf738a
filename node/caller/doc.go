// Package caller serves the callers' API: it authenticates, validates and limits
// requests, and writes answers and refusals.
//
// Package relay makes the attempts of a request, for every API. This package
// adapts it to the callers' API: the value that represents a request implements
// the ports of the relay, so that the data from one port (an endpoint's answer) is
// available to the others (the bill).
//
//   - Chat requests: chatPlan selects the versions; chatPicker selects the
//     endpoints, after waiting for a slot of the pool and checking whether the
//     request is suspected of crashing endpoints; chatEndpoints calls engines;
//     chatWriter writes the answer.
//   - Calls to plain services: serviceCall. Calls that must not be repeated run
//     under an intent of package atmostonce.
package caller
