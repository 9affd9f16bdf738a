package caller

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
	"github.com/wigeonusher/wigeonusher/wire/openai"
)

// chatRequest is an authenticated chat request.
type chatRequest struct {
	id      string
	account document.AccountID
	class   document.TaskClass
	// model is the requested model; if empty, the cascade chooses.
	model document.ModelName
	// version is the requested version; if empty, the pin set gives it.
	version document.VersionName
	// pins gives the version of each model that the request may use.
	pins session.PinSet
	// pinsCreated reports that this request created the pin set. The creation
	// has already counted the request's exposure to candidates.
	pinsCreated bool
	body        *openai.Request
	raw         []byte
	prompt      string
	priority    int
	deadline    time.Time
}

// answerTokens returns the expected length of the answer, in tokens.
func (r *chatRequest) answerTokens() int {
	if r.body.MaxTokens > 0 {
		return r.body.MaxTokens
	}
	return expectedAnswerTokens
}
