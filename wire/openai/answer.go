package openai

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/rotisserie/eris"
)

// Usage counts the tokens of a prompt and of its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// TokenLogprob holds the log probability of one token.
type TokenLogprob struct {
	Logprob float64 `json:"logprob"`
}

// Logprobs holds the log probabilities of a chunk's tokens.
type Logprobs struct {
	Content []TokenLogprob `json:"content"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChunkChoice is one choice of a chunk.
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

// DecodeChunk decodes the JSON of one frame.
func DecodeChunk(data []byte) (*Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, eris.Wrap(err, "openai: decode chunk")
	}
	return &chunk, nil
}

// Accumulator merges the chunks of one streamed answer. The zero value is ready
// to use.
type Accumulator struct {
	text         strings.Builder
	finishReason string
	usage        Usage
	created      int64
	logprobSum   float64
	logprobCount int
}

// Add merges the next chunk. It ignores choices other than the first.
func (a *Accumulator) Add(chunk *Chunk) {
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
			a.finishReason = *choice.FinishReason
		}
		a.addLogprobs(choice.Logprobs)
	}
}

func (a *Accumulator) addLogprobs(logprobs *Logprobs) {
	if logprobs == nil {
		return
	}
	for _, token := range logprobs.Content {
		a.logprobSum += token.Logprob
		a.logprobCount++
	}
}

// Text returns the text received so far.
func (a *Accumulator) Text() string { return a.text.String() }

// Usage returns the token counts, or zeros if the engine has sent none.
func (a *Accumulator) Usage() Usage { return a.usage }

// Finished reports whether a finish reason was received.
func (a *Accumulator) Finished() bool { return a.finishReason != "" }

// Confidence returns the geometric mean of the token probabilities, in [0, 1]. It
// returns 1 if the engine sent no log probabilities.
func (a *Accumulator) Confidence() float64 {
	if a.logprobCount == 0 {
		return 1
	}
	return math.Exp(a.logprobSum / float64(a.logprobCount))
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// EncodeCompletion encodes the answer as the JSON of a response that is not
// streamed.
func (a *Accumulator) EncodeCompletion(id, model string) ([]byte, error) {
	answer := completion{
		ID:      id,
		Object:  "chat.completion",
		Created: a.created,
		Model:   model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: a.text.String()},
			FinishReason: a.finishReason,
		}},
		Usage: a.usage,
	}
	encoded, err := json.Marshal(answer)
	return encoded, eris.Wrap(err, "openai: encode answer")
}
