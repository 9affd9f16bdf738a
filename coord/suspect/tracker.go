package suspect

import (
	"hash/maphash"
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	trackerShards = 16
	// maxHintsPerShard bounds the crashes known ahead of the log.
	maxHintsPerShard = 256
	// maxSettledPerShard bounds the reports remembered as folded.
	maxSettledPerShard = 512
)

// Tracker adds to a [Fold] what one instance knows ahead of the log: its own
// dispatches, the crashes it saw, and those that peers told of.
type Tracker struct {
	fold   *Fold
	seed   maphash.Seed
	shards [trackerShards]trackerShard
}

type trackerShard struct {
	mu sync.Mutex
	// running counts the dispatches that have not ended.
	running map[Fingerprint][]dispatch
	// hints holds the endpoints that a request crashed, ahead of the log.
	hints *simplelru.LRU[Fingerprint, []platform.EndpointID]
	// settled remembers the reports that the log has brought, so that a peer's
	// late word of them is not taken for news.
	settled *simplelru.LRU[Report, struct{}]
}

// dispatch counts the running dispatches of one request on one endpoint.
type dispatch struct {
	endpoint platform.EndpointID
	count    int
}

// NewTracker returns a tracker over the fold.
func NewTracker(fold *Fold) *Tracker {
	tracker := &Tracker{fold: fold, seed: maphash.MakeSeed()}
	for i := range tracker.shards {
		tracker.shards[i] = trackerShard{
			running: make(map[Fingerprint][]dispatch),
			hints:   newLRU[Fingerprint, []platform.EndpointID](maxHintsPerShard),
			settled: newLRU[Report, struct{}](maxSettledPerShard),
		}
	}
	fold.observe(tracker.settle)
	return tracker
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(eris.Wrap(err, "suspect: size of a cache"))
	}
	return lru
}

// Permission says how a request may be dispatched now, by all that the log and
// this instance know.
func (t *Tracker) Permission(fingerprint Fingerprint) Permission {
	crashed := t.fold.crashed(fingerprint)
	for _, endpoint := range t.hinted(fingerprint) {
		if !slices.Contains(crashed, endpoint) {
			crashed = append(crashed, endpoint)
		}
	}
	return permission(len(crashed))
}

// Claim returns what the caller appends, in this order and in one record, to
// claim the try of an isolated request on an endpoint: the reports that the log
// may lack, then the try.
func (t *Tracker) Claim(fingerprint Fingerprint, pool platform.PoolName, endpoint platform.EndpointID) ([]Report, Try) {
	var reports []Report
	for _, crashed := range t.hinted(fingerprint) {
		reports = append(reports, Report{Fingerprint: fingerprint, Pool: pool, Endpoint: crashed})
	}
	return reports, Try{Fingerprint: fingerprint, Pool: pool, Endpoint: endpoint}
}

func (t *Tracker) hinted(fingerprint Fingerprint) []platform.EndpointID {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	crashed, _ := shard.hints.Get(fingerprint)
	return crashed
}

// settle replaces a hint by the log's own word.
func (t *Tracker) settle(report Report) {
	shard := t.shard(report.Fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.settled.Add(report, struct{}{})
	crashed, ok := shard.hints.Peek(report.Fingerprint)
	if !ok {
		return
	}
	left := slices.DeleteFunc(slices.Clone(crashed), func(endpoint platform.EndpointID) bool {
		return endpoint == report.Endpoint
	})
	if len(left) == 0 {
		shard.hints.Remove(report.Fingerprint)
		return
	}
	shard.hints.Add(report.Fingerprint, left)
}

// Started notes a dispatch.
func (t *Tracker) Started(fingerprint Fingerprint, endpoint platform.EndpointID) {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	running := shard.running[fingerprint]
	for i := range running {
		if running[i].endpoint == endpoint {
			running[i].count++
			return
		}
	}
	shard.running[fingerprint] = append(running, dispatch{endpoint: endpoint, count: 1})
}

// Finished notes the end of a dispatch that did not crash its endpoint,
// whether it brought an answer or was given up.
func (t *Tracker) Finished(fingerprint Fingerprint, endpoint platform.EndpointID) {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.end(fingerprint, endpoint)
}

// Crashed notes the end of a dispatch whose endpoint crashed. The caller
// appends the report to the log and tells it to peers, once for each report
// that is new.
func (t *Tracker) Crashed(fingerprint Fingerprint, pool platform.PoolName, endpoint platform.EndpointID) (report Report, isNew bool) {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.end(fingerprint, endpoint)
	report = Report{Fingerprint: fingerprint, Pool: pool, Endpoint: endpoint}
	return report, shard.hint(report)
}

// Heard takes a report from a peer, ahead of the log. It reports whether it was
// new.
func (t *Tracker) Heard(report Report) bool {
	if !report.valid() {
		return false
	}
	shard := t.shard(report.Fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.hint(report)
}

// Running returns the endpoints on which this instance runs the request now.
func (t *Tracker) Running(fingerprint Fingerprint) []platform.EndpointID {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var endpoints []platform.EndpointID
	for _, running := range shard.running[fingerprint] {
		endpoints = append(endpoints, running.endpoint)
	}
	return endpoints
}

func (t *Tracker) shard(fingerprint Fingerprint) *trackerShard {
	return &t.shards[maphash.String(t.seed, string(fingerprint))%trackerShards]
}

func (s *trackerShard) end(fingerprint Fingerprint, endpoint platform.EndpointID) {
	running := s.running[fingerprint]
	at := slices.IndexFunc(running, func(d dispatch) bool { return d.endpoint == endpoint })
	if at < 0 {
		return
	}
	running[at].count--
	if running[at].count > 0 {
		return
	}
	running = slices.Delete(running, at, at+1)
	if len(running) == 0 {
		delete(s.running, fingerprint)
		return
	}
	s.running[fingerprint] = running
}

// hint remembers a crash ahead of the log. It reports whether it is new.
func (s *trackerShard) hint(report Report) bool {
	if s.settled.Contains(report) {
		return false
	}
	crashed, _ := s.hints.Get(report.Fingerprint)
	if slices.Contains(crashed, report.Endpoint) || len(crashed) >= MaxCrashes {
		return false
	}
	s.hints.Add(report.Fingerprint, append(slices.Clone(crashed), report.Endpoint))
	return true
}
