package admission

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Reason tells why a request is refused.
type Reason string

// Reasons of a refusal.
const (
	// OverLimit requests exceed their account's limit.
	OverLimit Reason = "account_limit"
	// Overloaded requests could not finish before their deadline.
	Overloaded Reason = "overloaded"
	// NoRetryBudget retries would have fed a retry storm.
	NoRetryBudget Reason = "retry_budget"
	// QueueFull requests found the bounded queue full.
	QueueFull Reason = "queue_full"
)

// Request is what admission needs to know of a request.
type Request struct {
	Account document.AccountID
	Class   document.TaskClass
	// Work is the expected time of the request on a slot.
	Work time.Duration
	// Left is the time until the deadline.
	Left time.Duration
	// Weight is the account's share when capacity is short; 1 if 0.
	Weight float64
	// Priority orders the requests of one account; the highest goes first.
	Priority int
}

// Refusal is the error of a refused request.
type Refusal struct {
	Reason Reason
	// RetryAfter is when coming back helps.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "admission: " + string(r.Reason) }
