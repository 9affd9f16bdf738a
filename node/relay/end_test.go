package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

func TestEndOfAConnectionIsNotTakenForTheEndOfAStream(t *testing.T) {
	for name, c := range map[string]struct {
		end  bodyEnd
		want error
	}{
		"plain, marked end":               {bodyEnd{framing: FramedByLength, err: io.EOF}, nil},
		"plain, closed":                   {bodyEnd{framing: FramedByConnection, err: io.EOF}, nil},
		"plain, length not reached":       {bodyEnd{framing: FramedByLength, err: io.ErrUnexpectedEOF}, io.ErrUnexpectedEOF},
		"plain, reset":                    {bodyEnd{framing: FramedByConnection, err: syscall.ECONNRESET}, syscall.ECONNRESET},
		"stream, last chunk":              {bodyEnd{framing: FramedByChunks, isStream: true, events: 2, err: io.EOF}, nil},
		"stream, last chunk, no event":    {bodyEnd{framing: FramedByChunks, isStream: true, err: io.EOF}, nil},
		"stream, last chunk in an event":  {bodyEnd{framing: FramedByChunks, isStream: true, events: 2, partialEvent: 3, err: io.EOF}, errEndInsideEvent},
		"stream, length in an event":      {bodyEnd{framing: FramedByLength, isStream: true, partialEvent: 3, err: io.EOF}, errEndInsideEvent},
		"stream, no last chunk":           {bodyEnd{framing: FramedByChunks, isStream: true, events: 2, err: io.ErrUnexpectedEOF}, io.ErrUnexpectedEOF},
		"stream, closed after an event":   {bodyEnd{framing: FramedByConnection, isStream: true, events: 2, err: io.EOF}, nil},
		"stream, closed in an event":      {bodyEnd{framing: FramedByConnection, isStream: true, events: 2, partialEvent: 3, err: io.EOF}, errEndInsideEvent},
		"stream, closed without an event": {bodyEnd{framing: FramedByConnection, isStream: true, err: io.EOF}, errNoEvent},
		"stream, reset after an event":    {bodyEnd{framing: FramedByConnection, isStream: true, events: 2, err: syscall.ECONNRESET}, syscall.ECONNRESET},
		"codec checks the end":            {bodyEnd{isStream: true, events: 2, err: io.EOF}, nil},
	} {
		assert.Assert(t, errors.Is(c.end.check(), c.want), "%s: %v", name, c.end.check())
	}
}

// bodyEndpoints is an [Endpoints] that answers each call with the next body.
type bodyEndpoints struct {
	bodies []string
	calls  []*Call
}

func (b *bodyEndpoints) Send(_ context.Context, call *Call, _ time.Time) (*Answer, error) {
	b.calls = append(b.calls, call)
	return &Answer{
		Status: http.StatusOK, Header: http.Header{}, Authentic: true, Framing: FramedByConnection,
		Body: body(b.bodies[len(b.calls)-1]),
	}, nil
}

func TestEventsOfEachKindOfLineEndAreResumedAfterTheLast(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		withLineEnds := func(text string) string { return strings.ReplaceAll(text, "\n", lineEnd) }
		h := newHarness(testTable(testRoute(route.Stream)), 2, nil)
		endpoints := &bodyEndpoints{bodies: []string{
			withLineEnds(event(1) + event(2) + "id: 3\nda"), withLineEnds(event(3) + event(4) + event(5) + "\n"),
		}}
		h.relay.Endpoints = endpoints
		h.serve(testRequest())
		assert.Equal(t, h.client.body.String(), withLineEnds(wholeStream(0)+"\n"), "%q", lineEnd)
		assert.Assert(t, !h.client.aborted)
		assert.Equal(t, endpoints.calls[1].ResumeAfter, "2")
		assert.Equal(t, h.observer.attempts[0].Events, 2)
	}
}

// Without the ID of an event, another endpoint would send the first events again.
func TestStreamWithoutEventIDsIsNotStartedAgain(t *testing.T) {
	h := newHarness(testTable(testRoute(route.Stream)), 2, nil)
	endpoints := &bodyEndpoints{bodies: []string{"data: one\n\nda", "data: one\n\ndata: two\n\n"}}
	h.relay.Endpoints = endpoints
	h.serve(testRequest())
	assert.Equal(t, h.client.body.String(), "data: one\n\n")
	assert.Equal(t, h.client.end, AnswerInterrupted)
	assert.Equal(t, len(endpoints.calls), 1)
	assert.Equal(t, h.observer.done[0].Stopped, StopNotResumable)
}
