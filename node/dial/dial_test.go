package dial

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Without probes, a connection that waits for an answer never notices that it has gone
// silent; with a short timeout and slow probes, a single lost probe ends it.
func TestConnectionThatGoesSilentIsNoticed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := New(time.Second).DialContext(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	option := func(level, name int) (value int) {
		assert.NilError(t, raw.Control(func(fd uintptr) {
			value, err = unix.GetsockoptInt(int(fd), level, name)
		}))
		assert.NilError(t, err)
		return value
	}
	userTimeout := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	idle := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
	assert.Equal(t, userTimeout, unackedTimeout)
	assert.Equal(t, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	assert.Assert(t, idle+2*interval <= userTimeout, "%v, then two probes %v apart", idle, interval)
}
