package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/wigeonusher/wigeonusher/wire/openai"
)

// MaxFrameBytes bounds one frame of a streamed answer.
const MaxFrameBytes = 256 << 10

const frameBufferBytes = 4 << 10

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// streamReader reads the server-sent events of one answer.
type streamReader struct {
	body      io.Reader
	attemptID string
	started   time.Time
	watch     *watchdog
	answer    Answer
	frames    int
}

// run reads until the end marker. An answer without it is cut.
func (r *streamReader) run(sink func(*openai.Chunk) error) (*Answer, error) {
	scanner := bufio.NewScanner(r.body)
	scanner.Buffer(make([]byte, 0, frameBufferBytes), MaxFrameBytes)
	for scanner.Scan() {
		r.watch.progress()
		data, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return r.finish()
		}
		if err := r.frame(data, sink); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, bufio.ErrTooLong) {
		return nil, r.watch.explain(err)
	}
	return nil, ErrCut
}

func (r *streamReader) frame(data []byte, sink func(*openai.Chunk) error) error {
	chunk, err := openai.DecodeChunk(data)
	if err != nil {
		return ErrCut
	}
	if chunk.ID != r.attemptID {
		return ErrForeign
	}
	if r.frames == 0 {
		r.answer.FirstToken = time.Since(r.started)
	}
	r.frames++
	r.answer.Add(chunk)
	return sink(chunk)
}

func (r *streamReader) finish() (*Answer, error) {
	if !r.answer.Finished() {
		return nil, ErrCut
	}
	r.answer.Took = time.Since(r.started)
	return &r.answer, nil
}
