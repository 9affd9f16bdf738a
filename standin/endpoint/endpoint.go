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

// Identity says who an endpoint is and where it is listed.
type Identity struct {
	ID   platform.EndpointID
	Pool platform.PoolName
	Zone platform.Zone
	// InstanceList is the base URL of the list to announce to; none if empty.
	InstanceList string
}

// Late is a request that came after the endpoint had said that it is leaving.
type Late struct {
	Endpoint  platform.EndpointID `json:"endpoint"`
	RequestID string              `json:"request_id"`
	// After is the time since the endpoint began to leave.
	After time.Duration `json:"after"`
}

// Server is the server of an endpoint that announces itself.
type Server struct {
	*server.Server
	identity Identity
	now      func() time.Time
	changed  chan struct{}

	mu      sync.Mutex
	leaving bool
	leftAt  time.Time
	late    []Late
}

// New returns an endpoint with the routes of its health.
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

// Listen serves on a loopback address and announces the endpoint to the list.
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

// Drain makes the endpoint leave: it finishes what it runs, refuses new work
// and tells the list.
func (s *Server) Drain() {
	s.mu.Lock()
	if !s.leaving {
		s.leaving = true
		s.leftAt = s.now()
	}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// ID returns the endpoint's ID.
func (s *Server) ID() platform.EndpointID { return s.identity.ID }

// Identity returns who the endpoint is.
func (s *Server) Identity() Identity { return s.identity }

// Leaving reports whether the endpoint leaves.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// RefusesNew reports whether the endpoint leaves, and notes the request that
// came too late if so.
func (s *Server) RefusesNew(requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return false
	}
	after := s.now().Sub(s.leftAt)
	s.late = append(s.late, Late{Endpoint: s.identity.ID, RequestID: requestID, After: after})
	return true
}

// Late returns the requests that came while the endpoint was leaving.
func (s *Server) Late() []Late {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Late{}, s.late...)
}

func (s *Server) row() platform.ListedEndpoint {
	state := platform.ListedLive
	if s.Leaving() {
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
	if s.Leaving() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}
