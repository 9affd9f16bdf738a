// Package problem writes refusals and errors to callers as RFC 9457 problem
// documents. Each says whether the request ran and, where coming back helps,
// when to come back.
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

// Type names a kind of problem, as a URI reference relative to the API page.
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
	// RetryAfterMillis is when coming back helps, in milliseconds; 0 where it
	// does not.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id,omitempty"`
}

// New returns a problem whose outcome is the attempt's.
func New(kind Type, status int, detail string, attempt *outcome.Attempt) *Problem {
	return &Problem{
		Type:    kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: attempt.Outcome().String(),
	}
}

// After sets when to come back and returns the problem.
func (p *Problem) After(wait time.Duration) *Problem {
	p.RetryAfterMillis = max(1, wait.Milliseconds())
	return p
}

// Error implements error.
func (p *Problem) Error() string { return string(p.Type) + ": " + p.Detail }

// Write sends the problem as the whole answer.
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
