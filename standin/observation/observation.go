package observation

import "time"

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	// NonStreaming is a chat request answered in one piece.
	NonStreaming Kind = "whole"
	// Stream is a chat request answered as a stream.
	Stream Kind = "stream"
	// Read is a call to a plain service that may be repeated.
	Read Kind = "read"
	// Booking is a call to a plain service that must run at most once.
	Booking Kind = "booking"
)

// IsChat reports whether the kind is a chat request.
func (k Kind) IsChat() bool { return k == NonStreaming || k == Stream }

// Result is the outcome of a request as its caller observed it.
type Result string

// Results of a request.
const (
	// Answered requests got a complete answer of their own.
	Answered Result = "answered"
	// NotRun requests were refused with the outcome "not_run", or were never
	// sent.
	NotRun Result = "not_run"
	// Unknown requests may have run: the reply stated an outcome other than
	// "not_run", the connection was lost, or the call timed out.
	Unknown Result = "unknown"
	// Defective requests got a reply that is malformed, incomplete, or for
	// another request or model version.
	Defective Result = "defective"
)

// ProblemConnectionLost is the problem of a request that may have been sent
// before its connection was lost or the call timed out.
const ProblemConnectionLost = "connection-lost"

// Observation is the record of one request as its caller observed it. A retry is a
// request of its own, with its own RequestID.
type Observation struct {
	RequestID string `json:"request_id"`
	// Key is the idempotency key of a booking, the same for all attempts.
	Key     string `json:"key,omitempty"`
	Account string `json:"account"`
	Class   string `json:"class,omitempty"`
	Kind    Kind   `json:"kind"`
	// Marked reports whether the load generator added its marker text to the
	// prompt.
	Marked bool `json:"marked,omitempty"`
	// Session is the caller's ID of the session, unique within the account.
	Session string `json:"session,omitempty"`
	// Address is the address that the request was sent to; Instance is the
	// name of the instance that replied.
	Address  string `json:"address,omitempty"`
	Instance string `json:"instance,omitempty"`
	// Ref is the "model@version" that the reply's header names.
	Ref    string `json:"ref,omitempty"`
	Status int    `json:"status,omitempty"`
	Result Result `json:"result"`
	// Problem is the type of the refusal, a description of the defect, the reason
	// why the request was not sent, or [ProblemConnectionLost].
	Problem string `json:"problem,omitempty"`
	// Sent is when the request was sent. FirstToken and Took are the durations
	// from Sent to the first token and to the end of the reply. In an answer that
	// is not streamed, the first token arrives with the complete body.
	Sent       time.Time     `json:"sent"`
	FirstToken time.Duration `json:"first_token,omitempty"`
	Took       time.Duration `json:"took"`
	// PromptTokens and AnswerTokens are the numbers of words in the prompt, where
	// the role of each message counts as one word, and in the answer.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	AnswerTokens int `json:"answer_tokens,omitempty"`
	// Quality is the hidden quality of the answer, in [0, 1], as the engine stand-in
	// states it in the answer's text. The router does not read it.
	Quality float64 `json:"quality,omitempty"`
}
