package observation

import "time"

// Kind tells what was asked.
type Kind string

// Kinds of requests.
const (
	// Whole is a chat request answered whole.
	Whole Kind = "whole"
	// Stream is a chat request answered as a stream.
	Stream Kind = "stream"
	// Read is a repeatable call of a plain service.
	Read Kind = "read"
	// Booking is a call of a plain service that must run at most once.
	Booking Kind = "booking"
)

// IsChat reports whether the kind is a chat request.
func (k Kind) IsChat() bool { return k == Whole || k == Stream }

// Result is how a request ended for its caller.
type Result string

// Results of a request.
const (
	// Answered requests got a whole answer of their own.
	Answered Result = "answered"
	// NotRun requests were refused with the statement that they did not run,
	// or never left the caller.
	NotRun Result = "not_run"
	// Unknown requests may have run: the caller was told so, or lost its
	// connection.
	Unknown Result = "unknown"
	// Defective requests got an answer that claims to be good and is not.
	Defective Result = "defective"
)

// ProblemConnectionLost is the problem of a request whose connection was lost
// after it may have been sent.
const ProblemConnectionLost = "connection-lost"

// Observation is one request as its caller saw it.
type Observation struct {
	RequestID string `json:"request_id"`
	// Key is the idempotency key of a booking, shared by its repetitions.
	Key     string `json:"key,omitempty"`
	Account string `json:"account"`
	Class   string `json:"class,omitempty"`
	Kind    Kind   `json:"kind"`
	// Marked tells that the request carried the mix's mark.
	Marked bool `json:"marked,omitempty"`
	// Session is the caller's name of the session, unique within the account.
	Session string `json:"session,omitempty"`
	// Address is where the request was sent, Instance which instance answered.
	Address  string `json:"address,omitempty"`
	Instance string `json:"instance,omitempty"`
	// Ref is the "model@version" that the reply names.
	Ref    string `json:"ref,omitempty"`
	Status int    `json:"status,omitempty"`
	Result Result `json:"result"`
	// Problem is the type of the refusal, or what is wrong with the answer.
	Problem string `json:"problem,omitempty"`
	// Sent is when the request was sent; FirstToken and Took are times since.
	Sent       time.Time     `json:"sent"`
	FirstToken time.Duration `json:"first_token,omitempty"`
	Took       time.Duration `json:"took"`
	// PromptTokens and AnswerTokens count the words of prompt and answer.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	AnswerTokens int `json:"answer_tokens,omitempty"`
	// Quality is the hidden quality of the answer, in [0, 1].
	Quality float64 `json:"quality,omitempty"`
}
