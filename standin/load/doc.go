// Package load is a load generator: it sends a configured mix of requests to a
// running fleet, like a large number of callers, and verifies every answer.
//
// A [Mix] describes the traffic. With the same mix, each virtual user sends the
// same requests in the same order, provided that its requests get the same answers
// and that the same ones of them are marked. Which ones are marked may differ
// between runs, because requests are counted over all users and every n-th one is
// marked, up to a maximum. Callers retry a request that did not run if its
// connection was refused or the refusal states a delay (Retry-After). They also
// retry bookings and marked requests whose outcome is unknown. Each attempt has a
// new request ID; all attempts of a booking have the same idempotency key. Only
// loopback addresses are accepted, and a run is bounded in requests and in time.
package load
