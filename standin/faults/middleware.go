package faults

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Path is the URL path for reading and replacing the faults of a stand-in.
const Path = "/faults"

// HeaderNotRun is the header of refusals that guarantees that the call did not run.
const HeaderNotRun = "X-Not-Run"

// Problem is the JSON body of a refusal.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
}

// Register adds the routes GET and POST of [Path].
func (i *Injector) Register(router *echo.Echo) {
	router.GET(Path, func(c echo.Context) error {
		return c.JSON(http.StatusOK, i.Get())
	})
	router.POST(Path, func(c echo.Context) error {
		var set Set
		if err := json.NewDecoder(c.Request().Body).Decode(&set); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "malformed faults")
		}
		i.replace(set, connectionFrom(c.Request().Context()))
		return c.JSON(http.StatusOK, set)
	})
}

// Middleware returns the middleware that applies the faults of single calls.
func (i *Injector) Middleware() echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if c.Request().URL.Path == Path {
				return next(c)
			}
			return i.handle(c, next)
		}
	}
}

func (i *Injector) handle(c echo.Context, next echo.HandlerFunc) error {
	if err := i.WaitUnfrozen(); err != nil {
		panic(http.ErrAbortHandler)
	}
	set := i.Get()
	if set.Down || i.Draw(set.FailRate) {
		return Refuse(c, "fault: service unavailable")
	}
	if i.crashIfMarked(c, set.CrashMarker) {
		panic(http.ErrAbortHandler)
	}
	latency := time.Duration(set.LatencyMillis) * time.Millisecond
	if err := i.Sleep(c.Request().Context(), latency); err != nil {
		panic(http.ErrAbortHandler)
	}
	if set.Unframed {
		// net/http then sends no chunks and closes the connection after the response.
		c.Response().Header().Set("Transfer-Encoding", "identity")
	}
	if i.Draw(set.LoseRate) {
		c.Response().Writer = discardWriter{header: http.Header{}}
		if err := next(c); err != nil {
			c.Logger().Debug(err)
		}
		panic(http.ErrAbortHandler)
	}
	return next(c)
}

// Refuse answers with status 503 and [HeaderNotRun].
func Refuse(c echo.Context, title string) error {
	c.Response().Header().Set(HeaderNotRun, "true")
	return c.JSON(http.StatusServiceUnavailable, Problem{Title: title, Status: http.StatusServiceUnavailable})
}

// crashIfMarked stops the stand-in if the request body contains the marker, and
// reports whether it does.
func (i *Injector) crashIfMarked(c echo.Context, marker string) bool {
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
	i.mu.Lock()
	crash := i.crash
	i.mu.Unlock()
	crash()
	return true
}

// discardWriter discards the answer of a call selected by [Set.LoseRate].
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}
