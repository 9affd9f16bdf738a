package relay

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

var (
	errEndInsideEvent = eris.New("stream ends inside an event")
	errNoEvent        = eris.New("connection closed before the first event")
)

// bodyEnd describes how the body of an answer ended.
type bodyEnd struct {
	framing Framing
	// isStream reports that the body is a stream of events. events counts the complete
	// ones, and partialEvent the bytes after them.
	isStream     bool
	events       int
	partialEvent int
	// err is the error of the last read, io.EOF if the body ended as its framing says.
	err error
}

// check returns nil if the answer is whole, and otherwise the reason why it is not.
//
// The end of a connection is a mark of HTTP like a length or a last chunk (RFC 9112,
// section 8), but an endpoint that fails closes its connections too. So a stream that
// ends with its connection must have an event, and no stream may end inside one.
func (e bodyEnd) check() error {
	switch {
	case !errors.Is(e.err, io.EOF):
		return e.err
	case !e.isStream:
		return nil
	case e.partialEvent > 0:
		return errEndInsideEvent
	case e.events == 0 && e.framing == FramedByConnection:
		return errNoEvent
	default:
		return nil
	}
}

// checkEnd returns nil if the answer whose last read returned the error is whole, and
// otherwise the reason why it is not.
func (a *attempt) checkEnd(readErr error) error {
	return bodyEnd{
		framing: a.answer.Framing, isStream: a.isStream(), events: a.events, partialEvent: a.partialEvent, err: readErr,
	}.check()
}
