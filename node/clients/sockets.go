package clients

import (
	"net"
	"sync"

	"github.com/wigeonusher/wigeonusher/policy/connections"
)

const (
	// maxBufferBytes, minReadBufferBytes and minWriteBufferBytes bound what is asked of the kernel as
	// a socket's buffers. The largest one carries 200 Mbit/s over a round trip of 10 ms. With a read
	// buffer of 8 KB, 4 MB took 50 s over a loopback interface, whose segments have 64 KB; with 16 KB
	// 234 ms, with 32 KB 2 ms.
	maxBufferBytes      = 256 << 10
	minReadBufferBytes  = 32 << 10
	minWriteBufferBytes = 8 << 10
	// buffersPerConn: the kernel doubles what is asked for, and there is a buffer for each direction.
	buffersPerConn = 4
	// regrowDivisor is the part of a size that must be free beyond it before the buffers grow to it
	// again: each change costs two system calls per open connection.
	regrowDivisor = 4
)

// Sockets bounds what the kernel holds for the connections to clients and endpoints: without a
// bound, it buffers up to several MB of an answer that is not read. The buffers are the smaller the
// more connections are open. It is safe for concurrent use.
type Sockets struct {
	mu    sync.Mutex
	total int64
	// size is the size of the buffers now.
	size    int
	conns   map[net.Conn]struct{}
	clients map[*connections.Connection]*trackedConn
}

// NewSockets returns a bound of the given number of bytes.
func NewSockets(total int64) *Sockets {
	return &Sockets{total: total, size: maxBufferBytes, conns: make(map[net.Conn]struct{}), clients: make(map[*connections.Connection]*trackedConn)}
}

// SetTotal changes the bound. It applies to the next connections.
func (s *Sockets) SetTotal(total int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total = total
}

// client returns the connection of an entry.
func (s *Sockets) client(entry *connections.Connection) *trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients[entry]
}

func (s *Sockets) addClient(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[c.entry] = c
	s.add(c.Conn)
}

func (s *Sockets) removeClient(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c.entry)
	s.remove(c.Conn)
}

// Track bounds the buffers of a connection to an endpoint until it is closed.
func (s *Sockets) Track(conn net.Conn) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(conn)
	return &endpointConn{Conn: conn, sockets: s}
}

// add and remove are called with the lock. The sizes change in powers of two, so that the other
// connections are touched rarely.
func (s *Sockets) add(conn net.Conn) {
	s.conns[conn] = struct{}{}
	s.resize(conn)
}

func (s *Sockets) remove(conn net.Conn) {
	delete(s.conns, conn)
	s.resize(nil)
}

func (s *Sockets) resize(added net.Conn) {
	fair := s.total / int64(buffersPerConn*max(1, len(s.conns)))
	size := maxBufferBytes
	for int64(size) > fair && size > minWriteBufferBytes {
		size /= 2
	}
	if size > s.size && fair < int64(size+size/regrowDivisor) {
		size = s.size
	}
	if size != s.size {
		s.size = size
		for conn := range s.conns {
			setBuffers(conn, size)
		}
		return
	}
	if added != nil {
		setBuffers(added, size)
	}
}

func setBuffers(conn net.Conn, size int) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// They fail only on a closed connection.
		_ = tcp.SetReadBuffer(max(size, minReadBufferBytes))
		_ = tcp.SetWriteBuffer(size)
	}
}

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	net.Conn
	sockets *Sockets
	once    sync.Once
}

// Close implements [net.Conn].
func (c *endpointConn) Close() error {
	c.once.Do(func() {
		c.sockets.mu.Lock()
		defer c.sockets.mu.Unlock()
		c.sockets.remove(c.Conn)
	})
	return c.Conn.Close()
}
