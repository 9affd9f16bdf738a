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

// Problems of defective answers.
const (
	problemSilentEnd  = "stream ended without an end mark"
	problemUnreadable = "unreadable answer"
	problemForeign    = "answer of another request"
	problemModel      = "answer of another model version than the reply names"
)

// frame is one event of a streamed answer, or the error that ends it.
type frame struct {
	engine.Chat
	Error *problem `json:"error"`
}

func (r *reply) readWhole(op *operation, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		r.lost()
		return
	}
	r.observation.FirstToken = time.Since(r.observation.Sent)
	var chat engine.Chat
	if json.Unmarshal(data, &chat) != nil || len(chat.Choices) == 0 || chat.Choices[0].Message == nil {
		r.defect(problemUnreadable)
		return
	}
	r.text = chat.Choices[0].Message.Content
	r.verify(op)
}

// readStream reads events up to the end mark. A stream may end with an error
// event or a broken connection, but never with a clean end before the mark.
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
		var next frame
		if json.Unmarshal([]byte(data), &next) != nil {
			r.defect(problemUnreadable)
			return
		}
		if next.Error != nil {
			r.refused(*next.Error)
			return
		}
		if r.observation.FirstToken == 0 {
			r.observation.FirstToken = time.Since(r.observation.Sent)
		}
		if len(next.Choices) > 0 && next.Choices[0].Delta != nil {
			text.WriteString(next.Choices[0].Delta.Content)
		}
	}
	if scanner.Err() != nil {
		r.lost()
		return
	}
	r.defect(problemSilentEnd)
}

// verify proves that the text is whole and the operation's own.
func (r *reply) verify(op *operation) {
	parsed, err := answer.Parse(r.text)
	switch {
	case err != nil:
		r.defect(err.Error())
	case parsed.RequestID != r.observation.RequestID:
		r.defect(problemForeign)
	case parsed.Ref != r.observation.Ref:
		r.defect(problemModel)
	case parsed.Tokens != op.tokens:
		r.defect(answer.ErrIncomplete.Error())
	default:
		r.observation.Result = observation.Answered
		r.observation.Quality = parsed.Quality
		r.observation.PromptTokens = words(op.messages)
		r.observation.AnswerTokens = parsed.Tokens
	}
}

// readService proves that the answer belongs to the call. A stored answer of
// an earlier try has that try's request ID but the same key.
func (r *reply) readService(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		r.lost()
		return
	}
	var answered service.Reply
	if json.Unmarshal(data, &answered) != nil {
		r.defect(problemUnreadable)
		return
	}
	own := answered.RequestID == r.observation.RequestID
	if r.observation.Key != "" {
		own = answered.Key == r.observation.Key
	}
	if !own {
		r.defect(problemForeign)
		return
	}
	r.observation.Result = observation.Answered
}

// errStopped ends a virtual user.
var errStopped = errors.New("load: run is over")
