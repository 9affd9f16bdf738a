// Package admin serves health, readiness, metrics and status of one instance.
package admin

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Status is what an instance tells operators about itself.
type Status struct {
	Instance     platform.InstanceID `json:"instance"`
	Zone         platform.Zone       `json:"zone"`
	Ready        bool                `json:"ready"`
	Stopping     bool                `json:"stopping"`
	Revision     uint64              `json:"revision"`
	ControlNext  platform.Offset     `json:"control_next"`
	BillsHeld    int                 `json:"bills_held"`
	LogAvailable bool                `json:"log_available"`
}

// Handler returns the HTTP handler; status is called for every request.
func Handler(status func() Status) http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	router.GET("/readyz", func(c echo.Context) error {
		now := status()
		if !now.Ready || now.Stopping {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	router.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, status()) })
	router.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	return router
}
