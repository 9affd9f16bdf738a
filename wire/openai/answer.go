package openai

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/rotisserie/eris"
)

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// TokenLogprob is the log probability of one token.
type TokenLogprob struct {
	Logprob float64 `json:"logprob"`
}

// Logprobs are the log probabilities of the tokens of a chunk.
type Logprobs struct {
	Content []TokenLogprob `json:"content"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is a choice in a chunk.
type ChunkChoice struct {
	Index        int       `json:"index"`
	Delta        Delta     `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *Logprobs `json:"logprobs,omitempty"`
}

// Chunk is one frame of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// DecodeChunk decodes one frame.
func DecodeChunk(data []byte) (*Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, eris.Wrap(err, "openai: decode chunk")
	}
	return &chunk, nil
}

// Assembly puts the chunks of one answer together. The zero value is ready.
type Assembly struct {
	text     strings.Builder
	finish   string
	usage    Usage
	created  int64
	logSum   float64
	logCount int
}

// Add adds a chunk.
func (a *Assembly) Add(chunk *Chunk) {
	a.created = chunk.Created
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Index != 0 {
			continue
		}
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finish = *choice.FinishReason
		}
		a.addLogprobs(choice.Logprobs)
	}
}

func (a *Assembly) addLogprobs(logprobs *Logprobs) {
	if logprobs == nil {
		return
	}
	for _, token := range logprobs.Content {
		a.logSum += token.Logprob
		a.logCount++
	}
}

// Text returns the text so far.
func (a *Assembly) Text() string { return a.text.String() }

// Usage returns the token counts, if the engine gave them.
func (a *Assembly) Usage() Usage { return a.usage }

// Finished reports whether a finish reason has come.
func (a *Assembly) Finished() bool { return a.finish != "" }

// Confidence returns the mean token probability in [0, 1]; 1 if the engine
// gave none.
func (a *Assembly) Confidence() float64 {
	if a.logCount == 0 {
		return 1
	}
	return math.Exp(a.logSum / float64(a.logCount))
}

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   Usage         `json:"usage"`
}

type wholeChoice struct {
	Index        int          `json:"index"`
	Message      wholeMessage `json:"message"`
	FinishReason string       `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Whole encodes the answer as one document.
func (a *Assembly) Whole(id, model string) ([]byte, error) {
	answer := wholeAnswer{
		ID:      id,
		Object:  "chat.completion",
		Created: a.created,
		Model:   model,
		Choices: []wholeChoice{{
			Message:      wholeMessage{Role: "assistant", Content: a.text.String()},
			FinishReason: a.finish,
		}},
		Usage: a.usage,
	}
	encoded, err := json.Marshal(answer)
	return encoded, eris.Wrap(err, "openai: encode answer")
}
