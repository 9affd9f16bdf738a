package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/wigeonusher/wigeonusher/wire/openai"
)

// MaxFrameBytes bounds one frame of a streamed answer, and MaxAnswerBytes all of it: the answer is kept
// until its bill is recorded.
const (
	MaxFrameBytes  = 256 << 10
	MaxAnswerBytes = 16 << 20
)

const frameBufferBytes = 4 << 10

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Stream reads the answer to a chat request frame by frame. It is not safe for
// concurrent use.
type Stream struct {
	body      io.ReadCloser
	scanner   *bufio.Scanner
	attemptID string
	started   time.Time
	watch     *watchdog
	answer    Answer
	frames    int
	// size is the number of bytes of all lines.
	size int
}

func newStream(body io.ReadCloser, attemptID string, started time.Time, watch *watchdog) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, frameBufferBytes), MaxFrameBytes)
	return &Stream{body: body, scanner: scanner, attemptID: attemptID, started: started, watch: watch}
}

// Close releases the stream's connection. It may be called before the end of the
// answer.
func (s *Stream) Close() {
	s.watch.stop()
	s.body.Close()
}

// Answer returns the frames received so far as one answer. The answer is
// complete after [Stream.Next] has returned io.EOF.
func (s *Stream) Answer() *Answer { return &s.answer }

// Next returns the next frame. It returns io.EOF at the end marker, and
// [ErrIncomplete] if a frame is malformed or too large, if the answer is too large, or if
// the marker or the finish reason is missing.
func (s *Stream) Next() (*openai.Chunk, error) {
	for s.scanner.Scan() {
		s.watch.recordProgress()
		if s.size += len(s.scanner.Bytes()) + 1; s.size > MaxAnswerBytes {
			return nil, ErrIncomplete
		}
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return nil, s.finish()
		}
		return s.decodeFrame(data)
	}
	if err := s.scanner.Err(); err != nil && !errors.Is(err, bufio.ErrTooLong) {
		return nil, s.watch.classify(err)
	}
	return nil, ErrIncomplete
}

func (s *Stream) decodeFrame(data []byte) (*openai.Chunk, error) {
	chunk, err := openai.DecodeChunk(data)
	if err != nil {
		return nil, ErrIncomplete
	}
	if chunk.ID != s.attemptID {
		return nil, ErrAttemptMismatch
	}
	if s.frames == 0 {
		s.answer.FirstToken = time.Since(s.started)
	}
	s.frames++
	s.answer.Add(chunk)
	return chunk, nil
}

func (s *Stream) finish() error {
	if !s.answer.Finished() {
		return ErrIncomplete
	}
	s.answer.Duration = time.Since(s.started)
	return io.EOF
}
