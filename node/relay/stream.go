package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"
)

// streamBufferBytes is the room for events that are read at once. A larger
// event makes it grow.
const streamBufferBytes = 4 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// copyStream passes the events on as they arrive, whole ones only, so that
// another endpoint can go on after the last one.
func (a *attempt) copyStream(ctx context.Context) {
	pending := make([]byte, 0, streamBufferBytes)
	for {
		if len(pending) == cap(pending) {
			pending = append(pending, 0)[:len(pending)]
		}
		n, err := a.answer.Body.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		if n > 0 {
			a.hear()
		}
		if whole := wholeEvents(pending); whole > 0 {
			if !a.pass(pending[:whole]) {
				return
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			a.finish(pending)
			return
		case err != nil:
			a.broke(ctx, err)
			return
		}
	}
}

// pass gives whole events to the client.
func (a *attempt) pass(events []byte) bool {
	a.noteFirstEvent()
	a.noteGap()
	a.begin()
	if err := a.run.client.Write(events); err != nil {
		a.verdict, a.err = verdictClientGone, err
		return false
	}
	a.events += bytes.Count(events, eventEnd)
	if id := lastEventID(events); id != "" {
		a.run.lastEvent = id
	}
	return true
}

// noteGap measures the pauses between events.
func (a *attempt) noteGap() {
	now := time.Now()
	if !a.lastEventAt.IsZero() {
		a.longestGap = max(a.longestGap, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
}

// finish ends a stream whose body came whole. What is left after the last
// event is passed on as it is.
func (a *attempt) finish(rest []byte) {
	a.noteFirstEvent()
	a.begin()
	a.verdict = verdictDelivered
	if len(rest) > 0 {
		if err := a.run.client.Write(rest); err != nil {
			a.verdict, a.err = verdictClientGone, err
		}
	}
}

// wholeEvents returns the length of the events that are whole.
func wholeEvents(p []byte) int {
	at := bytes.LastIndex(p, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	for len(events) > 0 {
		at := bytes.LastIndexByte(events, '\n')
		line := events[at+1:]
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
		if at < 0 {
			break
		}
		events = events[:at]
	}
	return ""
}
