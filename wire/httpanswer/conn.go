// Package httpanswer checks the HTTP answers of endpoints while net/http reads them. It rejects malformed
// heads and trailers that net/http accepts, and does not take the failure of a connection for the end of
// an answer.
package httpanswer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrConnectionFailed reports that the connection failed before the endpoint had ended its answer.
var ErrConnectionFailed = eris.New("connection failed before the end of the answer")

// Conn is a connection to an endpoint. Its Read returns io.EOF only if the endpoint closed its side
// before the connection failed: such an end may be the end of an answer that has no length (RFC 9112,
// section 8). It returns [ErrMalformedHead] before the end of a malformed head.
//
// One goroutine may read while another one writes.
type Conn struct {
	net.Conn

	// mu guards head, the head of the answer that is read, and malformed, its error.
	mu        sync.Mutex
	head      headScanner
	malformed error

	// writing is held during a write. writeErr is the first error of one.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a connection that checks the first answer on conn, and a further one after each [Conn.ExpectAnswer].
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// ExpectAnswer announces that the bytes that are read from now on are those of an answer. It must be called before
// the request is written.
func (c *Conn) ExpectAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{}
}

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes the buffers, with one system call where the connection allows it.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return err
}

func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Read implements [net.Conn]. At the end of the connection it ends a write that is in progress.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n, malformed := c.scan(p[:n]); malformed != nil {
		return n, malformed
	}
	if errors.Is(err, io.EOF) {
		if failure := c.failure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

func (c *Conn) scan(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.malformed != nil {
		return 0, c.malformed
	}
	var n int
	n, c.malformed = c.head.scan(p)
	return n, c.malformed
}

// Malformed returns the [ErrMalformedHead] that the reads have found, nil if there is none. The error of net/http,
// which gets the start of a malformed line, may say less.
func (c *Conn) Malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

// failure returns an error if the connection failed before the endpoint closed its side. The system
// reports the failure of a connection once: if a write got it, a read finds the end of the connection.
func (c *Conn) failure() error {
	// A write in progress returns the error that it has got, or that of the deadline. An error of
	// SetWriteDeadline means that the connection is closed here, which ends the write too.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(c.writeErr, syscall.EPIPE):
		// The endpoint had closed its side when it reset the connection. It may do so if it does
		// not want the rest of the request (RFC 9112, section 9.6).
		return nil
	default:
		return eris.Wrap(ErrConnectionFailed, c.writeErr.Error())
	}
}
