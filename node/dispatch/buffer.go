package dispatch

import (
	"net/http"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/wire/openai"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

// buffer holds the frames of an answer that may still fall short.
type buffer struct {
	ref    document.Ref
	chunks []*openai.Chunk
}

// Frame implements [Sink].
func (b *buffer) Frame(ref document.Ref, chunk *openai.Chunk) error {
	b.ref = ref
	b.chunks = append(b.chunks, chunk)
	return nil
}

// flush passes the frames on.
func (b *buffer) flush(request *Request, sink Sink) *problem.Problem {
	for _, chunk := range b.chunks {
		if err := sink.Frame(b.ref, chunk); err != nil {
			return problem.New(problem.AnswerInterrupted, http.StatusBadGateway, "caller has gone", &request.Attempt)
		}
	}
	return nil
}
