package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"
)

// streamBufferBytes is the initial size of the read buffer. It grows for larger
// events.
const streamBufferBytes = 4 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// copyStream forwards events as they arrive. It forwards complete events only,
// so that another endpoint can resume the stream after the last one.
func (a *attempt) copyStream(ctx context.Context) {
	pending := make([]byte, 0, streamBufferBytes)
	for {
		if len(pending) == cap(pending) {
			pending = append(pending, 0)[:len(pending)]
		}
		n, err := a.answer.Body.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		if n > 0 {
			a.recordActivity()
		}
		if complete := completeEventsLen(pending); complete > 0 {
			if !a.forwardEvents(pending[:complete]) {
				return
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		a.partialEvent = len(pending)
		switch {
		case errors.Is(err, io.EOF):
			a.finishStream(pending)
			return
		case err != nil:
			a.markBroken(ctx, err)
			return
		}
	}
}

// forwardEvents sends complete events to the client. It reports false if the
// client is gone.
func (a *attempt) forwardEvents(events []byte) bool {
	a.recordFirstEvent()
	a.recordGap()
	a.sendHead()
	if err := a.write(events); err != nil {
		a.verdict, a.err = verdictClientGone, err
		return false
	}
	a.events += bytes.Count(events, eventEnd)
	if id := lastEventID(events); id != "" {
		a.run.lastEvent = id
	}
	return true
}

// recordGap updates the longest pause between two writes of events to the client.
func (a *attempt) recordGap() {
	now := time.Now()
	if !a.lastEventAt.IsZero() {
		a.longestGap = max(a.longestGap, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
}

// finishStream ends a stream whose body is complete. Bytes after the last
// complete event are forwarded unchanged.
func (a *attempt) finishStream(rest []byte) {
	a.recordFirstEvent()
	a.sendHead()
	a.verdict = verdictDelivered
	if len(rest) > 0 {
		if err := a.write(rest); err != nil {
			a.verdict, a.err = verdictClientGone, err
		}
	}
}

// completeEventsLen returns the length of the complete events at the start of p.
func completeEventsLen(p []byte) int {
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
