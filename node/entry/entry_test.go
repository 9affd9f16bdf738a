package entry

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/stop"
	"github.com/wigeonusher/wigeonusher/node/tailer"
)

// TestWaitingReadIsNoDisturbance guards against treating a read that waits until
// its timeout as an outage of the store. After an outage, removed endpoints are
// kept until registrations have had time to return; an endpoint removed in normal
// operation must not be kept.
func TestWaitingReadIsNoDisturbance(t *testing.T) {
	for _, c := range []struct {
		answeredAgo, verifiedAgo time.Duration
		unresponsive             bool
	}{
		{answeredAgo: 0, verifiedAgo: maxOperatorWait, unresponsive: false},
		{answeredAgo: maxOperatorWait, verifiedAgo: 2 * maxOperatorWait, unresponsive: false},
		{answeredAgo: maxOperatorWait + 100*time.Millisecond, verifiedAgo: 2*maxOperatorWait + 100*time.Millisecond, unresponsive: false},
		{answeredAgo: 3 * time.Second, verifiedAgo: 3 * time.Second, unresponsive: true},
	} {
		e := &Entry{stopping: stop.New()}
		e.currentSettings.Store(&Settings{})
		now := boottime.Now()
		e.operatorAnsweredAt.Store(int64(now) - int64(c.answeredAgo))
		e.verifiedAt.Store(int64(now) - int64(c.verifiedAgo))
		assert.Equal(t, e.isStoreUnresponsive(), c.unresponsive, "%v", c.answeredAgo)
	}
}

// TestRequestsOutlastAnOutageOfTheStore guards against proofs that are so old in steady state that
// requests with a key are refused soon after the store has become unreachable.
func TestRequestsOutlastAnOutageOfTheStore(t *testing.T) {
	for _, revocation := range []float64{2500, 5000, 9000} {
		settings := DefaultSettings()
		settings.Bounds.StrictRevocation, settings.Bounds.RevocationMillis = true, revocation
		e := &Entry{stopping: stop.New()}
		e.currentSettings.Store(&settings)
		oldestProof := 2 * e.operatorWait()
		if outlasted := e.configMaxAge() - oldestProof; outlasted < millis(outageFraction*revocation) {
			assert.Equal(t, e.operatorWait(), minOperatorWait, "revocation %v ms, outage of %v", revocation, outlasted)
		}
	}
}

// TestLateOperatorReadDoesNotProlongTheGracePeriod guards against sending requests
// to endpoints that left soon after an outage: the first read of the operator topic
// after the outage may wait for a record long after the registry was readable.
func TestLateOperatorReadDoesNotProlongTheGracePeriod(t *testing.T) {
	e := newEntryWithEndpoint()
	failed := boottime.Now()
	e.applyRegistry(tailer.Batch{Sent: failed, Recovered: true, LastFailure: failed})
	readable := time.Now()
	e.applyRegistry(tailer.Batch{Sent: boottime.Now(), Changes: []keyed.Change{{Key: "e"}}})
	assert.Equal(t, e.pools.Count(), 1, "the endpoint may register again")
	time.Sleep(50 * time.Millisecond)
	e.applyOperator(tailer.Batch{Recovered: true, LastFailure: failed})
	e.pools.Expire(readable.Add(2 * time.Second))
	assert.Equal(t, e.pools.Count(), 0)
}

// TestOutageThatARegistryReadOutlastsStartsTheGracePeriod guards against losing
// endpoints whose registration expired in an outage that only the reads of the
// operator topic noticed.
func TestOutageThatARegistryReadOutlastsStartsTheGracePeriod(t *testing.T) {
	e := newEntryWithEndpoint()
	e.applyRegistry(tailer.Batch{})
	time.Sleep(time.Millisecond)
	e.applyOperator(tailer.Batch{Recovered: true, LastFailure: boottime.Now()})
	e.applyRegistry(tailer.Batch{Changes: []keyed.Change{{Key: "e"}}})
	assert.Equal(t, e.pools.Count(), 1)
	e.pools.Expire(time.Now().Add(2 * time.Second))
	assert.Equal(t, e.pools.Count(), 0)
}

// TestOverdueOperatorReadDoesNotProlongTheGracePeriod guards against sending requests
// to endpoints that left soon after an outage: while the first read of the operator
// topic after the outage is unanswered, reads of the registry are answered.
func TestOverdueOperatorReadDoesNotProlongTheGracePeriod(t *testing.T) {
	e := newEntryWithEndpoint()
	e.operatorAnsweredAt.Store(int64(boottime.Now()) - int64(5*time.Second))
	e.applyRegistry(tailer.Batch{Sent: boottime.Now(), Recovered: true, LastFailure: boottime.Now()})
	readable := time.Now()
	time.Sleep(50 * time.Millisecond)
	e.applyRegistry(tailer.Batch{Sent: boottime.Now(), Changes: []keyed.Change{{Key: "e"}}})
	e.pools.Expire(readable.Add(2 * time.Second))
	assert.Equal(t, e.pools.Count(), 0)
}

// TestOutageWithinARegistryReadStartsTheGracePeriod guards against losing endpoints
// whose registration expired in an outage that no read has reported as a failure.
func TestOutageWithinARegistryReadStartsTheGracePeriod(t *testing.T) {
	e := newEntryWithEndpoint()
	sent := boottime.Now() - boottime.Instant(4*time.Second)
	e.operatorAnsweredAt.Store(int64(sent))
	e.applyRegistry(tailer.Batch{Sent: sent, Changes: []keyed.Change{{Key: "e"}}})
	assert.Equal(t, e.pools.Count(), 1)
}

func newEntryWithEndpoint() *Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e := &Entry{stopping: stop.New(), pools: pool.New("z", logrus.NewEntry(logger))}
	e.operatorAnsweredAt.Store(int64(boottime.Now()))
	e.pools.Put(pool.Record{ID: "e", Service: "s", Address: "127.0.0.1:1", Zone: "z", Version: "v1", Slots: 1})
	e.currentSettings.Store(&Settings{})
	return e
}

func TestAllFindingsOfSettingsAreReported(t *testing.T) {
	_, err := ParseSettings("file", []byte(`{
		"name": "", "zone": 7, "client_address": "nowhere", "odd": 1,
		"limits": {"memory_mb": "much", "more": 1}, "bounds": {"retry_ratio": 2}
	}`))
	list, ok := err.(finding.List)
	assert.Assert(t, ok, "%v", err)
	for _, place := range []string{"file/zone", "file/odd", "file/limits/memory_mb", "file/limits/more"} {
		assert.Assert(t, strings.Contains(list.Error(), place), "%s in\n%s", place, list)
	}
	_, err = ParseSettings("file", []byte(`{"bounds": {"retry_ratio": 2}, "routing": {"accept_confidence": [0.5, 3]}}`))
	list, ok = err.(finding.List)
	assert.Assert(t, ok, "%v", err)
	for _, place := range []string{"/name", "/zone", "/client_address", "/bounds/retry_ratio", "/routing/accept_confidence/1"} {
		if place == "/name" {
			continue // the name has a default
		}
		assert.Assert(t, strings.Contains(list.Error(), place), "%s in\n%s", place, list)
	}
}

func TestBrokenSettings(t *testing.T) {
	for _, body := range []string{"", "[]", "{", `{"limits": 3}`} {
		_, err := ParseSettings("file", []byte(body))
		assert.Assert(t, err != nil, "%q", body)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"name":"a","limits":{"memory_mb":1}}`))
	f.Add([]byte(`{"seeds":[1]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = ParseSettings("file", body) // must not panic on any input
	})
}

func TestRetryBudgetsStayBelowTheFleetsBound(t *testing.T) {
	bounds := Bounds{RetryRatio: 0.9, RetrySlack: 58, RetryWindowMillis: 10_000}
	now := time.Now()
	for _, instances := range []int{1, 3, 9, 12, 30, 78} {
		total, requests := 0, 0
		for range instances {
			b := newBudgets(bounds, now)
			budget := b.Budget("s")
			b.setLiveInstances(now.Add(-time.Minute), instances)
			b.setLiveInstances(now, instances)
			for range 400 / instances {
				requests++
				budget.RecordRequest(now)
				for budget.WithdrawUrgent(now) {
					total++
				}
			}
		}
		bound := int(bounds.RetryRatio*float64(requests) + bounds.RetrySlack)
		assert.Assert(t, total <= bound, "%d instances: %d retries of %d requests, bound %d", instances, total, requests, bound)
	}
}

// unnotifiedLog is a log whose reads answer at the end of their wait only.
type unnotifiedLog struct {
	keyed.Log
	mu      sync.Mutex
	records []keyed.Record
}

func (l *unnotifiedLog) append(record keyed.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, record)
}

func (l *unnotifiedLog) Newest(context.Context, keyed.Topic) (keyed.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return keyed.Page{Records: l.records, Next: keyed.Position{Offset: 1}}, nil
}

func (l *unnotifiedLog) Read(_ context.Context, _ keyed.Topic, from keyed.Position, wait time.Duration) (keyed.Page, error) {
	time.Sleep(wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	page := keyed.Page{Next: from}
	for _, record := range l.records[from.Offset:] {
		page.Records, page.Next.Offset = append(page.Records, record), record.Offset+1
	}
	return page, nil
}

// registryOnly is a [Platform] that has a registry and nothing else.
type registryOnly struct {
	Platform
	log keyed.Log
}

func (r registryOnly) Log() keyed.Log { return r.log }
func (r registryOnly) Topics() Topics { return Topics{Registry: "registry"} }
func (r registryOnly) DecodeEndpoint(change keyed.Change) (pool.Record, error) {
	return pool.Record{ID: platform.EndpointID(change.Key), Service: "s"}, nil
}

// A read of the registry that hangs must not hide for longer than the drain time that an
// endpoint has left.
func TestReadThatHangsDoesNotHideALeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := &unnotifiedLog{records: []keyed.Record{{Key: "e", Value: []byte("{}")}}}
		e := newEntryWithEndpoint()
		e.platform, e.log = registryOnly{log: registry}, logrus.NewEntry(logrus.New())
		e.log.Logger.SetOutput(io.Discard)
		settings := DefaultSettings()
		e.currentSettings.Store(&settings)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- e.registryTailer().Run(ctx) }()
		time.Sleep(time.Second)
		registry.append(keyed.Record{Key: "e", Offset: 1})
		time.Sleep(millis(settings.Bounds.EndpointDrainMillis))
		assert.Equal(t, e.pools.Count(), 0)
		cancel()
		assert.NilError(t, <-done)
	})
}
