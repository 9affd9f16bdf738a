package httpanswer

import (
	"net/http"
	"regexp"
	"strconv"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead reports that the head of an answer, or of an interim answer before it, is malformed.
// The rest of the answer means nothing: net/http may have missed how its body ends.
var ErrMalformedHead = eris.New("head of the answer is malformed")

// maxStatusLineBytes bounds what is kept of a status line: its version and its status.
const maxStatusLineBytes = 32

// statusLine matches the start of a status line (RFC 9112, section 4).
var statusLine = regexp.MustCompile(`^HTTP/[0-9]\.[0-9] +([0-9]{3})( |\r?$)`)

// headScanner checks the head of an answer, with the interim answers before it, byte by byte. What it checks is
// not visible any more in a [http.Response]. net/http checks the values of the fields itself.
type headScanner struct {
	state scanState
	// line is the start of the status line.
	line []byte
	// isInterim reports that the head is that of an interim answer: another one follows it.
	isInterim bool
}

type scanState int

const (
	inStatusLine scanState = iota
	// atLineStart: at the first byte of a field line, or of the blank line that ends the head.
	atLineStart
	inFieldName
	inFieldValue
	inBlankLine
	// afterHead: at the body, which is not checked.
	afterHead
)

// scan checks the next bytes of an answer. It returns how many may be read, and the error of the byte after them.
func (s *headScanner) scan(p []byte) (int, error) {
	for n, b := range p {
		if s.state == afterHead {
			break
		}
		if err := s.step(b); err != nil {
			return n, err
		}
	}
	return len(p), nil
}

func (s *headScanner) step(b byte) error {
	switch s.state {
	case inStatusLine:
		if b == '\n' {
			return s.endStatusLine()
		}
		if len(s.line) < maxStatusLineBytes {
			s.line = append(s.line, b)
		}
	case atLineStart:
		switch {
		case b == '\n':
			s.endHead()
		case b == '\r':
			s.state = inBlankLine
		case httpguts.IsTokenRune(rune(b)):
			s.state = inFieldName
		default:
			// A blank continues the line before (RFC 9112, section 5.2). net/http would append it there.
			return eris.Wrapf(ErrMalformedHead, "field line begins with %q", b)
		}
	case inFieldName:
		switch {
		case b == ':':
			s.state = inFieldValue
		case !httpguts.IsTokenRune(rune(b)):
			return eris.Wrapf(ErrMalformedHead, "field name contains %q", b)
		}
	case inFieldValue:
		if b == '\n' {
			s.state = atLineStart
		}
	case inBlankLine:
		if b != '\n' {
			return eris.Wrap(ErrMalformedHead, "carriage return without a line feed")
		}
		s.endHead()
	case afterHead:
	}
	return nil
}

func (s *headScanner) endStatusLine() error {
	match := statusLine.FindSubmatch(s.line)
	if match == nil {
		return eris.Wrapf(ErrMalformedHead, "status line %q", s.line)
	}
	status, _ := strconv.Atoi(string(match[1])) // three digits
	if err := checkStatus(status); err != nil {
		return err
	}
	s.isInterim = status < http.StatusOK
	s.state = atLineStart
	return nil
}

// checkStatus returns an error for a status that no answer has (RFC 9110, section 15). No request asks to switch
// to another protocol. A status of 600 or more counts as a failure of the endpoint, as that section wants it.
func checkStatus(status int) error {
	switch {
	case status < http.StatusContinue:
		return eris.Wrapf(ErrMalformedHead, "status %03d", status)
	case status == http.StatusSwitchingProtocols:
		return eris.Wrap(ErrMalformedHead, "answer switches to another protocol")
	default:
		return nil
	}
}

func (s *headScanner) endHead() {
	if s.isInterim {
		*s = headScanner{}
		return
	}
	s.state = afterHead
}

// maxStatus is the highest status of three digits.
const maxStatus = 999

// CheckHead returns [ErrMalformedHead] if no answer has the status or one of the names of the fields. It is for heads
// that arrive decoded, from an instance that may not have checked them.
func CheckHead(status int, header http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return eris.Wrapf(ErrMalformedHead, "status %03d", status)
	}
	if name, ok := invalidName(header); ok {
		return eris.Wrapf(ErrMalformedHead, "field name %q", name)
	}
	return nil
}

func invalidName(header http.Header) (name string, ok bool) {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return name, true
		}
	}
	return "", false
}
