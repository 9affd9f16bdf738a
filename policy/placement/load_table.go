package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// LoadTable combines the load reports of endpoints with this instance's dispatches and
// the peers' counts of dispatches in flight. It is safe for concurrent use: each shard
// has its own lock.
type LoadTable struct {
	shards [loadShards]loadShard
}

const loadShards = 16

type loadShard struct {
	mu        sync.Mutex
	endpoints map[platform.EndpointID]*endpointLoad
}

// NewLoadTable returns an empty table.
func NewLoadTable() *LoadTable {
	table := &LoadTable{}
	for i := range table.shards {
		table.shards[i].endpoints = make(map[platform.EndpointID]*endpointLoad)
	}
	return table
}

// RecordReport records a load report of an endpoint, from a poll of this instance or
// from a peer's digest. age is the report's age at now. A report that is not
// newer than the recorded one is dropped. RecordReport returns whether it recorded
// the report.
func (t *LoadTable) RecordReport(now time.Time, endpoint platform.EndpointID, running, queued int, age time.Duration) bool {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load := shard.load(endpoint)
	reportedAt := now.Add(-max(0, age))
	if load.reported && !reportedAt.After(load.reportedAt) {
		return false
	}
	load.reported = true
	load.reportedAt = reportedAt
	load.running = max(0, running)
	load.queued = max(0, queued)
	return true
}

// RecordDispatch counts a request that this instance sends to the endpoint.
func (t *LoadTable) RecordDispatch(now time.Time, endpoint platform.EndpointID) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load := shard.load(endpoint)
	load.inFlight++
	load.usedAt = now
	load.history.add(now, 1, 0)
}

// RecordCompletion counts the end of a request counted by
// [LoadTable.RecordDispatch]. firstToken is the time to its first token, or 0 if
// there was none.
func (t *LoadTable) RecordCompletion(now time.Time, endpoint platform.EndpointID, firstToken time.Duration, failed bool) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load := shard.load(endpoint)
	load.usedAt = now
	if load.inFlight > 0 {
		load.inFlight--
		load.history.add(now, 0, 1)
	}
	load.failures.add(now, failed)
	if firstToken > 0 {
		load.firstToken.add(now, firstToken)
	}
}

// RecordPeerInFlight records the number of dispatches to the endpoint that a peer
// had in flight, according to its digest of the given age.
func (t *LoadTable) RecordPeerInFlight(now time.Time, peer platform.InstanceID, endpoint platform.EndpointID, inFlight int, age time.Duration) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.load(endpoint).peers.record(peer, inFlight, now.Add(-max(0, age)))
}

// Reserve handles a peer's request to dispatch to an endpoint that this
// instance owns. It returns the number of requests in flight there from all
// instances, as known here, before the reservation. If there is a free slot,
// or if the peer will dispatch in any case, it counts the dispatch and granted
// is true.
func (t *LoadTable) Reserve(now time.Time, peer platform.InstanceID, endpoint platform.EndpointID, slots int, inAnyCase bool) (outstanding int, granted bool) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load := shard.load(endpoint)
	peersInFlight, _ := load.peers.sum(now)
	outstanding = load.inFlight + peersInFlight
	granted = inAnyCase || outstanding < slots
	if granted {
		load.peers.add(peer, 1, now)
	}
	return outstanding, granted
}

// Outstanding returns the number of requests in flight at an endpoint from all
// instances, as known here.
func (t *LoadTable) Outstanding(now time.Time, endpoint platform.EndpointID) int {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load := shard.load(endpoint)
	peersInFlight, _ := load.peers.sum(now)
	return load.inFlight + peersInFlight
}

// Release counts the end of a dispatch that was granted to a peer.
func (t *LoadTable) Release(now time.Time, peer platform.InstanceID, endpoint platform.EndpointID) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.load(endpoint).peers.add(peer, -1, now)
}

// Fill sets the load fields of the candidate from the table.
func (t *LoadTable) Fill(now time.Time, candidate *Candidate) {
	shard := t.shard(candidate.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load, ok := shard.endpoints[candidate.ID]
	if !ok {
		candidate.ReportAge = NoReportAge
		candidate.PeerAge = NoReportAge
		return
	}
	load.fill(now, candidate)
}

// Forget removes an endpoint.
func (t *LoadTable) Forget(endpoint platform.EndpointID) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.endpoints, endpoint)
}

// Snapshot returns the loads for the digest to peers: the reports that are no
// older than maxAge, and this instance's recent dispatches. The order is
// undefined.
func (t *LoadTable) Snapshot(now time.Time, maxAge time.Duration) []LoadReport {
	var reports []LoadReport
	for i := range t.shards {
		reports = t.shards[i].snapshot(now, maxAge, reports)
	}
	return reports
}

// LoadReport is one endpoint's load. Running and Queued are the endpoint's last
// report, which is Age old, if Reported is set. InFlight is the current number
// of this instance's dispatches in flight.
type LoadReport struct {
	Endpoint platform.EndpointID
	Reported bool
	Running  int
	Queued   int
	Age      time.Duration
	InFlight int
	// RecentlyUsed reports whether this instance has dispatches in flight at the
	// endpoint or had some recently, so that peers also receive a final InFlight of 0.
	RecentlyUsed bool
}

func (t *LoadTable) shard(endpoint platform.EndpointID) *loadShard {
	return &t.shards[xxhash.Sum64String(string(endpoint))%loadShards]
}

func (s *loadShard) load(endpoint platform.EndpointID) *endpointLoad {
	load, ok := s.endpoints[endpoint]
	if !ok {
		load = &endpointLoad{}
		s.endpoints[endpoint] = load
	}
	return load
}

func (s *loadShard) snapshot(now time.Time, maxAge time.Duration, reports []LoadReport) []LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for endpoint, load := range s.endpoints {
		report := load.report(now, maxAge)
		if report.Reported || report.RecentlyUsed {
			report.Endpoint = endpoint
			reports = append(reports, report)
		}
	}
	return reports
}

// NoReportAge is the age used for endpoints without a report. It is also the
// maximum ReportAge.
const NoReportAge = time.Hour

// endpointLoad is the state of one endpoint.
type endpointLoad struct {
	reported   bool
	reportedAt time.Time
	running    int
	queued     int
	inFlight   int
	usedAt     time.Time // time of the last dispatch or completion
	history    history
	peers      peerLoads
	failures   failureRate
	firstToken delayAverage
}

func (l *endpointLoad) report(now time.Time, maxAge time.Duration) LoadReport {
	report := LoadReport{
		InFlight:     l.inFlight,
		RecentlyUsed: l.inFlight > 0 || now.Sub(l.usedAt) <= peerLoadExpiry,
	}
	age := max(0, now.Sub(l.reportedAt))
	if l.reported && age <= maxAge {
		report.Reported = true
		report.Running = l.running
		report.Queued = l.queued
		report.Age = age
	}
	return report
}

func (l *endpointLoad) fill(now time.Time, candidate *Candidate) {
	candidate.InFlight = l.inFlight
	candidate.FailureRate = l.failures.current(now)
	candidate.FirstTokenMillis = l.firstToken.current(now)
	candidate.PeerInFlight, candidate.PeerAge = l.peers.sum(now)
	candidate.ReportAge = NoReportAge
	if !l.reported {
		return
	}
	candidate.Running = l.running
	candidate.Queued = l.queued
	candidate.ReportAge = min(NoReportAge, max(0, now.Sub(l.reportedAt)))
	if l.usedAt.After(l.reportedAt) {
		candidate.Sent, candidate.Ended = l.history.since(now, l.reportedAt)
	}
}

// failureRate is a moving average of the share of failed dispatches. It decays
// with time, so that an endpoint that was filtered out is used again.
type failureRate struct {
	updatedAt time.Time
	value     float64
}

const (
	failureHalfLife     = 5 * time.Second
	failureSampleWeight = 0.3
)

func (f *failureRate) add(now time.Time, failed bool) {
	value := f.current(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	f.value = value + failureSampleWeight*(sample-value)
	f.updatedAt = now
}

func (f *failureRate) current(now time.Time) float64 {
	return f.value * decay(now.Sub(f.updatedAt), failureHalfLife)
}

// delayAverage is an exponentially weighted moving average that expires.
type delayAverage struct {
	updatedAt time.Time
	millis    float64
}

const (
	delaySampleWeight = 0.2
	delayExpiry       = 15 * time.Second
)

func (d *delayAverage) add(now time.Time, sample time.Duration) {
	millis := float64(sample) / float64(time.Millisecond)
	previous := d.current(now)
	if previous == 0 {
		previous = millis
	}
	d.millis = previous + delaySampleWeight*(millis-previous)
	d.updatedAt = now
}

func (d *delayAverage) current(now time.Time) float64 {
	if now.Sub(d.updatedAt) > delayExpiry {
		return 0
	}
	return d.millis
}

// decay returns the factor by which a value decays in the elapsed time.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, elapsed)) / float64(halfLife))
}
