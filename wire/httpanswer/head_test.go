package httpanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// byteConn is a connection that delivers one byte a read.
type byteConn struct {
	net.Conn
	rest []byte
}

func (c *byteConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p[:1], c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// FuzzHead guards against heads whose end the scanner and net/http see at different bytes: what one of them takes
// for the body, the other one would read as fields.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\nbody",
		"HTTP/1.1 103 Early Hints\nA:\n\nHTTP/1.0  999\r\n\r\n",
		"HTTP/1.1 100\r\n\r\nHTTP/1.1 000 \r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n \r\n\r\nX",
		"HTTP/1.1 200 OK\r\nA : 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\r\n\r\r\n\n",
		"HTTP/1.1 200 \r\nA\r: 1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		inner := &byteConn{rest: data}
		conn := NewConn(inner)
		reader := bufio.NewReader(conn)
		for {
			response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
			if err != nil {
				return
			}
			if name, ok := invalidName(response.Header); ok {
				t.Fatalf("field name %q in %q", name, data)
			}
			for _, values := range response.Header {
				for _, value := range values {
					if !httpguts.ValidHeaderFieldValue(value) {
						t.Fatalf("field value %q in %q", value, data)
					}
				}
			}
			if response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols {
				t.Fatalf("status %d in %q", response.StatusCode, data)
			}
			isFinal := response.StatusCode >= http.StatusOK
			if isFinal != (conn.head.state == afterHead) || !isFinal && conn.head.state != inStatusLine {
				t.Fatalf("state %d after status %d in %q", conn.head.state, response.StatusCode, data)
			}
			if isFinal {
				if unread := reader.Buffered(); unread > 0 {
					t.Fatalf("%d bytes after the head were read of %q", unread, data)
				}
				return
			}
		}
	})
}
