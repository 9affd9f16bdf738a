// Package dial makes connections that fail if the other side falls silent.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout is the time after which the kernel closes a connection whose
// sent bytes are unacknowledged: some connections go silent without a reset.
const unackedTimeout = 3 * time.Second

// New returns a dialer whose connections fail if the peer acknowledges no
// sent bytes for unackedTimeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}
