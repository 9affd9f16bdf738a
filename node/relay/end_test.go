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
	"pgregory.net/rapid"

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

// pieces is a reader that returns a text in pieces of the given sizes, and then what is left.
type pieces struct {
	text  string
	sizes []int
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	size := len(p.text)
	if len(p.sizes) > 0 {
		size, p.sizes = min(size, p.sizes[0]), p.sizes[1:]
	}
	n := copy(b, p.text[:size])
	p.text = p.text[n:]
	return n, nil
}

// oneBody is an [Endpoints] that answers with one body, framed by its connection.
type oneBody struct{ reader io.Reader }

func (b oneBody) Send(context.Context, *Call, time.Time) (*Answer, error) {
	return &Answer{
		Status: http.StatusOK, Header: http.Header{}, Authentic: true, Framing: FramedByConnection, Body: &fakeBody{reader: b.reader},
	}, nil
}

// TestStreamClosedAnywhereIsCompleteOnlyAfterAnEvent draws the events, line ends, reads
// and the place at which the connection is closed. The client must get the complete events,
// and be told that the answer is complete only if the connection was closed after one.
func TestStreamClosedAnywhereIsCompleteOnlyAfterAnEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		var text strings.Builder
		ends := []int{0}
		for range rapid.IntRange(0, 6).Draw(t, "events") {
			for range rapid.IntRange(1, 3).Draw(t, "lines") {
				text.WriteString(rapid.SampledFrom([]string{"id: 7", "data: x", "data:", ": comment", "event: y"}).Draw(t, "line") + lineEnd)
			}
			text.WriteString(lineEnd)
			ends = append(ends, text.Len())
		}
		closedAt := rapid.IntRange(0, text.Len()).Draw(t, "closed at")
		if rapid.Bool().Draw(t, "after an event") {
			closedAt = rapid.SampledFrom(ends).Draw(t, "end")
		}
		delivered := 0 // the end of the last complete event
		for _, end := range ends {
			if end <= closedAt {
				delivered = end
			}
		}

		rt := testRoute(route.Stream)
		rt.Resumable, rt.MaxAttempts = false, 1
		h := newHarness(testTable(rt), 1, nil)
		h.relay.Endpoints = oneBody{&pieces{text: text.String()[:closedAt], sizes: rapid.SliceOf(rapid.IntRange(1, 9)).Draw(t, "reads")}}
		h.serve(testRequest())
		if got, want := h.client.body.String(), text.String()[:delivered]; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
		isComplete := closedAt > 0 && closedAt == delivered
		if got := h.client.end == AnswerComplete; got != isComplete {
			t.Fatalf("complete: %t, want %t, closed after %q", got, isComplete, text.String()[:closedAt])
		}
	})
}
