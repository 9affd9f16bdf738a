package weights

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/standin/server"
)

// DefaultBytesPerSecond is the rate of a store without one of its own.
const DefaultBytesPerSecond = 10 << 30

// Config sets the store up. Zero fields take the defaults.
type Config struct {
	Seed           uint64
	BytesPerSecond float64
	Now            func() time.Time
}

// Reservation asks for a slot to load weights.
type Reservation struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Size is in bytes.
	Size int64 `json:"size"`
}

// Grant answers a reservation.
type Grant struct {
	// WaitMillis is how long to wait before the load may start.
	WaitMillis int64 `json:"wait_ms"`
}

// Server is the weight store.
type Server struct {
	*server.Server
	config Config

	mu           sync.Mutex
	free         time.Time // when the last admitted load will have ended
	reservations []Reservation
}

// New returns an idle store.
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

// Reservations returns all reservations so far, in order.
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

func (s *Server) reserve(reservation Reservation) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	start := s.free
	if start.Before(now) {
		start = now
	}
	seconds := float64(reservation.Size) / s.config.BytesPerSecond
	s.free = start.Add(time.Duration(seconds * float64(time.Second)))
	s.reservations = append(s.reservations, reservation)
	return start.Sub(now)
}
