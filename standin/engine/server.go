package engine

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/endpoint"
)

// Headers of requests.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttemptID = "X-Attempt-Id"
	HeaderPriority  = "X-Priority"
)

// Server is an engine.
type Server struct {
	*endpoint.Server
	config    Config
	scheduler *scheduler
	cache     *prefixCache
	ledger    ledger

	mu         sync.Mutex
	loaded     map[string]bool
	fencing    map[string]uint64 // highest fencing number per "model@version"
	lastReport LoadReport
	reportedAt time.Time
}

// LoadReport is the load of the engine at the time UnixMillis, in milliseconds since
// the Unix epoch.
type LoadReport struct {
	ID         platform.EndpointID `json:"id"`
	Running    int                 `json:"running"`
	Queued     int                 `json:"queued"`
	Leaving    bool                `json:"leaving"`
	Loaded     []string            `json:"loaded"`
	UnixMillis int64               `json:"at_unix_ms"`
}

// New returns an idle engine.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		Server:    endpoint.New(config.Seed, config.Identity, config.Now),
		config:    config,
		scheduler: newScheduler(config.Slots, config.MaxQueue),
		loaded:    map[string]bool{},
		fencing:   map[string]uint64{},
	}
	s.cache = newPrefixCache(config, s.Faults)
	for _, ref := range config.Loaded {
		s.loaded[ref] = true
	}
	s.Router.POST("/v1/chat/completions", s.handleChat)
	s.Router.GET("/load", s.handleLoad)
	s.Router.GET("/v1/cache/events", s.handleEvents)
	s.Router.POST("/orders", s.handleOrder)
	s.Router.GET("/runs", s.handleRuns)
	return s
}

// Runs returns all runs in order of their start.
func (s *Server) Runs() []Run { return s.ledger.snapshot() }

func (s *Server) handleLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Load())
}

// Load returns a load report that is at most [Config.LoadLag] old.
func (s *Server) Load() LoadReport {
	running, queued := s.scheduler.counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if now.Sub(s.reportedAt) < s.config.LoadLag {
		return s.lastReport
	}
	s.reportedAt = now
	s.lastReport = LoadReport{
		ID:         s.config.Identity.ID,
		Running:    running,
		Queued:     queued,
		Leaving:    s.IsLeaving(),
		Loaded:     s.loadedRefs(),
		UnixMillis: now.UnixMilli(),
	}
	return s.lastReport
}

// loadedRefs returns the loaded versions in sorted order. The caller holds s.mu.
func (s *Server) loadedRefs() []string {
	refs := make([]string, 0, len(s.loaded))
	for ref := range s.loaded {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	return refs
}

func (s *Server) handleEvents(c echo.Context) error {
	cursor, err := strconv.ParseUint("0"+c.QueryParam("cursor"), 10, 62)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "cursor is not a number")
	}
	return c.JSON(http.StatusOK, s.cache.page(cursor))
}

type runsPage struct {
	Runs []Run                  `json:"runs"`
	Late []endpoint.LateRequest `json:"late"`
}

func (s *Server) handleRuns(c echo.Context) error {
	return c.JSON(http.StatusOK, runsPage{Runs: s.Runs(), Late: s.LateRequests()})
}
