package service

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/endpoint"
	"github.com/wigeonusher/wigeonusher/standin/faults"
)

// Headers of calls.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttemptID      = "X-Attempt-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFencing        = "X-Fencing-Number"
)

// Defaults of a [Config].
const (
	DefaultSlots    = 8
	DefaultRunTime  = 5 * time.Millisecond
	DefaultMaxQueue = 256
)

// Config configures an endpoint of a plain service. Zero fields take the defaults.
type Config struct {
	Seed uint64
	endpoint.Identity
	// Slots is the number of calls that run concurrently.
	Slots int
	// MaxQueue is the maximum number of calls that wait for a slot.
	MaxQueue int
	// RunTime is the duration of a call. The call takes effect after half of it.
	RunTime time.Duration
	// ChecksFencing makes the endpoint reject calls whose fencing number is below
	// the highest one received with the same idempotency key.
	ChecksFencing bool
	Now           func() time.Time
}

// Run is one call that took effect.
type Run struct {
	Endpoint  platform.EndpointID `json:"endpoint"`
	RequestID string              `json:"request_id"`
	Key       string              `json:"key,omitempty"`
	Method    string              `json:"method"`
	Path      string              `json:"path"`
	Fencing   uint64              `json:"fencing,omitempty"`
	At        time.Time           `json:"at"`
}

// Repeatable reports whether the call may run more than once.
func (r Run) Repeatable() bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// Reply is the answer to a call.
type Reply struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Run is the sequence number of the run at this endpoint, from 1.
	Run int `json:"run"`
	// Echo is the body of the call, truncated to 4 KiB.
	Echo string `json:"echo,omitempty"`
}

// LoadReport is the load of the endpoint at the time UnixMillis, in milliseconds
// since the Unix epoch.
type LoadReport struct {
	ID         platform.EndpointID `json:"id"`
	Running    int                 `json:"running"`
	Queued     int                 `json:"queued"`
	Leaving    bool                `json:"leaving"`
	UnixMillis int64               `json:"at_unix_ms"`
}

// Server is an endpoint of a plain service.
type Server struct {
	*endpoint.Server
	config Config
	slots  chan struct{}

	mu      sync.Mutex
	queued  int
	runs    []Run
	fencing map[string]uint64 // highest fencing number per idempotency key
}

const maxEchoBytes = 4 << 10

// New returns an idle endpoint.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		Server:  endpoint.New(config.Seed, config.Identity, config.Now),
		config:  config,
		slots:   make(chan struct{}, config.Slots),
		fencing: map[string]uint64{},
	}
	s.Router.GET("/load", s.handleLoad)
	s.Router.GET("/runs", s.handleRuns)
	s.Router.Any("/*", s.handleCall)
	return s
}

// Runs returns all calls that took effect, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

func (s *Server) handleCall(c echo.Context) error {
	request := c.Request()
	if s.RefuseIfLeaving(request.Header.Get(HeaderRequestID)) {
		return faults.Refuse(c, "leaving")
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body cut off")
	}
	fencing, err := fencingOf(request)
	if err != nil {
		return err
	}
	key := request.Header.Get(HeaderIdempotencyKey)
	if !s.acceptFencing(key, fencing) {
		c.Response().Header().Set(faults.HeaderNotRun, "true")
		return c.JSON(http.StatusConflict, faults.Problem{Title: "old fencing number", Status: http.StatusConflict})
	}
	if !s.acquire(request) {
		return faults.Refuse(c, "queue full")
	}
	defer func() { <-s.slots }()
	if err := s.Faults.Sleep(request.Context(), s.config.RunTime/2); err != nil {
		return faults.Refuse(c, "caller left before the call ran")
	}
	number := s.record(request, key, fencing)
	// The call has taken effect, even if its caller disconnects from here on.
	if err := s.Faults.Sleep(request.Context(), s.config.RunTime/2); err != nil {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, Reply{
		RequestID: request.Header.Get(HeaderRequestID),
		Key:       key,
		Method:    request.Method,
		Path:      request.URL.Path,
		Run:       number,
		Echo:      string(body[:min(len(body), maxEchoBytes)]),
	})
}

// acquire waits for a slot. It returns false if MaxQueue calls are already waiting
// or the caller disconnects.
func (s *Server) acquire(request *http.Request) bool {
	s.mu.Lock()
	if s.queued >= s.config.MaxQueue {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

// record records a run and returns its sequence number.
func (s *Server) record(request *http.Request, key string, fencing uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		Endpoint:  s.config.ID,
		RequestID: request.Header.Get(HeaderRequestID),
		Key:       key,
		Method:    request.Method,
		Path:      request.URL.Path,
		Fencing:   fencing,
		At:        s.config.Now(),
	})
	return len(s.runs)
}

// acceptFencing records the fencing number and returns true, or returns false if
// the number is below the highest one received for the key. Without ChecksFencing
// or a key it records nothing and returns true.
func (s *Server) acceptFencing(key string, fencing uint64) bool {
	if !s.config.ChecksFencing || key == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fencing < s.fencing[key] {
		return false
	}
	s.fencing[key] = fencing
	return true
}

func (s *Server) handleLoad(c echo.Context) error {
	s.mu.Lock()
	queued := s.queued
	s.mu.Unlock()
	return c.JSON(http.StatusOK, LoadReport{
		ID:         s.config.ID,
		Running:    len(s.slots),
		Queued:     queued,
		Leaving:    s.IsLeaving(),
		UnixMillis: s.config.Now().UnixMilli(),
	})
}

type runsPage struct {
	Runs []Run                  `json:"runs"`
	Late []endpoint.LateRequest `json:"late"`
}

func (s *Server) handleRuns(c echo.Context) error {
	return c.JSON(http.StatusOK, runsPage{Runs: s.Runs(), Late: s.LateRequests()})
}
