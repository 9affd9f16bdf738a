package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/node/relay"
)

func reloadable(t *testing.T) (*Entry, *bytes.Buffer) {
	t.Helper()
	settings := DefaultSettings()
	settings.Zone = "zone-a"
	settings.ClientAddress, settings.HealthAddress, settings.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Bounds.StrictRevocation = true
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(&log)
	e, err := New(settings, noPlatform{}, logger)
	assert.NilError(t, err)
	t.Cleanup(e.closeListeners)
	return e, &log
}

// noPlatform is a platform that is never asked.
type noPlatform struct{ Platform }

func (noPlatform) Endpoints() relay.Endpoints { return nil }

func TestReloadTakesOverWhatMayChange(t *testing.T) {
	e, log := reloadable(t)
	window := e.budgets.Budget("s")
	next := *e.live.Load()
	next.Bounds.RevocationMillis = 9000
	next.Bounds.RetrySlack = 120
	next.Bounds.EndpointDrainMillis = 1000
	next.Routing.AcceptConfidence = []float64{0.9}
	next.Routing.DialMillis = 40
	e.Reload(next)
	assert.Equal(t, e.configMaxAge(), 9*time.Second-revocationMargin)
	assert.Equal(t, e.registryPace(), 300*time.Millisecond)
	assert.Equal(t, e.dialTimeout(), 40*time.Millisecond)
	assert.DeepEqual(t, e.acceptConfidence(), []float64{0.9})
	e.budgets.divide(time.Now().Add(time.Minute), 0) // the slack rises a window later
	assert.Equal(t, window.Available(time.Now()), 120/leastInstances*(1-reservePart), "windows in use too")
	assert.Assert(t, strings.Contains(log.String(), "bounds/revocation_ms"), log.String())
}

func TestReloadKeepsWhatTheStartFixed(t *testing.T) {
	e, log := reloadable(t)
	next := *e.live.Load()
	next.Zone, next.StoreAddress = "zone-b", "10.0.0.1:1"
	next.Bounds.RetryWindowMillis = 1
	e.Reload(next)
	assert.Equal(t, string(e.live.Load().Zone), "zone-a")
	assert.Assert(t, strings.Contains(log.String(), `"needs_restart":["zone","store_address","bounds/retry_window_ms"]`), log.String())
}
