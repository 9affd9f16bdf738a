package entry

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/stop"
	"github.com/wigeonusher/wigeonusher/node/tailer"
	"github.com/wigeonusher/wigeonusher/node/telemetry"
)

// observer records metrics and logs of requests.
type observer struct {
	*telemetry.Telemetry
	log      *logrus.Entry
	stopping *stop.Stop
}

func newObserver(log *logrus.Entry, stopping *stop.Stop) *observer {
	return &observer{Telemetry: telemetry.New(log), log: log, stopping: stopping}
}

func (o *observer) registerGauges(e *Entry) {
	o.RegisterGauge(`wigeonusher_config_revision`, func() float64 {
		if table := e.table.Load(); table != nil {
			return float64(table.Revision)
		}
		return 0
	})
	o.RegisterGauge(`wigeonusher_config_age_seconds`, func() float64 {
		return boottime.Since(boottime.Instant(e.verifiedAt.Load())).Seconds()
	})
	o.RegisterGauge(`wigeonusher_registry_age_seconds`, func() float64 { return e.pools.ViewAge().Seconds() })
	o.RegisterGauge(`wigeonusher_endpoint_limits`, func() float64 { return float64(e.pools.LimitedCount()) })
	o.RegisterGauge(`wigeonusher_evacuated_zones`, func() float64 { return float64(len(e.pools.EvacuatedZones())) })
	o.RegisterGauge(`wigeonusher_cold_endpoints`, func() float64 { return float64(e.pools.ColdCount(time.Now())) })
	o.RegisterGauge(`wigeonusher_cold_sends_total{outcome="permitted"}`, func() float64 {
		sent, _ := e.pools.ColdSends()
		return float64(sent)
	})
	o.RegisterGauge(`wigeonusher_cold_sends_total{outcome="withdrawn"}`, func() float64 {
		_, withdrawn := e.pools.ColdSends()
		return float64(withdrawn)
	})
	o.RegisterGauge(`wigeonusher_fleet_size`, func() float64 { return float64(e.cluster.LiveCount()) })
	o.RegisterGauge(`wigeonusher_broken_paths`, func() float64 { return float64(len(e.pools.BrokenPaths())) })
	o.RegisterGauge(`wigeonusher_guilty_features`, func() float64 { return float64(e.crashes.GuiltyCount()) })
	o.RegisterGauge(`wigeonusher_memory_held_bytes`, func() float64 {
		held, _ := e.memory.Usage()
		return float64(held)
	})
	o.RegisterGauge(`wigeonusher_memory_budget_bytes`, func() float64 {
		_, total := e.memory.Usage()
		return float64(total)
	})
	o.RegisterGauge(`wigeonusher_client_connections`, func() float64 {
		open, _ := e.clientServer.Connections()
		return float64(open)
	})
	o.RegisterGauge(`wigeonusher_client_connections_allowed`, func() float64 {
		_, limit := e.clientServer.Connections()
		return float64(limit)
	})
	o.RegisterGauge(`wigeonusher_client_connections_running`, func() float64 { return float64(e.clientServer.RunningRequests()) })
	o.RegisterGauge(`wigeonusher_endpoints`, func() float64 { return float64(e.pools.Count()) })
}

// registerShares registers the gauges of the shares of requests that run in other zones.
func (o *observer) registerShares(pools *pool.Pools) {
	for _, share := range pools.ZoneShares() {
		o.RegisterGauge(fmt.Sprintf(`wigeonusher_zone_share{service=%q,zone=%q}`, share.Service, share.Zone), func() float64 {
			return pools.ZoneShare(share.Service, share.Zone)
		})
	}
}

// registerTopic registers the gauges of a topic: whether this instance reads it from the log, how old
// its knowledge is, and how much its last read of the log has left there.
func (o *observer) registerTopic(followed *tailer.Tailer) {
	o.RegisterGauge(fmt.Sprintf(`wigeonusher_topic_reads_log{topic=%q}`, followed.Topic()), func() float64 {
		if followed.Status().ReadsLog {
			return 1
		}
		return 0
	})
	o.RegisterGauge(fmt.Sprintf(`wigeonusher_topic_proof_age_seconds{topic=%q}`, followed.Topic()), func() float64 {
		return float64(followed.Status().ProofAgeMillis) / 1000
	})
	o.RegisterGauge(fmt.Sprintf(`wigeonusher_topic_unread_records{topic=%q}`, followed.Topic()), func() float64 {
		return float64(followed.Status().UnreadRecords)
	})
}

// Done implements [relay.Observer].
func (o *observer) Done(event *relay.DoneEvent) {
	o.stopping.RecordEnd(event)
	outcome := "answered"
	switch {
	case event.Refusal != nil:
		outcome = string(event.Refusal.Reason)
	case event.Aborted:
		outcome = "broken off"
	case event.CutOff:
		outcome = "cut off"
	case event.ClientGone:
		outcome = "client gone"
	}
	o.Count(fmt.Sprintf(`wigeonusher_requests_total{outcome=%q}`, outcome))
	o.Observe(`wigeonusher_request_seconds`, event.Took.Seconds())
	fields := logrus.Fields{
		"request": event.RequestID, "route": event.Route, "account": event.Account, "revision": event.Revision,
		"config_age_ms": event.ConfigAge.Milliseconds(), "arrivals": event.Attempts, "unsent": event.Unsent, "outcome": outcome,
		"status": event.Status, "took_ms": event.Took.Milliseconds(),
	}
	if event.Objective > 0 {
		fields["objective_ms"] = event.Objective.Milliseconds()
	}
	if event.FirstEvent > 0 {
		fields["first_after_ms"] = event.FirstEvent.Milliseconds()
	}
	if event.Refusal != nil {
		fields["not_run"] = event.Refusal.NotRun
		fields["retry_after_ms"] = event.Refusal.RetryAfter.Milliseconds()
		if event.Refusal.Cause != nil {
			fields["cause"] = event.Refusal.Cause.Error()
		}
	}
	if event.Admission != "" {
		fields["admission"] = event.Admission
	}
	if event.Aborted {
		o.Count(fmt.Sprintf(`wigeonusher_answers_broken_off_total{reason=%q}`, event.Stopped))
	}
	if event.Last != nil {
		telemetry.AddAnswerEnd(fields, "", event.Last)
	}
	if event.Stopped != "" {
		addStop(fields, event)
	}
	o.log.WithFields(fields).Info("request")
}

// addStop adds the reason why no further attempt was made, the last attempt, and
// the last one whose answer is not complete. The lines of the attempts may be lost.
func addStop(fields logrus.Fields, event *relay.DoneEvent) {
	fields["stop_reason"] = event.Stopped
	if last := event.Last; last != nil {
		fields["last_endpoint"], fields["last_version"], fields["last_verdict"] = last.Endpoint, last.Version, last.Verdict
		if last.Err != nil {
			fields["last_error"] = last.Err.Error()
		}
	}
	if broken := event.Broken; broken != nil {
		fields["broken_endpoint"], fields["broken_version"], fields["broken_by"] = broken.Endpoint, broken.Version, broken.EndedBy
		telemetry.AddAnswerEnd(fields, "broken_", broken)
		fields["broken_after_ms"] = (broken.SinceArrival + broken.Took).Milliseconds()
		if broken.EndedBy == relay.EndedByWatchdog {
			fields["broken_cause"], fields["broken_silence_ms"] = broken.WatchdogCause, broken.Silence.Milliseconds()
		}
	}
}
