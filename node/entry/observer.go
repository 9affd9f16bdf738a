package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/relay"
)

// observer counts and logs what happens to requests.
type observer struct {
	log *logrus.Entry
	set *metrics.Set
}

func newObserver(log *logrus.Entry) *observer {
	return &observer{log: log, set: metrics.NewSet()}
}

func (o *observer) gauges(e *Entry) {
	o.set.GetOrCreateGauge(`wigeonusher_config_revision`, func() float64 {
		if table := e.table.Load(); table != nil {
			return float64(table.Revision)
		}
		return 0
	})
	o.set.GetOrCreateGauge(`wigeonusher_config_age_seconds`, func() float64 {
		return boottime.Since(boottime.Instant(e.provenAt.Load())).Seconds()
	})
	o.set.GetOrCreateGauge(`wigeonusher_endpoints`, func() float64 { return float64(e.pools.Count()) })
}

// Attempted implements [relay.Observer].
func (o *observer) Attempted(event *relay.AttemptEvent) {
	o.set.GetOrCreateCounter(fmt.Sprintf(`wigeonusher_attempts_total{service=%q,verdict=%q}`, event.Service, event.Verdict)).Inc()
	if event.FirstEvent > 0 {
		o.set.GetOrCreateHistogram(fmt.Sprintf(`wigeonusher_first_event_seconds{service=%q,model=%q}`, event.Service, event.Model)).Update(event.FirstEvent.Seconds())
	}
	fields := logrus.Fields{
		"request": event.RequestID, "session": event.Session, "arrival": event.Number, "service": event.Service, "endpoint": event.Endpoint,
		"version": event.Version, "model": event.Model, "revision": event.Revision, "verdict": event.Verdict,
		"status": event.Status, "confidence": event.Confidence, "events": event.Events,
		"took_ms": event.Took.Milliseconds(), "first_event_ms": event.FirstEvent.Milliseconds(),
		"after_ms": event.SinceStart.Milliseconds(), "longest_gap_ms": event.LongestGap.Milliseconds(),
	}
	if event.Err != nil {
		fields["error"] = event.Err.Error()
	}
	o.log.WithFields(fields).Info("attempt")
}

// Done implements [relay.Observer].
func (o *observer) Done(event *relay.DoneEvent) {
	outcome := "answered"
	switch {
	case event.Refusal != nil:
		outcome = string(event.Refusal.Reason)
	case event.Aborted:
		outcome = "broken off"
	case event.Gone:
		outcome = "client gone"
	}
	o.set.GetOrCreateCounter(fmt.Sprintf(`wigeonusher_requests_total{outcome=%q}`, outcome)).Inc()
	o.set.GetOrCreateHistogram(`wigeonusher_request_seconds`).Update(event.Took.Seconds())
	fields := logrus.Fields{
		"request": event.RequestID, "route": event.Route, "account": event.Account, "revision": event.Revision,
		"config_age_ms": event.ConfigAge.Milliseconds(), "arrivals": event.Attempts, "outcome": outcome,
		"status": event.Status, "took_ms": event.Took.Milliseconds(),
	}
	if event.Refusal != nil {
		fields["not_run"] = event.Refusal.NotRun
		fields["retry_after_ms"] = event.Refusal.RetryAfter.Milliseconds()
	}
	o.log.WithFields(fields).Info("request")
}
