package entry

import (
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/policy/canary"
)

// canaryPart is the part of the allowed exposure that the first phase of a
// roll-out uses.
const canaryPart = 0.6

// canary are the bounds of roll-outs.
func (b Bounds) canary() canary.Tuning {
	return canary.Tuning{Share: canaryPart * b.ExposureShare, SessionGap: millis(b.SessionGapMillis)}
}

func (e *Entry) acceptConfidence() []float64 { return e.live.Load().Routing.AcceptConfidence }

func (e *Entry) dialTimeout() time.Duration {
	return time.Duration(e.live.Load().Routing.DialMillis) * time.Millisecond
}

// Reload puts other settings in force. Name, zone, addresses and the length of
// the retry window stay as they were at the start; it is logged if they differ.
func (e *Entry) Reload(read Settings) {
	former := e.live.Load()
	settings := withStart(read, former)
	needRestart := changed(settings, read)
	if reflect.DeepEqual(&settings, former) {
		e.log.WithField("needs_restart", needRestart).Info("settings read again; nothing to take over")
		return
	}
	e.live.Store(&settings)
	e.bound()
	e.budgets.rebound(time.Now(), settings.Bounds)
	e.versions.SetTuning(settings.Bounds.canary())
	e.cluster.SetSeeds(e.seeds())
	e.log.WithFields(logrus.Fields{"changed": changed(*former, settings), "needs_restart": needRestart}).Info("settings read again and in force")
}

// withStart returns settings with what cannot change while the instance runs.
func withStart(settings Settings, former *Settings) Settings {
	settings.Name, settings.Zone = former.Name, former.Zone
	settings.ClientAddress, settings.HealthAddress = former.ClientAddress, former.HealthAddress
	settings.PeerAddress, settings.StoreAddress = former.PeerAddress, former.StoreAddress
	settings.Bounds.RetryWindowMillis = former.Bounds.RetryWindowMillis
	return settings
}

// changed returns the names of the settings that differ.
func changed(former, settings Settings) []string {
	return differing("", reflect.ValueOf(former), reflect.ValueOf(settings))
}

func differing(prefix string, former, settings reflect.Value) []string {
	names := []string{}
	for i := range former.NumField() {
		name := prefix + former.Type().Field(i).Tag.Get("json")
		one, other := former.Field(i), settings.Field(i)
		switch {
		case one.Kind() == reflect.Struct:
			names = append(names, differing(name+"/", one, other)...)
		case !reflect.DeepEqual(one.Interface(), other.Interface()):
			names = append(names, name)
		}
	}
	return names
}
