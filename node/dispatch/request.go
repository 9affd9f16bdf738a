// Package dispatch runs a chat request: it plans which model versions to try,
// passes every try through the gate, places it on an endpoint, and retries
// what may be retried.
package dispatch

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/openai"
)

// Request is an authenticated chat request.
type Request struct {
	ID      string
	Account document.AccountID
	Class   document.TaskClass
	// Model is the model asked for; empty leaves the choice to the cascade.
	Model document.ModelName
	// Version is the version asked for; empty leaves it to the session.
	Version document.VersionName
	// Birth gives the version of each model that the request may use.
	Birth session.Birth
	// Fresh tells that this is the first request with the birth, whose
	// exposure to candidates was counted at the birth.
	Fresh    bool
	Body     *openai.Request
	Raw      []byte
	Prompt   string
	Priority int
	Deadline time.Time
	// Attempt follows the request over all its dispatches.
	Attempt outcome.Attempt
}

// Sink takes the frames of the answer that the caller gets.
type Sink interface {
	// Frame passes on one frame. An error means that the caller has gone.
	Frame(ref document.Ref, chunk *openai.Chunk) error
}

// Use counts what one dispatch consumed.
type Use struct {
	Ref          document.Ref
	PromptTokens int
	AnswerTokens int
}

// Result is what became of a request that was dispatched.
type Result struct {
	// Ref answered the request; Answer is nil if no answer came whole.
	Ref    document.Ref
	Answer *engine.Answer
	// Uses lists all dispatches that produced tokens.
	Uses []Use
	// CallerGone says that the caller left in the middle of the answer.
	CallerGone bool
	// Degraded says that a step of the cascade that should have followed was
	// not to be had.
	Degraded bool
}
