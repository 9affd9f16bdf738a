package admission

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Reason is the reason for refusing a request.
type Reason string

// Reasons of a refusal.
const (
	// OverLimit refuses a request that exceeds its account's limit.
	OverLimit Reason = "account_limit"
	// Overloaded refuses a request that could not finish before its deadline.
	Overloaded Reason = "overloaded"
	// NoRetryBudget refuses a retry that exceeds the retry budget, which prevents
	// retry storms.
	NoRetryBudget Reason = "retry_budget"
	// QueueFull refuses a request for which the queue has no room, or a queued
	// request whose place a request of another account takes.
	QueueFull Reason = "queue_full"
)

// Request describes a request to the queue.
type Request struct {
	Account document.AccountID
	Class   document.TaskClass
	// Work is the expected time of the request on a slot; unknown if 0.
	Work time.Duration
	// Remaining is the time remaining until the deadline.
	Remaining time.Duration
	// Weight is the account's relative share of the slots when capacity is short; 1
	// if 0.
	Weight float64
	// Priority orders the requests of one account, highest first.
	Priority int
}

// Refusal is the error of a refused request.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "admission: " + string(r.Reason) }
