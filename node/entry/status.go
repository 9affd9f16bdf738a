package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/tailer"
	"github.com/wigeonusher/wigeonusher/node/versions"
	"github.com/wigeonusher/wigeonusher/policy/admission"
)

// Status is the status of an instance as it is served to operators.
type Status struct {
	Instance string        `json:"instance"`
	Zone     platform.Zone `json:"zone"`
	Ready    bool          `json:"ready"`
	Stopping bool          `json:"stopping"`
	// Revision is the revision of the configuration in force, and ConfigAgeMillis
	// the time since it was last known to be the newest.
	Revision        int64           `json:"revision"`
	ConfigAgeMillis int64           `json:"config_age_ms"`
	Routes          int             `json:"routes"`
	Endpoints       []pool.Snapshot `json:"endpoints"`
	// EvacuatedZones are the zones to whose endpoints nothing may be sent.
	EvacuatedZones []platform.Zone `json:"evacuated_zones"`
	// ColdEndpoints is the number of endpoints that count as cold, see their cold_ms.
	ColdEndpoints int                `json:"cold_endpoints"`
	Rollouts      []versions.Rollout `json:"rollouts"`
	Peers         []membership.Peer  `json:"peers"`
	// Topics tells how the topics of the log are followed.
	Topics []tailer.Status `json:"topics"`
	// FleetSize is the number of live instances of all zones, as far as this instance knows.
	FleetSize int `json:"fleet_size"`
	// RetrySlack is this instance's share of the fleet's retry slack: the retries
	// per window that are allowed regardless of the number of requests.
	RetrySlack float64 `json:"retry_slack"`
	// Admission tells for each service how much room its endpoints have for the fleet. It is
	// absent unless the platform's terms call for admission.
	Admission []admission.State `json:"admission,omitempty"`
	// ZoneShares holds the shares of the requests of this zone that run in other zones.
	ZoneShares []pool.ZoneShareSnapshot `json:"zone_shares"`
}

// Status returns the current status of the instance.
func (e *Entry) Status() Status {
	status := Status{
		Instance:       e.settings.Name,
		Zone:           e.settings.Zone,
		Ready:          e.Ready(),
		Stopping:       e.stopping.HasBegun(),
		Endpoints:      e.pools.Snapshots(),
		EvacuatedZones: e.pools.EvacuatedZones(),
		ColdEndpoints:  e.pools.ColdCount(time.Now()),
		Rollouts:       e.versions.Rollouts(),
		Peers:          e.cluster.All(),
		Topics:         e.topics.statuses(),
		FleetSize:      e.cluster.LiveCount(),

		RetrySlack: e.budgets.currentSlackShare(),
		Admission:  e.admission.States(),
		ZoneShares: e.pools.ZoneShares(),
	}
	slices.SortFunc(status.Endpoints, func(a, b pool.Snapshot) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if table, verifiedAt := e.Table(); table != nil {
		status.Revision, status.Routes = table.Revision, table.Routes()
		status.ConfigAgeMillis = boottime.Since(verifiedAt).Milliseconds()
	}
	return status
}

// healthHandler serves readiness, status and metrics.
func (e *Entry) healthHandler() http.Handler {
	router := echo.New()
	router.GET(e.platform.ReadinessPath(), func(c echo.Context) error {
		if !e.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	router.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Status()) })
	router.GET("/where", e.serveWhere)
	router.GET("/metrics", func(c echo.Context) error {
		c.Response().WriteHeader(http.StatusOK)
		e.updateRoomGauges()
		e.observer.Write(c.Response())
		return nil
	})
	return router
}
