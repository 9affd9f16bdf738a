package relay

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// streamBufferBytes is the initial size of the read buffer. It grows for larger
// events.
const streamBufferBytes = 4 << 10

var (
	// eventEnds lists the blank lines that end an event, by the kind of line end.
	eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}
	idField   = []byte("id:")
)

// maxEventEndBytes is the length of the longest of eventEnds.
const maxEventEndBytes = 3

// lineEnds are the characters that end a line of a stream.
const lineEnds = "\r\n"

// isStream reports whether the answer is a stream of events. On the route of a stream,
// an answer of another status or media type is a plain one.
func (a *attempt) isStream() bool {
	succeeded := a.answer.Status >= http.StatusOK && a.answer.Status < http.StatusMultipleChoices
	if a.run.permission.Route.Kind != route.Stream || !succeeded {
		return false
	}
	contentType := a.answer.Header.Get("Content-Type")
	mediaType, _, _ := strings.Cut(contentType, ";")
	return contentType == "" || strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// Errors of answers that this instance rejects in the middle of a stream.
var (
	errNotContinued = eris.New("answer does not continue the stream")
	errHeadInStream = eris.New("stream contains the head of an answer")
)

// mayContinue reports whether the answer may go on with the stream that the client has begun to
// receive: an answer of another status or media type is something else, such as an error.
func (a *attempt) mayContinue() bool {
	return a.isStream() && a.answer.Status == a.run.status && a.answer.Header.Get("Content-Type") == a.run.contentType
}

// checkEvents returns why complete events must not be forwarded, nil if they may. If the attempt
// continues a stream whose events have IDs, its first event must have a later one than the last that
// the client has.
func (a *attempt) checkEvents(events []byte) error {
	if containsHead(events) {
		return errHeadInStream
	}
	if !a.continues || !a.run.gotEventID.Load() {
		return nil
	}
	if !follows(firstEventID(events), a.run.lastEvent) {
		return errNotContinued
	}
	a.continues = false
	return nil
}

// containsHead reports whether one of the events begins like the head of an answer: an engine in
// trouble may write one into its stream.
func containsHead(events []byte) bool {
	head := []byte("HTTP/1.")
	for _, end := range eventEnds {
		if bytes.Contains(events, append(bytes.Clone(end), head...)) {
			return true
		}
	}
	return bytes.HasPrefix(events, head)
}

// firstEventID returns the ID of the first event, empty if it has none.
func firstEventID(events []byte) string {
	end := len(events)
	for _, mark := range eventEnds {
		if at := bytes.Index(events, mark); at >= 0 {
			end = min(end, at)
		}
	}
	return lastEventID(events[:end])
}

// follows reports whether an event ID comes after another one. IDs that are no numbers only differ.
func follows(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != "" && id != last
	}
	return number > lastNumber
}

// skipComments returns what follows the comments at the start of complete events.
func skipComments(events []byte) []byte {
	for len(events) > 0 && events[0] == ':' {
		end := bytes.IndexAny(events, lineEnds)
		if end < 0 {
			break
		}
		events = bytes.TrimLeft(events[end:], lineEnds)
	}
	return events
}

// copyStream forwards events as they arrive. It forwards complete events only,
// so that another endpoint can resume the stream after the last one.
func (a *attempt) copyStream(ctx context.Context) {
	if !a.hold.grow(streamBufferBytes) {
		a.markBroken(ctx, errNoMemory)
		return
	}
	pending := make([]byte, 0, streamBufferBytes)
	for {
		if len(pending) == cap(pending) {
			if !a.hold.grow(2 * cap(pending)) {
				a.markBroken(ctx, errNoMemory)
				return
			}
			pending = slices.Grow(pending, cap(pending))
		}
		// Only the first bytes of an end of an event can be among those that were read before.
		searchFrom := max(0, len(pending)-maxEventEndBytes+1)
		n, err := a.ahead.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		if n > 0 {
			a.recordActivity()
		}
		if complete := completeEventsLen(pending[searchFrom:]); complete > 0 {
			complete += searchFrom
			if !a.forwardEvents(pending[:complete]) {
				return
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		a.partialEvent = len(bytes.Trim(pending, lineEnds))
		if err == nil && len(pending) > maxEventBytes {
			err = errEventTooLarge
		}
		if err != nil {
			a.finishStream(ctx, pending, err)
			return
		}
	}
}

// forwardEvents sends complete events to the client. It reports false if the
// client is gone or the events are rejected.
func (a *attempt) forwardEvents(events []byte) bool {
	if a.continues {
		if events = skipComments(events); len(events) == 0 {
			return true
		}
	}
	if err := a.checkEvents(events); err != nil {
		a.verdict, a.err = verdictBroken, err
		return false
	}
	a.recordFirstEvent()
	a.recordGap()
	a.sendHead()
	if err := a.write(events); err != nil {
		a.verdict, a.err = verdictClientGone, err
		return false
	}
	for _, end := range eventEnds {
		a.events += bytes.Count(events, end)
	}
	if id := lastEventID(events); id != "" {
		a.run.lastEvent = id
		a.run.gotEventID.Store(true)
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

// finishStream ends a stream whose last read returned the error. rest is what followed
// the last event; if the stream is whole, it is forwarded unchanged.
func (a *attempt) finishStream(ctx context.Context, rest []byte, readErr error) {
	if err := a.checkEnd(readErr); err != nil {
		a.markBroken(ctx, err)
		return
	}
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
	length := 0
	for _, end := range eventEnds {
		if at := bytes.LastIndex(p, end); at >= 0 {
			length = max(length, at+len(end))
		}
	}
	return length
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	for len(events) > 0 {
		at := bytes.LastIndexAny(events, lineEnds)
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
