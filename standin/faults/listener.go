package faults

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that the switch can silence.
type Listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*connection]struct{}
}

// Listen wraps a listener, so that [Set.Silent] acts on its connections.
func (s *Switch) Listen(inner net.Listener) *Listener {
	listener := &Listener{Listener: inner, open: map[*connection]struct{}{}}
	s.mu.Lock()
	s.silence = listener.silence
	s.mu.Unlock()
	return listener
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &connection{Conn: inner, listener: l}
	l.mu.Lock()
	l.open[conn] = struct{}{}
	l.mu.Unlock()
	return conn, nil
}

// CloseConnections closes every connection, silent or not.
func (l *Listener) CloseConnections() {
	for _, conn := range l.connections() {
		conn.closeNow()
	}
}

// silence silences all open connections but the one given.
func (l *Listener) silence(except net.Conn) {
	for _, conn := range l.connections() {
		if net.Conn(conn) != except {
			conn.silent.Store(true)
		}
	}
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// ConnContext tells requests their connection. It is meant for the field of
// that name in http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

func connectionOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connectionKey{}).(net.Conn)
	return conn
}

func (l *Listener) connections() []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*connection, 0, len(l.open))
	for conn := range l.open {
		all = append(all, conn)
	}
	return all
}

func (l *Listener) forget(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

// connection is one accepted connection. Once silent, it swallows what comes
// and what goes, and stays open at the other end until that end closes it.
type connection struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if isTimeout(err) {
			return 0, err // the server's own deadline, not the other end
		}
		if err != nil {
			_ = c.closeNow()
			return 0, err
		}
	}
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open at the other end.
func (c *connection) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.closeNow()
}

func (c *connection) closeNow() error {
	c.listener.forget(c)
	return c.Conn.Close()
}
