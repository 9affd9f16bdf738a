package clients

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/policy/connections"
	policymemory "github.com/wigeonusher/wigeonusher/policy/memory"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Defaults of limits that the configuration does not have.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = 64 << 10
)

// noWriteTimeout is longer than any answer takes. With a timeout, net/http sets a new write deadline
// for each request, so that none remains from an earlier answer.
const noWriteTimeout = 24 * time.Hour

// Config lists what a [Server] uses.
type Config struct {
	Handler http.Handler
	// Limits returns the limits of the configuration.
	Limits func() route.Limits
	// Guard counts and logs the connections that are closed; nil for none.
	Guard *memory.Guard
}

// Server serves the clients of an instance. The limits of a connection are those of the
// configuration at its start.
type Server struct {
	config Config

	mu       sync.Mutex
	table    *connections.Table
	sockets  *Sockets
	listener net.Listener
	servers  map[route.Limits]*limitedServer
	// retired holds those of earlier configurations that still have connections.
	retired  map[*limitedServer]struct{}
	stopping bool
}

// NewServer returns a server for the given number of connections.
func NewServer(config Config, limit int, sockets *Sockets) *Server {
	return &Server{config: config, table: connections.NewTable(limit), sockets: sockets, servers: make(map[route.Limits]*limitedServer), retired: make(map[*limitedServer]struct{})}
}

// SetLimit changes the number of connections.
func (s *Server) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetLimit(limit)
}

// Connections returns the number of open connections and how many there may be.
func (s *Server) Connections() (open, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Count(), s.table.Limit()
}

// RunningRequests returns the number of connections whose request is run.
func (s *Server) RunningRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Running()
}

// Serve accepts connections until the server is shut down or closed, or the listener fails.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		listener.Close()
		return http.ErrServerClosed
	}
	delay := acceptDelay
	for {
		conn, err := listener.Accept()
		if err == nil {
			delay = acceptDelay
			s.serve(conn)
			continue
		}
		if s.isStopping() {
			return http.ErrServerClosed
		}
		if !slices.ContainsFunc(passing, func(errno error) bool { return errors.Is(err, errno) }) {
			return eris.Wrap(err, "clients: accept")
		}
		time.Sleep(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}

// The pause after a connection that could not be accepted doubles from acceptDelay to
// maxAcceptDelay.
const (
	acceptDelay    = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
)

// passing lists the errors of accept that pass: no descriptor or memory is free, or the client has
// disconnected.
var passing = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// serve serves a connection, or closes it if another one may not be open.
func (s *Server) serve(conn net.Conn) {
	limits := s.config.Limits()
	limits.BodyBytes = 0 // is no limit of the connection
	tracked := &trackedConn{Conn: conn, server: s}
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		conn.Close()
		return
	}
	opened, removed := s.table.Open(time.Now(), addressOf(conn))
	if opened == nil {
		s.mu.Unlock()
		s.config.Guard.Record("refused", policymemory.Connection)
		conn.Close()
		return
	}
	tracked.entry = opened
	var victim *trackedConn
	if removed != nil {
		victim = s.sockets.client(removed)
	}
	s.sockets.addClient(tracked)
	server := s.servers[limits]
	if server == nil {
		s.retire()
		server = s.start(limits)
		s.servers[limits] = server
	}
	s.mu.Unlock()
	if victim != nil {
		s.config.Guard.Record("closed", policymemory.Connection)
		victim.Close()
	}
	server.accepted(tracked)
}

// start starts a server with the given limits. The caller holds the lock.
func (s *Server) start(limits route.Limits) *limitedServer {
	positive := func(value, otherwise time.Duration) time.Duration {
		if value > 0 {
			return value
		}
		return otherwise
	}
	headerBytes := limits.HeaderBytes
	if headerBytes <= 0 {
		headerBytes = defaultHeaderBytes
	}
	l := &limitedServer{conns: make(chan net.Conn), done: make(chan struct{})}
	l.server = &http.Server{
		Handler:           s.config.Handler,
		ReadHeaderTimeout: positive(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       positive(limits.IdleTimeout, defaultIdleTimeout),
		WriteTimeout:      noWriteTimeout,
		MaxHeaderBytes:    headerBytes,
		ConnState:         s.recordState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	go func() { _ = l.server.Serve(l) }() // it returns only when it is shut down or closed
	return l
}

// maxServers bounds the servers with limits of earlier configurations.
const maxServers = 8

// retire ends the servers of earlier configurations as their connections become idle, if there are
// many. The caller holds the lock.
func (s *Server) retire() {
	if len(s.servers) < maxServers {
		return
	}
	for limits, server := range s.servers {
		delete(s.servers, limits)
		s.retired[server] = struct{}{}
		go func() {
			_ = server.server.Shutdown(context.Background()) // the background context does not end
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.retired, server)
		}()
	}
}

func (s *Server) recordState(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	phase := connections.Idle
	switch state {
	case http.StateActive:
		phase = connections.Receiving
	case http.StateIdle:
	default:
		return // a new connection is fresh, a closed one removes itself, and a hijacked one is being closed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetPhase(time.Now(), tracked.entry, phase)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Errors of [BeginRun].
var (
	// ErrRemoved: the connection was closed for another client's, so no answer would reach the client.
	ErrRemoved = eris.New("clients: connection was closed for another one")
	// ErrOverShare: the client's address runs requests on most of the connections.
	ErrOverShare = eris.New("clients: address runs too many requests")
)

// BeginRun is called with a request's context when the request has arrived whole and is about to be run.
// From then on its connection is not closed for another client's. After an error the request must not
// run. A request whose connection is not one of a [Server] may always run.
func BeginRun(ctx context.Context) error {
	tracked, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return nil
	}
	s := tracked.server
	s.mu.Lock()
	decision := s.table.Run(time.Now(), tracked.entry)
	s.mu.Unlock()
	switch decision {
	case connections.Removed:
		return ErrRemoved
	case connections.OverShare:
		s.config.Guard.Record("over share", policymemory.Connection)
		return ErrOverShare
	default:
		return nil
	}
}

// remove removes a connection that is closed.
func (s *Server) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Close(c.entry)
	s.sockets.removeClient(c)
}

// stop makes Serve return, and returns the servers.
func (s *Server) stop() []*limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	all := slices.Collect(maps.Keys(s.retired))
	for _, server := range s.servers {
		all = append(all, server)
	}
	return all
}

// Shutdown closes the listener, and the connections as they become idle.
func (s *Server) Shutdown(ctx context.Context) error {
	var group sync.WaitGroup
	errs := make(chan error, 1)
	for _, server := range s.stop() {
		group.Go(func() {
			if err := server.server.Shutdown(ctx); err != nil {
				select {
				case errs <- err:
				default:
				}
			}
		})
	}
	group.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	for _, server := range s.stop() {
		server.server.Close()
	}
}

// limitedServer is an HTTP server with fixed limits. It is the listener of its own connections.
type limitedServer struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *limitedServer) accepted(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		conn.Close()
	}
}

// Accept implements [net.Listener].
func (l *limitedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *limitedServer) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements [net.Listener].
func (l *limitedServer) Addr() net.Addr { return &net.TCPAddr{} }

// trackedConn is a client's connection. Closing it removes it from its server.
type trackedConn struct {
	net.Conn
	server *Server
	entry  *connections.Connection
	once   sync.Once
}

// Close implements [net.Conn].
func (c *trackedConn) Close() error {
	c.once.Do(func() { c.server.remove(c) })
	return c.Conn.Close()
}

// CloseWrite lets net/http end an answer without a reset while the client still sends.
func (c *trackedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

func addressOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}
