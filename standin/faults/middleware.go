package faults

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Path is where the faults of a stand-in are set and read.
const Path = "/faults"

// HeaderNotRun marks a refusal of a call that certainly did not run.
const HeaderNotRun = "X-Not-Run"

// Problem is the body of a refusal.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
}

// Register adds POST and GET of [Path].
func (s *Switch) Register(router *echo.Echo) {
	router.GET(Path, func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.Get())
	})
	router.POST(Path, func(c echo.Context) error {
		var set Set
		if err := json.NewDecoder(c.Request().Body).Decode(&set); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "malformed faults")
		}
		s.replace(set, connectionOf(c.Request().Context()))
		return c.JSON(http.StatusOK, set)
	})
}

// Middleware brings about the faults that concern one call.
func (s *Switch) Middleware() echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if c.Request().URL.Path == Path {
				return next(c)
			}
			return s.handle(c, next)
		}
	}
}

func (s *Switch) handle(c echo.Context, next echo.HandlerFunc) error {
	if err := s.WaitThawed(); err != nil {
		panic(http.ErrAbortHandler)
	}
	set := s.Get()
	if set.Down || s.Draw(set.FailRate) {
		return Refuse(c, "fault: service unavailable")
	}
	if s.crashes(c, set.CrashMarker) {
		panic(http.ErrAbortHandler)
	}
	latency := time.Duration(set.LatencyMillis) * time.Millisecond
	if err := s.Sleep(c.Request().Context(), latency); err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.Draw(set.LoseRate) {
		c.Response().Writer = discard{header: http.Header{}}
		if err := next(c); err != nil {
			c.Logger().Debug(err)
		}
		panic(http.ErrAbortHandler)
	}
	return next(c)
}

// Refuse answers 503 and says that the call did not run.
func Refuse(c echo.Context, title string) error {
	c.Response().Header().Set(HeaderNotRun, "true")
	return c.JSON(http.StatusServiceUnavailable, Problem{Title: title, Status: http.StatusServiceUnavailable})
}

// crashes stops the stand-in if the body has the marker.
func (s *Switch) crashes(c echo.Context, marker string) bool {
	if marker == "" {
		return false
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.Request().Body = io.NopCloser(bytes.NewReader(body))
	if !bytes.Contains(body, []byte(marker)) {
		return false
	}
	s.mu.Lock()
	crash := s.crash
	s.mu.Unlock()
	crash()
	return true
}

// discard swallows the answer of a call that takes effect and loses it.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}
