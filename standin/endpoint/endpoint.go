package endpoint

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/instancelist"
	"github.com/wigeonusher/wigeonusher/standin/server"
)

// Identity identifies an endpoint and names the instance list that lists it.
type Identity struct {
	ID   platform.EndpointID
	Pool platform.PoolName
	Zone platform.Zone
	// InstanceList is the base URL of the instance list. If it is empty, the
	// endpoint does not announce itself.
	InstanceList string
}

// LateRequest is a request that arrived while the endpoint was leaving.
type LateRequest struct {
	Endpoint  platform.EndpointID `json:"endpoint"`
	RequestID string              `json:"request_id"`
	// After is the time from the call of [Server.Drain] to the request.
	After time.Duration `json:"after"`
}

// Server is the HTTP server of an endpoint that announces itself to the instance
// list.
type Server struct {
	*server.Server
	identity Identity
	now      func() time.Time
	changed  chan struct{}

	mu           sync.Mutex
	leaving      bool
	leavingSince time.Time
	late         []LateRequest
}

// New returns an endpoint that serves GET /health.
func New(seed uint64, identity Identity, now func() time.Time) *Server {
	s := &Server{
		Server:   server.New(seed),
		identity: identity,
		now:      now,
		changed:  make(chan struct{}, 1),
	}
	s.Router.GET("/health", s.handleHealth)
	return s
}

// Listen starts serving on a loopback address and returns at once. If the identity
// names an instance list, Listen also starts announcing the endpoint there. Server
// and announcements run until the server is stopped.
func (s *Server) Listen(address string) error {
	if err := s.Server.Listen(address); err != nil {
		return err
	}
	if s.identity.InstanceList == "" {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.OnStop(cancel)
	announcer := instancelist.Announcer{List: s.identity.InstanceList, Row: s.row}
	go announcer.Run(ctx, s.changed)
	return nil
}

// Drain starts draining: the endpoint refuses new requests, finishes the running
// ones and announces the state leaving to the instance list.
func (s *Server) Drain() {
	s.mu.Lock()
	if !s.leaving {
		s.leaving = true
		s.leavingSince = s.now()
	}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// ID returns the endpoint's ID.
func (s *Server) ID() platform.EndpointID { return s.identity.ID }

// Identity returns the endpoint's identity.
func (s *Server) Identity() Identity { return s.identity }

// IsLeaving reports whether [Server.Drain] was called.
func (s *Server) IsLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// RefuseIfLeaving reports whether the endpoint is leaving. If it is, the request
// must be refused, and RefuseIfLeaving records it as late.
func (s *Server) RefuseIfLeaving(requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return false
	}
	after := s.now().Sub(s.leavingSince)
	s.late = append(s.late, LateRequest{Endpoint: s.identity.ID, RequestID: requestID, After: after})
	return true
}

// LateRequests returns the requests that arrived while the endpoint was leaving.
func (s *Server) LateRequests() []LateRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]LateRequest{}, s.late...)
}

// row returns the endpoint's current row for the instance list.
func (s *Server) row() platform.ListedEndpoint {
	state := platform.ListedLive
	if s.IsLeaving() {
		state = platform.ListedLeaving
	}
	return platform.ListedEndpoint{
		ID:      s.identity.ID,
		Pool:    s.identity.Pool,
		Zone:    s.identity.Zone,
		Address: s.Address(),
		State:   state,
	}
}

func (s *Server) handleHealth(c echo.Context) error {
	if s.IsLeaving() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}
