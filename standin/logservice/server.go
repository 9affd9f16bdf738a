package logservice

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/faults"
	"github.com/wigeonusher/wigeonusher/standin/server"
)

// Defaults of a [Config], and limits of reads.
const (
	DefaultAppendsPerSecond = 500
	DefaultRecords          = 1_000_000
	DefaultAge              = time.Hour
	// DefaultPageRecords is the default and the maximum number of records of a read.
	DefaultPageRecords = 1000

	maxWait      = 30 * time.Second
	maxPageBytes = 4 << 20
)

// Retention limits the records that a stream retains.
type Retention struct {
	// Records is the maximum number of records per stream.
	Records int
	// Age is the maximum age of a record.
	Age time.Duration
}

// Config configures the log service. Zero fields take the defaults.
type Config struct {
	Seed             uint64
	AppendsPerSecond float64
	Retention        Retention
	// Now returns the time of the service's clock.
	Now func() time.Time
}

// Server is the log service.
type Server struct {
	*server.Server
	config  Config
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[platform.Stream]*stream
}

// New returns a log service without records.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		Server:  server.New(config.Seed),
		config:  config,
		limiter: rate.NewLimiter(rate.Limit(config.AppendsPerSecond), max(1, int(config.AppendsPerSecond/4))),
		streams: map[platform.Stream]*stream{},
	}
	s.Router.POST("/v1/streams/:stream/records", s.handleAppend)
	s.Router.GET("/v1/streams/:stream/records", s.handleRead)
	return s
}

// Append appends a record directly, bypassing faults and the limits on size and
// rate.
func (s *Server) Append(name platform.Stream, payload []byte) platform.Offset {
	return s.stream(name).append(s.config.Now(), payload, s.config.Retention)
}

// Records returns the retained records of a stream.
func (s *Server) Records(name platform.Stream) []platform.Record {
	limit := s.config.Retention.Records
	stream := s.stream(name)
	page, ok, _ := stream.page(s.config.Now(), 1, limit, s.config.Retention)
	if !ok {
		page, _, _ = stream.page(s.config.Now(), page.First, limit, s.config.Retention)
	}
	return page.Records
}

// stream returns the stream of the given name and creates it if necessary.
func (s *Server) stream(name platform.Stream) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.streams[name]
	if !ok {
		found = newStream()
		s.streams[name] = found
	}
	return found
}

type appendReply struct {
	Offset platform.Offset `json:"offset"`
}

func (s *Server) handleAppend(c echo.Context) error {
	payload, err := io.ReadAll(io.LimitReader(c.Request().Body, platform.MaxRecordBytes+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body cut off")
	}
	if len(payload) > platform.MaxRecordBytes {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "record too large")
	}
	if !s.limiter.Allow() {
		return faults.Refuse(c, "append rate exceeded")
	}
	offset := s.Append(platform.Stream(c.Param("stream")), payload)
	return c.JSON(http.StatusOK, appendReply{Offset: offset})
}

type readQuery struct {
	from  platform.Offset
	limit int
	wait  time.Duration
}

func (s *Server) handleRead(c echo.Context) error {
	query, err := parseQuery(c)
	if err != nil {
		return err
	}
	timeout := time.NewTimer(query.wait)
	defer timeout.Stop()
	stream := s.stream(platform.Stream(c.Param("stream")))
	for {
		page, retained, appended := stream.page(s.config.Now(), query.from, query.limit, s.config.Retention)
		if !retained {
			return c.JSON(http.StatusGone, page)
		}
		if len(page.Records) > 0 || query.wait <= 0 {
			return c.JSON(http.StatusOK, truncatePage(page))
		}
		select {
		case <-appended:
			if s.Faults.Get().Down {
				return faults.Refuse(c, "fault: service unavailable")
			}
			if err := s.Faults.WaitUnfrozen(); err != nil {
				panic(http.ErrAbortHandler)
			}
		case <-timeout.C:
			return c.JSON(http.StatusOK, page)
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		case <-s.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// truncatePage removes records from the end of the page until its payloads have at
// most maxPageBytes in total, but keeps at least one record.
func truncatePage(page platform.Page) platform.Page {
	size := 0
	for i, record := range page.Records {
		size += len(record.Payload)
		if size > maxPageBytes && i > 0 {
			page.Records = page.Records[:i]
			page.Next = record.Offset
			break
		}
	}
	return page
}

func parseQuery(c echo.Context) (readQuery, error) {
	from, errFrom := queryNumber(c, "from", 1)
	limit, errLimit := queryNumber(c, "limit", DefaultPageRecords)
	wait, errWait := queryNumber(c, "wait_ms", 0)
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		return readQuery{}, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return readQuery{
		from:  platform.Offset(from),
		limit: int(min(max(limit, 1), DefaultPageRecords)),
		wait:  min(time.Duration(wait)*time.Millisecond, maxWait),
	}, nil
}

// queryNumber returns the value of the named query parameter, or fallback if the
// parameter is missing.
func queryNumber(c echo.Context, name string, fallback uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	return strconv.ParseUint(text, 10, 62)
}

func (c Config) withDefaults() Config {
	if c.AppendsPerSecond == 0 {
		c.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if c.Retention.Records == 0 {
		c.Retention.Records = DefaultRecords
	}
	if c.Retention.Age == 0 {
		c.Retention.Age = DefaultAge
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}
