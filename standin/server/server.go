package server

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/standin/faults"
)

const (
	headerTimeout = 10 * time.Second
	maxBodyBytes  = 8 << 20
)

// Server is the HTTP server of a stand-in.
type Server struct {
	// Router is the router to which the stand-in adds its routes.
	Router *echo.Echo
	// Faults injects faults into the calls and connections of the stand-in.
	Faults *faults.Injector

	mu         sync.Mutex
	listener   *faults.Listener
	httpServer *http.Server
	stopped    bool
	done       chan struct{}
	onStop     []func()
}

// New returns a server whose only routes are those of [faults.Path].
func New(seed uint64) *Server {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	s := &Server{
		Router: router,
		Faults: faults.NewInjector(seed),
		done:   make(chan struct{}),
	}
	s.Faults.OnCrash(s.stop)
	router.Use(limitBody, s.Faults.Middleware())
	s.Faults.Register(router)
	return s
}

// Handler returns the handler of the stand-in for use without a socket. Faults of
// connections have no effect on it.
func (s *Server) Handler() http.Handler { return s.Router }

// Listen starts serving on a loopback address and returns at once. The server runs
// until the stand-in stops. Port 0 selects a free port.
func (s *Server) Listen(address string) error {
	if err := CheckLoopback(address); err != nil {
		return err
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "server: listen")
	}
	s.mu.Lock()
	s.listener = s.Faults.Listen(inner)
	s.httpServer = &http.Server{
		Handler:           s.Router,
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       faults.ConnContext,
		ErrorLog:          discardLogger,
	}
	listener, httpServer := s.listener, s.httpServer
	s.mu.Unlock()
	go func() { _ = httpServer.Serve(listener) }()
	return nil
}

// Address returns the IP address and port that the stand-in listens on, or ""
// before [Server.Listen].
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return "http://" + s.Address() }

// Done returns a channel that is closed when the stand-in stops, by [Server.Close]
// or an injected crash.
func (s *Server) Done() <-chan struct{} { return s.done }

// OnStop adds a function that is called once when the stand-in stops. A function
// added after the stop is never called.
func (s *Server) OnStop(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onStop = append(s.onStop, f)
}

// Close stops the stand-in abruptly: it closes all connections and aborts the
// running calls.
func (s *Server) Close() error {
	s.stop()
	return nil
}

func (s *Server) stop() {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.stopped = true
	listener, httpServer, hooks := s.listener, s.httpServer, s.onStop
	s.mu.Unlock()
	close(s.done)
	s.Faults.Close()
	if listener != nil {
		_ = listener.Close()
		listener.CloseConnections()
		_ = httpServer.Close()
	}
	for _, hook := range hooks {
		hook()
	}
}

// CheckLoopback returns an error unless the host of the address is a loopback IP
// address.
func CheckLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return eris.Wrapf(err, "server: parse address %q", address)
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return eris.Errorf("server: address %q is not a loopback IP address", address)
	}
	return nil
}

// limitBody limits request bodies to maxBodyBytes.
func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		request.Body = http.MaxBytesReader(c.Response(), request.Body, maxBodyBytes)
		return next(c)
	}
}
