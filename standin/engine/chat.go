package engine

import (
	"encoding/json"
	"regexp"
	"strings"
)

// ChatRequest is the part of an OpenAI chat request that the engine reads.
type ChatRequest struct {
	Model         string        `json:"model"`
	Messages      []Message     `json:"messages"`
	MaxTokens     int           `json:"max_tokens,omitempty"`
	Stream        bool          `json:"stream,omitempty"`
	StreamOptions StreamOptions `json:"stream_options,omitzero"`
	Logprobs      bool          `json:"logprobs,omitempty"`
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of a conversation.
type Message struct {
	Role string `json:"role"`
	// Content is a string; other content counts as its JSON text.
	Content json.RawMessage `json:"content"`
}

// Text returns the message's content.
func (m Message) Text() string {
	var text string
	if json.Unmarshal(m.Content, &text) != nil {
		return string(m.Content)
	}
	return text
}

// Completion is a complete answer or one chunk of a streamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the single choice of an answer. Message is set in a complete answer,
// Delta in a chunk of a stream.
type Choice struct {
	Index        int       `json:"index"`
	Message      *Content  `json:"message,omitempty"`
	Delta        *Content  `json:"delta,omitempty"`
	Logprobs     *Logprobs `json:"logprobs,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

// Content is a piece of text with the role of its author.
type Content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Logprobs holds the log probabilities of tokens.
type Logprobs struct {
	Content []TokenLogprob `json:"content"`
}

// TokenLogprob is the natural logarithm of one token's probability.
type TokenLogprob struct {
	Token   string  `json:"token"`
	Logprob float64 `json:"logprob"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
)

// finishReasonStop is a variable because Choice.FinishReason needs its address.
var finishReasonStop = "stop"

var classPattern = regexp.MustCompile(`\[class=([^\]\s]+)\]`)

// prompt returns the role and the content of each message, each followed by a
// newline.
func (r ChatRequest) prompt() string {
	var prompt strings.Builder
	for _, message := range r.Messages {
		prompt.WriteString(message.Role + "\n" + message.Text() + "\n")
	}
	return prompt.String()
}

// taskClass returns the task class of the last class mark in the prompt, or "".
func taskClass(prompt string) string {
	matches := classPattern.FindAllStringSubmatch(prompt, -1)
	if len(matches) == 0 {
		return ""
	}
	return matches[len(matches)-1][1]
}

// ClassMark returns the mark that sets the task class of the prompt that contains
// it.
func ClassMark(class string) string { return "[class=" + class + "]" }
