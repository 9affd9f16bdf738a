// Package telemetry records the metrics of an instance, writes them in Prometheus
// text format, and writes one log line per request and per attempt.
package telemetry

import (
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/wire/httpanswer"
)

// Path is a kind of request, the value of the path label in metrics.
type Path string

// Kinds of requests.
const (
	PathChat    Path = "chat"
	PathService Path = "service"
	PathOther   Path = "other"
)

// Telemetry holds the metrics and the request log of one instance. Its methods
// may be called from several goroutines.
type Telemetry struct {
	set *metrics.Set
	log *logrus.Entry
}

// New returns telemetry with an empty set of metrics.
func New(log *logrus.Entry) *Telemetry {
	return &Telemetry{set: metrics.NewSet(), log: log}
}

// Request describes a finished request.
type Request struct {
	Path     Path
	ID       string
	Account  document.AccountID
	Revision config.Revision
	Ref      document.Ref
	Status   int
	// Problem is the type of the problem document, empty if there was none.
	Problem string
	// Outcome is "not_run", "ran" or "unknown".
	Outcome string
	Took    time.Duration
	// FirstFrame is the time until the first frame was sent to the caller, 0 if
	// there was none.
	FirstFrame time.Duration
}

// RecordRequest records and logs a finished request.
func (t *Telemetry) RecordRequest(request Request) {
	name := fmt.Sprintf(`wigeonusher_requests_total{path=%q,status="%d",problem=%q,outcome=%q}`,
		request.Path, request.Status, request.Problem, request.Outcome)
	t.set.GetOrCreateCounter(name).Inc()
	t.set.GetOrCreateHistogram(fmt.Sprintf(`wigeonusher_request_seconds{path=%q}`, request.Path)).Update(request.Took.Seconds())
	if request.FirstFrame > 0 {
		t.set.GetOrCreateHistogram(`wigeonusher_first_frame_seconds`).Update(request.FirstFrame.Seconds())
	}
	t.log.WithFields(logrus.Fields{
		"request":  request.ID,
		"account":  request.Account,
		"revision": request.Revision,
		"path":     request.Path,
		"status":   request.Status,
		"problem":  request.Problem,
		"outcome":  request.Outcome,
		"version":  request.Ref.String(),
		"took_ms":  request.Took.Milliseconds(),
	}).Info("request")
}

// maxLoggedParts bounds the parts of a prompt in the line of an attempt.
const maxLoggedParts = 8

// RecordAttempt records and logs an attempt at an endpoint.
func (t *Telemetry) RecordAttempt(event *relay.AttemptEvent) {
	t.set.GetOrCreateCounter(fmt.Sprintf(`wigeonusher_attempts_total{service=%q,verdict=%q}`, event.Service, event.Verdict)).Inc()
	if event.Version != "" {
		t.Count(fmt.Sprintf(`wigeonusher_version_attempts_total{service=%q,version=%q}`, event.Service, event.Version))
	}
	if event.EndedBy == relay.EndedByWatchdog {
		t.Count(fmt.Sprintf(`wigeonusher_attempts_canceled_total{service=%q,cause=%q}`, event.Service, event.WatchdogCause))
	}
	if event.Registration.Unlisted {
		t.Count(fmt.Sprintf(`wigeonusher_attempts_unlisted_total{service=%q}`, event.Service))
	}
	if event.Limit != nil && event.Limit.Named {
		t.Count(fmt.Sprintf(`wigeonusher_attempts_limited_total{service=%q}`, event.Service))
	}
	if event.Brittle != nil && event.Brittle.Named {
		t.Count(fmt.Sprintf(`wigeonusher_attempts_brittle_total{service=%q,verdict=%q}`, event.Service, event.Verdict))
	}
	t.countRequests(event)
	t.countExpectation(event)
	t.countBrokenAnswer(event)
	if event.InvalidLimit != "" {
		t.Count(fmt.Sprintf(`wigeonusher_invalid_limits_total{service=%q}`, event.Service))
	}
	if event.FirstEvent > 0 {
		t.set.GetOrCreateHistogram(fmt.Sprintf(`wigeonusher_first_event_seconds{service=%q,model=%q}`, event.Service, event.Model)).Update(event.FirstEvent.Seconds())
	}
	if event.Framing != "" {
		t.Count(fmt.Sprintf(`wigeonusher_answers_total{service=%q,framing=%q,verdict=%q}`, event.Service, event.Framing, event.Verdict))
	}
	fields := logrus.Fields{
		"request": event.RequestID, "session": event.Session, "arrival": event.Number, "service": event.Service, "endpoint": event.Endpoint,
		"version": event.Version, "model": event.Model, "revision": event.Revision, "verdict": event.Verdict,
		"status": event.Status, "confidence": event.Confidence, "events": event.Events,
		"took_ms": event.Took.Milliseconds(), "first_event_ms": event.FirstEvent.Milliseconds(),
		"after_ms": event.SinceArrival.Milliseconds(), "longest_gap_ms": event.LongestGap.Milliseconds(),
	}
	if event.PromptTokens > 0 {
		fields["prompt_tokens"], fields["usual_first_event_ms"] = event.PromptTokens, event.UsualFirstEvent.Milliseconds()
	}
	if event.Zone != "" {
		fields["zone"] = event.Zone
	}
	if event.Leave != "" {
		fields["left_zone"], fields["zone_bytes"] = event.Leave, event.ZoneBytes
		t.Count(fmt.Sprintf(`wigeonusher_requests_outside_zone_total{service=%q,zone=%q,reason=%q}`, event.Service, event.Zone, event.Leave))
		t.set.GetOrCreateCounter(fmt.Sprintf(`wigeonusher_zone_bytes_total{service=%q,zone=%q}`, event.Service, event.Zone)).Add(event.ZoneBytes)
	}
	if event.Registration.ViewAge > 0 {
		fields["view_age_ms"] = event.Registration.ViewAge.Milliseconds()
	}
	if event.Registration.Unlisted {
		fields["unlisted"] = true
	}
	if event.Limit != nil && event.Limit.Named {
		fields["limit_per_second"] = event.Limit.PerSecond
	}
	if event.ViaPeer {
		t.Count(fmt.Sprintf(`wigeonusher_forwarded_attempts_total{service=%q,verdict=%q}`, event.Service, event.Verdict))
		fields["via_peer"] = true
	}
	if event.HasLoad {
		fields["endpoint_load"] = event.Load
	}
	if event.Brittle != nil && event.Brittle.Named {
		fields["brittle"] = event.Brittle.PerSecond
	}
	if event.InvalidBrittle != "" {
		fields["invalid_brittle"] = event.InvalidBrittle
	}
	if event.InvalidLimit != "" {
		fields["invalid_limit"] = event.InvalidLimit
	}
	addEndpointRequests(fields, event)
	addExpectation(fields, event)
	AddAnswerEnd(fields, "", event)
	if event.EndedBy != "" {
		fields["ended_by"] = event.EndedBy
	}
	if event.EndedBy == relay.EndedByEndpoint {
		fields["head_ms"] = event.Head.Milliseconds()
		fields["shared_parts"] = event.SharedParts[:min(len(event.SharedParts), maxLoggedParts)]
	}
	if event.EndedBy == relay.EndedByWatchdog {
		fields["watchdog_cause"], fields["silence_ms"] = event.WatchdogCause, event.Silence.Milliseconds()
	}
	if event.Err != nil {
		fields["error"] = event.Err.Error()
	}
	t.log.WithFields(fields).Info("attempt")
}

// countRequests counts what the endpoint asks for in its answer.
func (t *Telemetry) countRequests(event *relay.AttemptEvent) {
	if event.Rest > 0 {
		t.Count(fmt.Sprintf(`wigeonusher_rests_total{service=%q}`, event.Service))
	}
	if event.Leaving {
		t.Count(fmt.Sprintf(`wigeonusher_answers_leaving_total{service=%q}`, event.Service))
	}
	if event.Cold > 0 {
		t.Count(fmt.Sprintf(`wigeonusher_answers_cold_total{service=%q}`, event.Service))
	}
	if event.InvalidRest != "" || event.InvalidLeaving != "" || event.InvalidCold != "" {
		t.Count(fmt.Sprintf(`wigeonusher_invalid_rests_total{service=%q}`, event.Service))
	}
}

// countBrokenAnswer counts answers that are rejected though net/http finds no fault in them.
func (t *Telemetry) countBrokenAnswer(event *relay.AttemptEvent) {
	switch {
	case errors.Is(event.Err, httpanswer.ErrMalformedHead), errors.Is(event.Err, httpanswer.ErrMalformedTrailer):
		t.Count(fmt.Sprintf(`wigeonusher_rejected_answers_total{service=%q,reason="malformed"}`, event.Service))
	case errors.Is(event.Err, httpanswer.ErrConnectionFailed):
		t.Count(fmt.Sprintf(`wigeonusher_rejected_answers_total{service=%q,reason="connection failed"}`, event.Service))
	}
}

// countExpectation counts why endpoints of services that report paces were chosen, and paces that have no
// effect. Attempts that were moved early are counted as canceled, by cause.
func (t *Telemetry) countExpectation(event *relay.AttemptEvent) {
	if event.Expected.Reason != "" {
		t.Count(fmt.Sprintf(`wigeonusher_choices_total{service=%q,reason=%q}`, event.Service, event.Expected.Reason))
	}
	if event.InvalidPace != "" {
		t.Count(fmt.Sprintf(`wigeonusher_invalid_paces_total{service=%q}`, event.Service))
	}
}

// addExpectation adds the fields of what was expected of the attempt.
func addExpectation(fields logrus.Fields, event *relay.AttemptEvent) {
	if expected := event.Expected; expected.Reason != "" {
		fields["choice"], fields["expected_first_event_ms"] = expected.Reason, expected.FirstEvent.Milliseconds()
		fields["expected_pace"], fields["expected_use"] = math.Round(100*expected.Pace)/100, math.Round(100*expected.Use)/100
		if expected.ReportAge >= 0 {
			fields["pace_age_ms"] = expected.ReportAge.Milliseconds()
		}
	}
	if event.InvalidPace != "" {
		fields["invalid_pace"] = event.InvalidPace
	}
}

// addEndpointRequests adds the fields of what the endpoint asks for in its answer.
func addEndpointRequests(fields logrus.Fields, event *relay.AttemptEvent) {
	if event.Rest > 0 {
		fields["rest_ms"] = event.Rest.Milliseconds()
	}
	if event.Leaving {
		fields["endpoint_leaving"] = true
	}
	if event.InvalidRest != "" {
		fields["invalid_rest"] = event.InvalidRest
	}
	if event.Cold > 0 {
		fields["cold_ms"] = event.Cold.Milliseconds()
	}
	if event.InvalidCold != "" {
		fields["invalid_cold"] = event.InvalidCold
	}
	if event.InvalidLeaving != "" {
		fields["invalid_leaving"] = event.InvalidLeaving
	}
}

// AddAnswerEnd adds the fields that show whether an attempt's answer was whole: its
// framing, and the bytes after the last complete event of a stream.
func AddAnswerEnd(fields logrus.Fields, prefix string, event *relay.AttemptEvent) {
	if event.Framing != "" {
		fields[prefix+"framing"] = event.Framing
	}
	if event.PartialEvent > 0 {
		fields[prefix+"partial_event_bytes"] = event.PartialEvent
	}
}

// Count increments a counter.
func (t *Telemetry) Count(name string) { t.set.GetOrCreateCounter(name).Inc() }

// Observe adds a value to a histogram.
func (t *Telemetry) Observe(name string, value float64) {
	t.set.GetOrCreateHistogram(name).Update(value)
}

// RecordBill records a bill and its cost in micro-units of money.
func (t *Telemetry) RecordBill(ref document.Ref, costMicro float64) {
	t.set.GetOrCreateCounter(fmt.Sprintf(`wigeonusher_bills_total{version=%q}`, ref)).Inc()
	t.set.GetOrCreateFloatCounter(fmt.Sprintf(`wigeonusher_billed_micro_total{version=%q}`, ref)).Add(costMicro)
}

// RecordRefusedBill records and logs a bill that could not be held.
func (t *Telemetry) RecordRefusedBill(requestID string, err error) {
	t.set.GetOrCreateCounter(`wigeonusher_bills_refused_total`).Inc()
	t.log.WithError(err).WithField("request", requestID).Error("bill could not be held")
}

// RegisterGauge registers a gauge whose value is read whenever the metrics are written.
func (t *Telemetry) RegisterGauge(name string, read func() float64) {
	t.set.GetOrCreateGauge(name, read)
}

// SetGauge sets a gauge.
func (t *Telemetry) SetGauge(name string, value float64) {
	t.set.GetOrCreateGauge(name, nil).Set(value)
}

// Write writes all metrics, including those of the process.
func (t *Telemetry) Write(w io.Writer) {
	t.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
