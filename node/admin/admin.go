// Package admin serves the health, readiness, metrics and status of one instance.
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

// Status is the state of an instance as shown to operators.
type Status struct {
	Instance platform.InstanceID `json:"instance"`
	Zone     platform.Zone       `json:"zone"`
	Ready    bool                `json:"ready"`
	Stopping bool                `json:"stopping"`
	// Revision is that of the configuration in force.
	Revision uint64 `json:"revision"`
	// ControlNext and IntentsNext are the next offsets to read from the control
	// and intents streams.
	ControlNext platform.Offset `json:"control_next"`
	IntentsNext platform.Offset `json:"intents_next"`
	// BillsHeld counts the local bills that are not in the log yet, BillsForPeers
	// the backup copies of peers' bills, and BillsUncopied the bills whose answer
	// was sent without a backup copy.
	BillsHeld     int    `json:"bills_held"`
	BillsForPeers int    `json:"bills_for_peers"`
	BillsUncopied uint64 `json:"bills_uncopied"`
	// Sessions and Keys are the numbers of sessions and idempotency keys held.
	Sessions int `json:"sessions"`
	Keys     int `json:"keys"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// PeerSent and PeerReceived are the bytes sent and received by the peer
	// protocol since the start.
	PeerSent     uint64                `json:"peer_sent"`
	PeerReceived uint64                `json:"peer_received"`
	LogAvailable bool                  `json:"log_available"`
	Peers        []membership.Peer     `json:"peers"`
	Endpoints    []membership.Endpoint `json:"endpoints"`
	// Verdicts are the latest verdicts on configuration proposals.
	Verdicts []config.Verdict `json:"verdicts"`
	Rollouts []rollout.Status `json:"rollouts"`
	// Orders are the pools to whose engines this instance sends orders.
	Orders []orders.Status `json:"orders"`
}

// Metrics writes metrics in Prometheus text form.
type Metrics interface {
	Write(w io.Writer)
}

// Handler returns the HTTP handler of the admin address. It calls status for each
// request to /readyz and /status.
func Handler(status func() Status, metrics Metrics) http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	router.GET("/readyz", func(c echo.Context) error {
		current := status()
		if !current.Ready || current.Stopping {
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
