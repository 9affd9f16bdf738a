package httpanswer

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrMalformedTrailer reports that the trailer of an answer is malformed.
var ErrMalformedTrailer = eris.New("trailer of the answer is malformed")

// Body returns the body of the answer, whose Read returns [ErrMalformedTrailer] instead of io.EOF if the trailer
// has a field with an invalid name.
func Body(response *http.Response) io.ReadCloser {
	return &body{ReadCloser: response.Body, response: response}
}

type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if name, ok := invalidName(b.response.Trailer); ok {
			return n, eris.Wrapf(ErrMalformedTrailer, "field name %q", name)
		}
	}
	return n, err
}
