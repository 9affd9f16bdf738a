package caller

import (
	"encoding/json"
	"net/http"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/wire/openai"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// sseSink writes frames to the caller as server-sent events.
type sseSink struct {
	exchange *exchange
	started  bool
}

// Frame implements dispatch.Sink.
func (s *sseSink) Frame(ref document.Ref, chunk *openai.Chunk) error {
	if !s.started {
		s.start(ref)
	}
	chunk.ID = s.exchange.id
	chunk.Model = ref.String()
	return s.event(chunk)
}

func (s *sseSink) start(ref document.Ref) {
	s.started = true
	response := s.exchange.echo.Response()
	header := response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	setAnswerHeaders(header, ref, false)
	observedOf(s.exchange.echo).frame(ref)
	response.WriteHeader(http.StatusOK)
}

func (s *sseSink) event(message any) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return s.raw(encoded)
}

func (s *sseSink) raw(data []byte) error {
	response := s.exchange.echo.Response()
	frame := make([]byte, 0, len(data)+len("data: \n\n"))
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	frame = append(frame, "\n\n"...)
	if _, err := response.Write(frame); err != nil {
		return err
	}
	response.Flush()
	return nil
}

// streamError is the last event of a stream that could not be finished.
type streamError struct {
	Error *problem.Problem `json:"error"`
}
