// Package service is a stand-in of a plain service: an order desk or a booking
// service. GET /slots may be repeated; POST /bookings, like every call that is
// not a GET or HEAD, must run at most once, and the service counts how often it
// did per idempotency key. It accepts any other method and path alike.
package service
