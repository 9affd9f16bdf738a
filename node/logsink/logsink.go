// Package logsink writes log lines asynchronously, so that logging never blocks on
// the output. Lines that do not fit in its queue are counted and dropped.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queuedLines bounds the lines queued for the output.
const queuedLines = 4096

// Sink is a writer of complete lines that never blocks.
type Sink struct {
	out             io.Writer
	lines           chan []byte
	dropped         atomic.Uint64
	reportedDropped uint64
}

// New returns a sink that writes to an output while [Sink.Run] runs.
func New(out io.Writer) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queuedLines)}
}

// Write implements [io.Writer]. It queues a copy of the line, or drops the line if
// the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, and then the lines still queued.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-ctx.Done():
			s.Flush()
			return nil
		}
	}
}

// Flush writes the queued lines. It must not be called while [Sink.Run] runs.
func (s *Sink) Flush() {
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, and after it the number of dropped lines if that has
// changed. If the output fails, the line counts as dropped, because there is no
// other output to report the error to.
func (s *Sink) writeLine(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
		return
	}
	if dropped := s.dropped.Load(); dropped != s.reportedDropped {
		s.reportedDropped = dropped
		_, _ = fmt.Fprintf(s.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
}
