package entry

import (
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/policy/canary"
)

// canaryExposureFraction is the fraction of the allowed exposure that is used by
// the canary phase, in which a roll-out sends only some sessions to the candidate.
const canaryExposureFraction = 1.0 / 3

// canaryTuning returns the bounds of roll-outs.
func (b Bounds) canaryTuning() canary.Tuning {
	return canary.Tuning{
		Share: canaryExposureFraction * b.ExposureShare, SessionGap: millis(b.SessionGapMillis),
		ExposureShare: b.ExposureShare, ExposureSlack: b.ExposureSlack,
	}
}

func (e *Entry) acceptConfidence() []float64 {
	return e.currentSettings.Load().Routing.AcceptConfidence
}

func (e *Entry) dialTimeout() time.Duration {
	return time.Duration(e.currentSettings.Load().Routing.DialMillis) * time.Millisecond
}

// Reload applies new settings. Name, zone, addresses and the length of the retry
// window are fixed at the start; differences in these are logged and ignored.
func (e *Entry) Reload(loaded Settings) {
	previous := e.currentSettings.Load()
	settings := withStartupOnlySettings(loaded, previous)
	needRestart := changedSettings(settings, loaded)
	if reflect.DeepEqual(&settings, previous) {
		e.log.WithField("needs_restart", needRestart).Info("settings read again; nothing to apply")
		return
	}
	e.currentSettings.Store(&settings)
	e.applyProcessLimits()
	e.budgets.setBounds(time.Now(), settings.Bounds)
	e.versions.SetTuning(settings.Bounds.canaryTuning())
	e.cluster.SetSeeds(e.remoteSeeds())
	e.applyFeatures(settings)
	e.pools.SetZonePrice(settings.Routing.zonePrice())
	e.log.WithFields(logrus.Fields{"changed": changedSettings(*previous, settings), "needs_restart": needRestart}).Info("settings read again and applied")
}

// withStartupOnlySettings returns settings with the values of previous for the
// settings that cannot change while the instance runs.
func withStartupOnlySettings(settings Settings, previous *Settings) Settings {
	settings.Name, settings.Zone = previous.Name, previous.Zone
	settings.ClientAddress, settings.HealthAddress = previous.ClientAddress, previous.HealthAddress
	settings.PeerAddress, settings.StoreAddress = previous.PeerAddress, previous.StoreAddress
	settings.Bounds.RetryWindowMillis = previous.Bounds.RetryWindowMillis
	return settings
}

// changedSettings returns the JSON paths of the settings that differ.
func changedSettings(previous, settings Settings) []string {
	return diffFields("", reflect.ValueOf(previous), reflect.ValueOf(settings))
}

func diffFields(prefix string, previous, settings reflect.Value) []string {
	names := []string{}
	for i := range previous.NumField() {
		name := prefix + previous.Type().Field(i).Tag.Get("json")
		before, after := previous.Field(i), settings.Field(i)
		switch {
		case before.Kind() == reflect.Struct:
			names = append(names, diffFields(name+"/", before, after)...)
		case !reflect.DeepEqual(before.Interface(), after.Interface()):
			names = append(names, name)
		}
	}
	return names
}
