// Package service implements a stand-in for a plain service, such as an order desk
// or a booking service. It accepts every method and path. GET and HEAD calls, such
// as GET /slots, may be repeated; all other calls, such as POST /bookings, must run
// at most once. The service records every run with its idempotency key, so that
// the runs per key can be counted.
package service
