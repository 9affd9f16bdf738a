package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/stop"
)

// newTestObserver returns an observer and the buffer that receives its log lines.
func newTestObserver() (*observer, *bytes.Buffer) {
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return newObserver(logrus.NewEntry(logger), stop.New()), &log
}

// parseLine returns the fields of a log's only line without its level and time.
func parseLine(t *testing.T, log *bytes.Buffer) map[string]any {
	t.Helper()
	var fields map[string]any
	assert.NilError(t, json.Unmarshal(log.Bytes(), &fields), log.String())
	for _, name := range []string{"level", "time"} {
		delete(fields, name)
	}
	return fields
}

func assertMetric(t *testing.T, o *observer, line string) {
	t.Helper()
	var metrics strings.Builder
	o.Write(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), line+"\n"), "%s in\n%s", line, metrics.String())
}

func assertNoMetric(t *testing.T, o *observer, name string) {
	t.Helper()
	var metrics strings.Builder
	o.Write(&metrics)
	assert.Assert(t, !strings.Contains(metrics.String(), name), metrics.String())
}

// The lines of the attempts may be lost, so the final line must do without them.
func TestFinalLineOfABrokenOffAnswerSaysWhy(t *testing.T) {
	o, log := newTestObserver()
	broken := &relay.AttemptEvent{
		Endpoint: "i-1", Version: "v1", Verdict: "broken", EndedBy: relay.EndedByWatchdog,
		WatchdogCause: relay.CauseProbeTimedOut, Silence: 776 * time.Millisecond,
		SinceArrival: time.Second, Took: 300 * time.Millisecond,
	}
	o.Done(&relay.DoneEvent{
		RequestID: "id-1", Route: "r", Account: "a", Revision: 7, Status: 200, Took: 2 * time.Second, Aborted: true,
		Attempts: 2, Unsent: 6, Stopped: relay.StopUnsent, Broken: broken,
		Last: &relay.AttemptEvent{Endpoint: "i-2", Version: "v1", Verdict: "not sent", Err: errors.New("connection refused")},
	})
	assert.DeepEqual(t, parseLine(t, log), map[string]any{
		"msg": "request", "request": "id-1", "route": "r", "account": "a", "revision": 7.0, "config_age_ms": 0.0,
		"outcome": "broken off", "status": 200.0, "took_ms": 2000.0, "arrivals": 2.0, "unsent": 6.0,
		"stop_reason":   "no endpoint could be connected to",
		"last_endpoint": "i-2", "last_version": "v1", "last_verdict": "not sent", "last_error": "connection refused",
		"broken_endpoint": "i-1", "broken_version": "v1", "broken_by": "watchdog", "broken_after_ms": 1300.0,
		"broken_cause": "probe timed out", "broken_silence_ms": 776.0,
	})
	assertMetric(t, o, `wigeonusher_answers_broken_off_total{reason="no endpoint could be connected to"} 1`)
	assertMetric(t, o, `wigeonusher_requests_total{outcome="broken off"} 1`)
}

func TestLineOfAnAnsweredRequestHasNoStopReason(t *testing.T) {
	o, log := newTestObserver()
	delivered := &relay.AttemptEvent{Endpoint: "i-1", Verdict: "delivered"}
	o.Done(&relay.DoneEvent{RequestID: "id-1", Status: 200, Attempts: 1, Last: delivered})
	assert.DeepEqual(t, parseLine(t, log), map[string]any{
		"msg": "request", "request": "id-1", "route": "", "account": "", "revision": 0.0, "config_age_ms": 0.0,
		"outcome": "answered", "status": 200.0, "took_ms": 0.0, "arrivals": 1.0, "unsent": 0.0,
	})
	assertNoMetric(t, o, "wigeonusher_answers_broken_off_total")
}

// Without its framing, a short answer that was delivered looks like a complete one.
func TestLinesOfAnAnswerSayHowItsEndWasMarked(t *testing.T) {
	o, log := newTestObserver()
	delivered := &relay.AttemptEvent{Service: "s", Endpoint: "i-1", Verdict: "delivered", Framing: relay.FramedByConnection, PartialEvent: 9}
	o.RecordAttempt(delivered)
	fields := parseLine(t, log)
	assert.Equal(t, fields["framing"], "connection")
	assert.Equal(t, fields["partial_event_bytes"], 9.0)
	assertMetric(t, o, `wigeonusher_answers_total{service="s",framing="connection",verdict="delivered"} 1`)

	log.Reset()
	o.Done(&relay.DoneEvent{RequestID: "id-1", Status: 200, Attempts: 1, Last: delivered})
	fields = parseLine(t, log)
	assert.Equal(t, fields["framing"], "connection")
	assert.Equal(t, fields["partial_event_bytes"], 9.0)

	log.Reset()
	o.Done(&relay.DoneEvent{RequestID: "id-2", Status: 200, Aborted: true, Stopped: relay.StopRuns, Last: delivered, Broken: delivered})
	fields = parseLine(t, log)
	assert.Equal(t, fields["broken_framing"], "connection")
	assert.Equal(t, fields["broken_partial_event_bytes"], 9.0)
}

func TestAttemptThatTheWatchdogCanceledIsNotCountedAsTheEndpoints(t *testing.T) {
	o, log := newTestObserver()
	o.RecordAttempt(&relay.AttemptEvent{Service: "s", Verdict: "broken", EndedBy: relay.EndedByEndpoint})
	fields := parseLine(t, log)
	assert.Equal(t, fields["ended_by"], "endpoint")
	assert.Equal(t, fields["silence_ms"], nil)
	assertNoMetric(t, o, "wigeonusher_attempts_canceled_total")

	log.Reset()
	o.RecordAttempt(&relay.AttemptEvent{
		Service: "s", Verdict: "broken", EndedBy: relay.EndedByWatchdog, WatchdogCause: relay.CauseSilence, Silence: time.Second,
	})
	fields = parseLine(t, log)
	assert.Equal(t, fields["ended_by"], "watchdog")
	assert.Equal(t, fields["watchdog_cause"], "silent too long")
	assert.Equal(t, fields["silence_ms"], 1000.0)
	assertMetric(t, o, `wigeonusher_attempts_canceled_total{service="s",cause="silent too long"} 1`)
}
