// Package openai holds the parts of the OpenAI chat protocol that the router
// reads or changes. All other fields of a request are passed to the engine
// unchanged.
package openai

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// ModelAuto is the model name with which a client asks the router to choose the
// model.
const ModelAuto = "auto"

// ErrMalformed reports a body that is not a valid chat request.
var ErrMalformed = eris.New("openai: malformed chat request")

// Message is one message of a conversation.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Request is a chat request.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	// User is the client's identifier for its end user. It is passed to the
	// engine unchanged.
	User string `json:"user"`

	fields map[string]json.RawMessage
}

// Parse decodes a chat request. Its errors wrap [ErrMalformed] and state the
// reason.
func Parse(body []byte) (*Request, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	if err := json.Unmarshal(body, &request.fields); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	if request.Model == "" {
		return nil, eris.Wrap(ErrMalformed, "model is missing")
	}
	if len(request.Messages) == 0 {
		return nil, eris.Wrap(ErrMalformed, "messages is empty")
	}
	if request.MaxTokens < 0 {
		return nil, eris.Wrap(ErrMalformed, "max_tokens is negative")
	}
	return &request, nil
}

// Prompt returns the roles and contents of all messages in order. Content that is
// not a string is included as JSON.
func (r *Request) Prompt() string {
	var prompt strings.Builder
	for _, message := range r.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		var text string
		if json.Unmarshal(message.Content, &text) != nil {
			text = string(message.Content)
		}
		prompt.WriteString(text)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// ForEngine encodes the request for an engine. It sets the given model and
// requests a streamed answer with usage and token log probabilities.
func (r *Request) ForEngine(model string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.fields)+4)
	for name, value := range r.fields {
		fields[name] = value
	}
	encodedModel, err := json.Marshal(model)
	if err != nil {
		return nil, eris.Wrap(err, "openai: encode model")
	}
	fields["model"] = encodedModel
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["logprobs"] = json.RawMessage("true")
	body, err := json.Marshal(fields)
	return body, eris.Wrap(err, "openai: encode request")
}
