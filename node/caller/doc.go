// Package caller serves the callers' API: it authenticates, checks and bounds
// requests, and writes answers and refusals.
//
// The attempts of a request are made by package relay, which is the core path
// of every interface. This package is its codec for the callers' API: each
// request implements the ports of the relay, so that what it learns in one
// (an endpoint's answer) is at hand in the others (the bill).
//
//   - Chat requests: chatPlan chooses the versions, chatPlaces the endpoints,
//     with a slot of the pool and the suspects' verdict, chatEndpoints calls
//     engines, chatWriter writes the answer.
//   - Calls of plain services: serviceCall; those that must not be repeated run
//     under an intent of package once.
package caller
