package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/wigeonusher/wigeonusher/node/settings"
	"github.com/wigeonusher/wigeonusher/standin/environment"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
)

// Timing of instances beside stand-ins, in milliseconds. It suits runs of
// seconds.
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
	anyPort  = "127.0.0.1:0"
	logLevel = "warn"
)

// Ports are the first ports of a fleet's instances; the n-th instance takes
// the n-th port after each. Zero ports are chosen by the system.
type Ports struct {
	Caller int
	Peer   int
	Admin  int
}

// SettingsFor returns the settings of one instance of a deployment, number
// counted from 0.
func SettingsFor(e *environment.Environment, number int, ports Ports) settings.Settings {
	place := e.Deployment.Instances[number]
	s := settings.Default()
	s.Name = place.Name
	s.Zone = place.Zone
	s.CallerAddress = address(ports.Caller, number)
	s.PeerAddress = address(ports.Peer, number)
	s.AdminAddress = address(ports.Admin, number)
	s.Platform = settings.PlatformSettings{
		Log:       e.Log.URL(),
		Instances: e.List.URL(),
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

// sessionKey returns a key for demonstrations, the same in every run.
func sessionKey(deployment *fixture.Deployment) string {
	digest := sha256.Sum256([]byte("demonstration/" + deployment.Name))
	return hex.EncodeToString(digest[:])
}

func address(first, number int) string {
	if first == 0 {
		return anyPort
	}
	return fmt.Sprintf("127.0.0.1:%d", first+number)
}
