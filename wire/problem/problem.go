// Package problem writes refusals and errors to callers as RFC 9457 problem
// documents. Each states whether the request ran and, if a retry can help, after
// what delay to retry.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Type identifies a kind of problem by a URI reference relative to docs/API.md.
type Type string

// Types of problems.
const (
	Malformed         Type = "malformed"
	TooLarge          Type = "too-large"
	Unauthenticated   Type = "unauthenticated"
	NotAllowed        Type = "not-allowed"
	UnknownModel      Type = "unknown-model"
	UnknownService    Type = "unknown-service"
	VersionWithdrawn  Type = "version-withdrawn"
	SessionEnded      Type = "session-ended"
	AccountLimit      Type = "account-limit"
	Overloaded        Type = "overloaded"
	DeadlinePassed    Type = "deadline-passed"
	NoEndpoint        Type = "no-endpoint"
	CrashSuspect      Type = "crash-suspect"
	LogUnavailable    Type = "log-unavailable"
	OutcomeUnknown    Type = "outcome-unknown"
	KeyReused         Type = "idempotency-key-reused"
	InProgress        Type = "in-progress"
	NotReady          Type = "not-ready"
	AnswerInterrupted Type = "answer-interrupted"
	NotFound          Type = "not-found"
)

// Problem is a problem document.
type Problem struct {
	Type   Type   `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is "not_run", "ran" or "unknown".
	Outcome string `json:"outcome"`
	// RetryAfterMillis is the delay after which to retry, in milliseconds; 0 if
	// a retry does not help.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id,omitempty"`
}

// New returns a problem with the outcome of the attempt.
func New(problemType Type, status int, detail string, attempt *outcome.Attempt) *Problem {
	return &Problem{
		Type:    problemType,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: attempt.Outcome().String(),
	}
}

// WithRetryAfter sets the delay after which to retry and returns the problem.
func (p *Problem) WithRetryAfter(wait time.Duration) *Problem {
	p.RetryAfterMillis = max(1, wait.Milliseconds())
	return p
}

// Error returns the type and the detail.
func (p *Problem) Error() string { return string(p.Type) + ": " + p.Detail }

// Write writes the problem as the complete HTTP response. The Retry-After header
// is rounded up to whole seconds.
func (p *Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	if p.RetryAfterMillis > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMillis) / 1000)
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
