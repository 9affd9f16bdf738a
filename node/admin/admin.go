// Package admin serves health, readiness, metrics and status of one instance.
package admin

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/orders"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

// Status is what an instance tells operators about itself.
type Status struct {
	Instance platform.InstanceID `json:"instance"`
	Zone     platform.Zone       `json:"zone"`
	Ready    bool                `json:"ready"`
	Stopping bool                `json:"stopping"`
	// Revision is that of the configuration in force.
	Revision uint64 `json:"revision"`
	// ControlNext and IntentsNext are the offsets wanted next of the streams.
	ControlNext platform.Offset `json:"control_next"`
	IntentsNext platform.Offset `json:"intents_next"`
	// BillsHeld are own bills that the log does not have yet, BillsForPeers
	// copies of peers' bills, BillsUncopied those whose answer went out
	// without a copy.
	BillsHeld     int    `json:"bills_held"`
	BillsForPeers int    `json:"bills_for_peers"`
	BillsUncopied uint64 `json:"bills_uncopied"`
	// Sessions and Keys are remembered sessions and idempotency keys.
	Sessions int `json:"sessions"`
	Keys     int `json:"keys"`
	// Queued are requests that wait for a slot.
	Queued int `json:"queued"`
	// PeerSent and PeerReceived are bytes of the peer protocol since the start.
	PeerSent     uint64                `json:"peer_sent"`
	PeerReceived uint64                `json:"peer_received"`
	LogAvailable bool                  `json:"log_available"`
	Peers        []membership.Peer     `json:"peers"`
	Endpoints    []membership.Endpoint `json:"endpoints"`
	// Verdicts are the last verdicts on proposals of configuration.
	Verdicts []config.Verdict `json:"verdicts"`
	Rollouts []rollout.Status `json:"rollouts"`
	// Orders are the pools whose engines this instance gives orders to.
	Orders []orders.Status `json:"orders"`
}

// Metrics writes metrics in Prometheus text form.
type Metrics interface {
	Write(w io.Writer)
}

// Handler returns the HTTP handler; status is called for every request.
func Handler(status func() Status, metrics Metrics) http.Handler {
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
		metrics.Write(c.Response())
		return nil
	})
	return router
}
