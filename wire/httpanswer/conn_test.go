package httpanswer

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endedConn is a connection at its end. A write that is in progress then returns an error once it is interrupted.
type endedConn struct {
	net.Conn
	writing, interrupted chan struct{}
	writeErr             error
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.interrupted
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.interrupted)
	return nil
}

// TestErrorOfAWriteInProgressDecides guards against the end of a connection whose failure a write has got and not
// recorded yet when the read returns.
func TestErrorOfAWriteInProgressDecides(t *testing.T) {
	for _, c := range []struct {
		writeErr error
		isWhole  bool
	}{
		{os.ErrDeadlineExceeded, true},
		{os.NewSyscallError("write", syscall.EPIPE), true},
		{os.NewSyscallError("write", syscall.ECONNRESET), false},
		{os.NewSyscallError("write", syscall.ETIMEDOUT), false},
		{net.ErrClosed, false},
	} {
		inner := &endedConn{writing: make(chan struct{}), interrupted: make(chan struct{}), writeErr: &net.OpError{Op: "write", Err: c.writeErr}}
		conn := NewConn(inner)
		go func() { _, _ = conn.Write([]byte("x")) }() // its error shows in the read
		<-inner.writing
		_, err := conn.Read(make([]byte, 1))
		assert.Equal(t, err == io.EOF, c.isWhole, "%v: %v", c.writeErr, err)
		assert.Equal(t, errors.Is(err, ErrConnectionFailed), !c.isWhole, "%v: %v", c.writeErr, err)
	}
}
