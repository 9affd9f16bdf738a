// Package dial makes connections that fail if the other side falls silent.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is the time after which the kernel closes a connection whose sent bytes
	// are unacknowledged: some connections go silent without a reset. On Linux it also decides
	// when keep-alive probes give up, whatever their count.
	unackedTimeout = 3 * time.Second
	// keepAliveInterval is the silence before the first probe, and the time between two. Two
	// unanswered probes fit into unackedTimeout, so that a lost one does no harm.
	keepAliveInterval = time.Second
)

// New returns a dialer whose connections fail if the peer acknowledges neither sent bytes nor
// probes for unackedTimeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: int(unackedTimeout / keepAliveInterval),
		},
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
