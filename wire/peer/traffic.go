package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes sent and received on peer connections, without the
// overhead of TCP and TLS.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes written.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes read.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// WrapListener returns a listener that counts the bytes of the connections it
// accepts.
func (t *Traffic) WrapListener(inner net.Listener) net.Listener {
	return &countingListener{Listener: inner, traffic: t}
}

// wrapConn returns a connection that counts its bytes. A nil Traffic returns the
// connection unchanged.
func (t *Traffic) wrapConn(conn net.Conn) net.Conn {
	if t == nil {
		return conn
	}
	return &countingConn{Conn: conn, traffic: t}
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrapConn(conn), nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
