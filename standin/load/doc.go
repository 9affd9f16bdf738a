// Package load drives a running fleet with a described mix of requests, as
// many callers would, and verifies every answer.
//
// A [Mix] describes the traffic; the same mix and seed send the same requests
// in the same order per virtual user. Callers honour Retry-After, send a
// refused request again under a new request ID, and ask again with the same
// idempotency key when a booking's outcome is unknown. Only loopback addresses
// are accepted, and a run is bounded in requests and in time.
package load
