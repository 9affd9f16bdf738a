package weights

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/standin/server"
)

// DefaultBytesPerSecond is the default of [Config.BytesPerSecond].
const DefaultBytesPerSecond = 10 << 30

// Config configures the weight store. Zero fields take the defaults.
type Config struct {
	Seed           uint64
	BytesPerSecond float64
	Now            func() time.Time
}

// Reservation is a request for a slot to load weights.
type Reservation struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Size is the size of the weights in bytes.
	Size int64 `json:"size"`
}

// Grant is the answer to a [Reservation].
type Grant struct {
	// WaitMillis is the time, in milliseconds, to wait before starting the load.
	WaitMillis int64 `json:"wait_ms"`
}

// Server is the weight store.
type Server struct {
	*server.Server
	config Config

	mu           sync.Mutex
	freeAt       time.Time // end of the last scheduled load
	reservations []Reservation
}

// New returns a weight store without reservations.
func New(config Config) *Server {
	if config.BytesPerSecond == 0 {
		config.BytesPerSecond = DefaultBytesPerSecond
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &Server{Server: server.New(config.Seed), config: config}
	s.Router.POST("/v1/reservations", s.handleReserve)
	return s
}

// Reservations returns all reservations in order of arrival.
func (s *Server) Reservations() []Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Reservation(nil), s.reservations...)
}

func (s *Server) handleReserve(c echo.Context) error {
	var reservation Reservation
	if err := server.Decode(c, &reservation); err != nil {
		return err
	}
	if reservation.Size < 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "size must not be negative")
	}
	wait := s.reserve(reservation)
	return c.JSON(http.StatusOK, Grant{WaitMillis: wait.Milliseconds()})
}

// reserve schedules the load after all earlier ones and returns the time until it
// may start.
func (s *Server) reserve(reservation Reservation) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	start := s.freeAt
	if start.Before(now) {
		start = now
	}
	seconds := float64(reservation.Size) / s.config.BytesPerSecond
	s.freeAt = start.Add(time.Duration(seconds * float64(time.Second)))
	s.reservations = append(s.reservations, reservation)
	return start.Sub(now)
}
