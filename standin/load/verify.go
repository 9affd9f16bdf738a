package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/wigeonusher/wigeonusher/standin/answer"
	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/observation"
	"github.com/wigeonusher/wigeonusher/standin/service"
)

// Descriptions of defective answers.
const (
	problemNoEndMark    = "stream ended without an end mark"
	problemUnreadable   = "unreadable answer"
	problemWrongRequest = "answer of another request"
	problemWrongModel   = "answer of another model version than the reply names"
)

// streamEvent is one event of a streamed answer: a chunk of the answer, or the
// error that ends the stream.
type streamEvent struct {
	engine.Completion
	Error *problem `json:"error"`
}

func (r *reply) readNonStreaming(op *operation, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		r.recordConnectionLost()
		return
	}
	r.observation.FirstToken = time.Since(r.observation.Sent)
	var completion engine.Completion
	if json.Unmarshal(data, &completion) != nil || len(completion.Choices) == 0 || completion.Choices[0].Message == nil {
		r.recordDefect(problemUnreadable)
		return
	}
	r.text = completion.Choices[0].Message.Content
	r.verify(op)
}

// readStream reads events up to the end mark, "[DONE]". A stream may also end with
// an error event or a broken connection; if it ends cleanly without the mark, the
// answer is defective.
func (r *reply) readStream(op *operation, body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxAnswerBytes)
	var text strings.Builder
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data:")
		if !isData {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			r.text = text.String()
			r.verify(op)
			return
		}
		var event streamEvent
		if json.Unmarshal([]byte(data), &event) != nil {
			r.recordDefect(problemUnreadable)
			return
		}
		if event.Error != nil {
			r.recordRefusal(*event.Error)
			return
		}
		if r.observation.FirstToken == 0 {
			r.observation.FirstToken = time.Since(r.observation.Sent)
		}
		if len(event.Choices) > 0 && event.Choices[0].Delta != nil {
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	if scanner.Err() != nil {
		r.recordConnectionLost()
		return
	}
	r.recordDefect(problemNoEndMark)
}

// verify checks that the text is complete and was generated for this request and
// by the model version that the response names. It records the result.
func (r *reply) verify(op *operation) {
	parsed, err := answer.Parse(r.text)
	switch {
	case err != nil:
		r.recordDefect(err.Error())
	case parsed.RequestID != r.observation.RequestID:
		r.recordDefect(problemWrongRequest)
	case parsed.Ref != r.observation.Ref:
		r.recordDefect(problemWrongModel)
	case parsed.Tokens != op.tokens:
		r.recordDefect(answer.ErrIncomplete.Error())
	default:
		r.observation.Result = observation.Answered
		r.observation.Quality = parsed.Quality
		r.observation.PromptTokens = countWords(op.messages)
		r.observation.AnswerTokens = parsed.Tokens
	}
}

// readService checks that the answer belongs to the call. A booking is matched by
// its key, because a stored answer of an earlier attempt carries the request ID
// of that attempt.
func (r *reply) readService(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		r.recordConnectionLost()
		return
	}
	var parsed service.Reply
	if json.Unmarshal(data, &parsed) != nil {
		r.recordDefect(problemUnreadable)
		return
	}
	matches := parsed.RequestID == r.observation.RequestID
	if r.observation.Key != "" {
		matches = parsed.Key == r.observation.Key
	}
	if !matches {
		r.recordDefect(problemWrongRequest)
		return
	}
	r.observation.Result = observation.Answered
}

// errStopped reports that the run is over and a virtual user sends no more
// requests.
var errStopped = errors.New("load: run is over")
