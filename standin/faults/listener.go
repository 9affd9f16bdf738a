package faults

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that [Set.Silent] can silence.
type Listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*connection]struct{}
}

// Listen wraps a listener so that [Set.Silent] applies to its connections.
func (i *Injector) Listen(inner net.Listener) *Listener {
	listener := &Listener{Listener: inner, open: map[*connection]struct{}{}}
	i.mu.Lock()
	i.silence = listener.silence
	i.mu.Unlock()
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

// CloseConnections closes all open connections, including the silent ones.
func (l *Listener) CloseConnections() {
	for _, conn := range l.connections() {
		conn.closeInner()
	}
}

// silence silences all open connections except the given one.
func (l *Listener) silence(except net.Conn) {
	for _, conn := range l.connections() {
		if net.Conn(conn) != except {
			conn.silent.Store(true)
		}
	}
}

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// ConnContext stores the connection in the context of its requests. It is the value
// to use for the field ConnContext of an http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionFrom returns the connection that ConnContext stored, or nil.
func connectionFrom(ctx context.Context) net.Conn {
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

func (l *Listener) remove(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

// connection is an accepted connection. Once silent, it discards all data in both
// directions and stays open until the peer or [Listener.CloseConnections] closes it.
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
			return 0, err // a read deadline of the server, not an error of the peer
		}
		if err != nil {
			_ = c.closeInner()
			return 0, err
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It has no effect on a silent connection, which stays
// open for the peer.
func (c *connection) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.closeInner()
}

// closeInner closes the connection even if it is silent.
func (c *connection) closeInner() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
