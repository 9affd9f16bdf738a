package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// LoadTable merges the load reports of endpoints with this instance's own
// dispatches since. Many goroutines may use it: its state is in shards, each
// under its own lock.
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

// Report takes a load report of an endpoint, from this instance's own poll or
// from a peer's digest. Age is the report's age at now; a report that is not
// newer than the one held is dropped. It reports whether the report was taken.
func (t *LoadTable) Report(now time.Time, endpoint platform.EndpointID, running, queued int, age time.Duration) bool {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load := shard.load(endpoint)
	at := now.Add(-max(0, age))
	if load.reported && !at.After(load.reportedAt) {
		return false
	}
	load.reported = true
	load.reportedAt = at
	load.running = max(0, running)
	load.queued = max(0, queued)
	return true
}

// Dispatched counts a request that this instance sends to the endpoint.
func (t *LoadTable) Dispatched(now time.Time, endpoint platform.EndpointID) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load := shard.load(endpoint)
	load.inFlight++
	load.usedAt = now
	load.history.add(now, 1, 0)
}

// Finished counts the end of a request counted by [LoadTable.Dispatched].
// FirstToken is the time that its first token took, 0 if there was none.
func (t *LoadTable) Finished(now time.Time, endpoint platform.EndpointID, firstToken time.Duration, failed bool) {
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

// PeerInFlight takes from a peer's digest how many dispatches to the endpoint
// the peer had in flight, age before now.
func (t *LoadTable) PeerInFlight(now time.Time, peer platform.InstanceID, endpoint platform.EndpointID, inFlight int, age time.Duration) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.load(endpoint).peers.told(peer, inFlight, now.Add(-max(0, age)))
}

// Reserve answers a peer's ask for an endpoint that this instance owns. It
// returns the requests that all instances are known to have there. If there is
// a free slot, or if the peer will dispatch in any case, the dispatch is
// counted and granted is true.
func (t *LoadTable) Reserve(now time.Time, peer platform.InstanceID, endpoint platform.EndpointID, slots int, inAnyCase bool) (outstanding int, granted bool) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load := shard.load(endpoint)
	others, _ := load.peers.sum(now)
	outstanding = load.inFlight + others
	granted = inAnyCase || outstanding < slots
	if granted {
		load.peers.add(peer, 1, now)
	}
	return outstanding, granted
}

// Outstanding returns the requests that all instances are known to have at an
// endpoint.
func (t *LoadTable) Outstanding(now time.Time, endpoint platform.EndpointID) int {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	load := shard.load(endpoint)
	others, _ := load.peers.sum(now)
	return load.inFlight + others
}

// Release counts the end of a dispatch that was granted to a peer.
func (t *LoadTable) Release(now time.Time, peer platform.InstanceID, endpoint platform.EndpointID) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.load(endpoint).peers.add(peer, -1, now)
}

// Fill completes the candidate with what the table knows of it.
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

// Forget drops an endpoint that is gone.
func (t *LoadTable) Forget(endpoint platform.EndpointID) {
	shard := t.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.endpoints, endpoint)
}

// Snapshot returns what the digest tells peers of endpoints: the reports that
// are no older than maxAge, and this instance's own dispatches of late. The
// order is not defined.
func (t *LoadTable) Snapshot(now time.Time, maxAge time.Duration) []LoadReport {
	var reports []LoadReport
	for i := range t.shards {
		reports = t.shards[i].snapshot(now, maxAge, reports)
	}
	return reports
}

// LoadReport is one endpoint's load. Running and Queued are as they were Age
// ago, if Reported; InFlight counts this instance's own dispatches now.
type LoadReport struct {
	Endpoint platform.EndpointID
	Reported bool
	Running  int
	Queued   int
	Age      time.Duration
	InFlight int
	// Used tells whether this instance has dispatched there of late, so that
	// peers hear of the last end too.
	Used bool
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
		if report.Reported || report.Used {
			report.Endpoint = endpoint
			reports = append(reports, report)
		}
	}
	return reports
}

// NoReportAge is the age given to endpoints that never reported.
const NoReportAge = time.Hour

// endpointLoad is the state of one endpoint.
type endpointLoad struct {
	reported   bool
	reportedAt time.Time
	running    int
	queued     int
	inFlight   int
	usedAt     time.Time // of the last dispatch or end of one
	history    history
	peers      peerLoads
	failures   failureRate
	firstToken smoothedDelay
}

func (l *endpointLoad) report(now time.Time, maxAge time.Duration) LoadReport {
	report := LoadReport{
		InFlight: l.inFlight,
		Used:     l.inFlight > 0 || now.Sub(l.usedAt) <= peerLoadExpiry,
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
	candidate.FailureRate = l.failures.at(now)
	candidate.FirstTokenMillis = l.firstToken.at(now)
	candidate.PeerInFlight, candidate.PeerAge = l.peers.sum(now)
	candidate.ReportAge = NoReportAge
	if !l.reported {
		return
	}
	candidate.Running = l.running
	candidate.Queued = l.queued
	candidate.ReportAge = min(NoReportAge, max(0, now.Sub(l.reportedAt)))
	candidate.Sent, candidate.Ended = l.history.since(now, l.reportedAt)
}

// failureRate is a share of failures that forgets with time, so that an
// endpoint that is passed over gets another chance.
type failureRate struct {
	at0   time.Time
	value float64
}

const (
	failureHalfLife = 5 * time.Second
	failureWeight   = 0.3
)

func (f *failureRate) add(now time.Time, failed bool) {
	value := f.at(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	f.value = value + failureWeight*(sample-value)
	f.at0 = now
}

func (f *failureRate) at(now time.Time) float64 {
	return f.value * decay(now.Sub(f.at0), failureHalfLife)
}

// smoothedDelay is an exponentially weighted mean that expires.
type smoothedDelay struct {
	last   time.Time
	millis float64
}

const (
	delayWeight = 0.2
	delayExpiry = 15 * time.Second
)

func (d *smoothedDelay) add(now time.Time, sample time.Duration) {
	millis := float64(sample) / float64(time.Millisecond)
	previous := d.at(now)
	if previous == 0 {
		previous = millis
	}
	d.millis = previous + delayWeight*(millis-previous)
	d.last = now
}

func (d *smoothedDelay) at(now time.Time) float64 {
	if now.Sub(d.last) > delayExpiry {
		return 0
	}
	return d.millis
}

// decay returns what is left of 1 after the time given.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, elapsed)) / float64(halfLife))
}
