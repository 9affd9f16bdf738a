// Package logsink writes log lines beside the work that makes them: a line
// never waits for the output. Lines that find no room are counted and left out.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queuedLines bounds the lines that wait for the output.
const queuedLines = 4096

// Sink is a writer of whole lines that never blocks.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	told    uint64
}

// New returns a sink that writes to an output once it runs.
func New(out io.Writer) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queuedLines)}
}

// Write implements [io.Writer]. It keeps a copy of the line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, then those that wait.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-ctx.Done():
			s.Flush()
			return nil
		}
	}
}

// Flush writes the lines that wait.
func (s *Sink) Flush() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}

// put writes a line. An output that fails leaves nowhere to tell it: the line
// counts as left out.
func (s *Sink) put(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
		return
	}
	if dropped := s.dropped.Load(); dropped != s.told {
		s.told = dropped
		_, _ = fmt.Fprintf(s.out, "{\"level\":\"warning\",\"msg\":\"log lines left out\",\"lines\":%d}\n", dropped)
	}
}
