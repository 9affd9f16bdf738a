package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/wigeonusher/wigeonusher/node/settings"
	"github.com/wigeonusher/wigeonusher/standin/environment"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
)

// Timing in the settings that SettingsFor returns, in milliseconds. The intervals
// are shorter than the defaults because a demonstration lasts only seconds.
const (
	heartbeatMillis = 200
	loadPollMillis  = 200
	listPollMillis  = 300
	progressMillis  = 2000
	drainLagMillis  = 1500
	drainMillis     = 15_000
	billMillis      = 100
)

const (
	ephemeralAddress = "127.0.0.1:0"
	logLevel         = "warn"
)

// Ports are the ports of the instance with index 0. Those of the instance with
// index n are higher by n. A port of 0 lets the operating system choose one for
// each instance.
type Ports struct {
	Caller int
	Peer   int
	Admin  int
}

// SettingsFor returns the settings of the instance with the index in the
// environment's deployment.
func SettingsFor(e *environment.Environment, index int, ports Ports) settings.Settings {
	instance := e.Deployment.Instances[index]
	s := settings.Default()
	s.Name = instance.Name
	s.Zone = instance.Zone
	s.CallerAddress = address(ports.Caller, index)
	s.PeerAddress = address(ports.Peer, index)
	s.AdminAddress = address(ports.Admin, index)
	s.Platform = settings.PlatformSettings{
		Log:       e.Log.URL(),
		Instances: e.InstanceList.URL(),
		Ratings:   e.Ratings.URL(),
		Weights:   e.Weights.URL(),
	}
	s.SessionKey = sessionKey(e.Deployment)
	s.LogLevel = logLevel
	s.Timing.HeartbeatMillis = heartbeatMillis
	s.Timing.LoadPollMillis = loadPollMillis
	s.Timing.ListPollMillis = listPollMillis
	s.Timing.ProgressMillis = progressMillis
	s.Timing.DrainLagMillis = drainLagMillis
	s.Timing.DrainMillis = drainMillis
	s.Timing.BillIntervalMillis = billMillis
	return s
}

// sessionKey returns the key that signs session tokens. It is derived from
// the deployment's name, and so the same in every run.
func sessionKey(deployment *fixture.Deployment) string {
	digest := sha256.Sum256([]byte("demonstration/" + deployment.Name))
	return hex.EncodeToString(digest[:])
}

// address returns the loopback address of the instance with the index.
func address(firstPort, index int) string {
	if firstPort == 0 {
		return ephemeralAddress
	}
	return fmt.Sprintf("127.0.0.1:%d", firstPort+index)
}
