package instancelist

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/server"
)

// DefaultTimeToLive is the default of [Config.TimeToLive].
const DefaultTimeToLive = 3 * time.Second

// Config configures the instance list. Zero fields take the defaults.
type Config struct {
	Seed uint64
	// TimeToLive is the time after which a row expires without renewal.
	TimeToLive time.Duration
	// Lag is the maximum age of the listing that readers receive.
	Lag time.Duration
	Now func() time.Time
}

// InstanceRow is the announcement of an instance.
type InstanceRow struct {
	platform.ListedInstance
	Leaving bool `json:"leaving"`
}

type endpointEntry struct {
	row       platform.ListedEndpoint
	renewedAt time.Time
}

type instanceEntry struct {
	row       platform.ListedInstance
	renewedAt time.Time
}

// Server is the instance list.
type Server struct {
	*server.Server
	config Config

	mu          sync.Mutex
	endpoints   map[platform.EndpointID]endpointEntry
	instances   map[platform.InstanceID]instanceEntry
	published   platform.InstanceListing
	publishedAt time.Time
}

// New returns an empty list.
func New(config Config) *Server {
	if config.TimeToLive == 0 {
		config.TimeToLive = DefaultTimeToLive
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &Server{
		Server:    server.New(config.Seed),
		config:    config,
		endpoints: map[platform.EndpointID]endpointEntry{},
		instances: map[platform.InstanceID]instanceEntry{},
		published: platform.InstanceListing{Version: uint64(config.Now().UnixMilli())},
	}
	s.Router.GET("/v1/instances", s.handleList)
	s.Router.PUT("/v1/endpoints/:id", s.handleEndpoint)
	s.Router.PUT("/v1/instances/:id", s.handleInstance)
	return s
}

// Listing returns the listing that readers receive. If the published one is at
// least [Config.Lag] old, Listing publishes a new one first.
func (s *Server) Listing() platform.InstanceListing {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if now.Sub(s.publishedAt) >= s.config.Lag {
		s.publish(now)
	}
	return s.published
}

// PutEndpoint adds or renews the row of an endpoint, bypassing faults.
func (s *Server) PutEndpoint(row platform.ListedEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints[row.ID] = endpointEntry{row: row, renewedAt: s.config.Now()}
}

// PutInstance adds or renews the row of an instance, or removes it if the instance
// is leaving. It bypasses faults.
func (s *Server) PutInstance(row InstanceRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Leaving {
		delete(s.instances, row.ID)
		return
	}
	s.instances[row.ID] = instanceEntry{row: row.ListedInstance, renewedAt: s.config.Now()}
}

// publish replaces the published listing with the current rows, and increments the
// version if the rows have changed. The caller holds s.mu.
func (s *Server) publish(now time.Time) {
	s.expire(now)
	listing := platform.InstanceListing{
		Version:   s.published.Version,
		Endpoints: make([]platform.ListedEndpoint, 0, len(s.endpoints)),
		Instances: make([]platform.ListedInstance, 0, len(s.instances)),
	}
	for _, entry := range s.endpoints {
		listing.Endpoints = append(listing.Endpoints, entry.row)
	}
	for _, entry := range s.instances {
		listing.Instances = append(listing.Instances, entry.row)
	}
	slices.SortFunc(listing.Endpoints, func(a, b platform.ListedEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(listing.Instances, func(a, b platform.ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	unchanged := slices.Equal(listing.Endpoints, s.published.Endpoints) && slices.Equal(listing.Instances, s.published.Instances)
	if !unchanged {
		listing.Version++
	}
	s.published = listing
	s.publishedAt = now
}

// expire removes the rows that were not renewed within TimeToLive.
func (s *Server) expire(now time.Time) {
	ttl := s.config.TimeToLive
	maps.DeleteFunc(s.endpoints, func(_ platform.EndpointID, entry endpointEntry) bool {
		return now.Sub(entry.renewedAt) > ttl
	})
	maps.DeleteFunc(s.instances, func(_ platform.InstanceID, entry instanceEntry) bool {
		return now.Sub(entry.renewedAt) > ttl
	})
}

func (s *Server) handleList(c echo.Context) error {
	listing := s.Listing()
	tag := `"` + strconv.FormatUint(listing.Version, 10) + `"`
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, listing)
}

func (s *Server) handleEndpoint(c echo.Context) error {
	var row platform.ListedEndpoint
	if err := server.Decode(c, &row); err != nil {
		return err
	}
	if string(row.ID) != c.Param("id") {
		return echo.NewHTTPError(http.StatusBadRequest, "id differs from path")
	}
	s.PutEndpoint(row)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) handleInstance(c echo.Context) error {
	var row InstanceRow
	if err := server.Decode(c, &row); err != nil {
		return err
	}
	if string(row.ID) != c.Param("id") {
		return echo.NewHTTPError(http.StatusBadRequest, "id differs from path")
	}
	s.PutInstance(row)
	return c.NoContent(http.StatusNoContent)
}
