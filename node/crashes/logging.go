package crashes

import (
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/node/relay"
)

func (t *Tracker) logStanding(feature crashcause.Feature, former crashcause.Standing, e crashcause.Explanation) {
	t.config.Count(`wigeonusher_feature_standings_total{standing="` + e.Standing.String() + `"}`)
	t.config.Logger.WithFields(logrus.Fields{
		"feature": crashcause.Name(feature), "standing": e.Standing.String(), "former": former.String(), "depth": e.Depth,
		"score": e.Score, "unexplained": e.Unexplained, "independent": e.Independent, "has_survived": e.Survived, "verdict": e.IsVerdict,
	}).Warn("suspicion of a feature changed")
}

// logUncounted logs an endpoint that seems to have ended, and for which nothing is accused.
func (t *Tracker) logUncounted(at *endpoint, probe relay.ProbeOutcome, reason string) {
	t.config.Count(`wigeonusher_uncounted_crashes_total`)
	t.config.Logger.WithFields(logrus.Fields{
		"endpoint": at.record.ID, "born": at.record.Born, "service": at.record.Service, "probe": probe, "attempts": len(at.ended),
		"reason": reason,
	}).Warn("endpoint that cannot be reached is not counted as crashed")
}

// logSurvival logs what cleared features that were suspected, guilty or being tried, and whole
// requests that were accused.
func (t *Tracker) logSurvival(a *attempt, cleared, acquitted []crashcause.Feature) {
	t.config.Logger.WithFields(logrus.Fields{
		"features": namesOf(cleared), "requests": namesOf(acquitted), "endpoint": a.endpoint.record.ID, "born": a.endpoint.record.Born,
		"attempt_has_ended": !a.endedAt.IsZero(), "failed": a.end == relay.AttemptFailed && !a.endedAt.IsZero(),
	}).Warn("endpoint survived what was accused of crashes")
}

// maxNames bounds the features in one line.
const maxNames = 8

func namesOf(features []crashcause.Feature) []string {
	names := make([]string, 0, min(len(features), maxNames))
	for _, feature := range features[:min(len(features), maxNames)] {
		names = append(names, crashcause.Name(feature))
	}
	return names
}

// namesOfRequests returns the names of the whole requests among the accused features.
func namesOfRequests(accused []crashcause.Accusation) []string {
	var requests []crashcause.Feature
	for _, a := range accused {
		if a.Depth == crashcause.WholeRequest {
			requests = append(requests, a.Feature)
		}
	}
	return namesOf(requests)
}
