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
	// maxUnconfirmedPerShard bounds the requests with crashes that the log has
	// not confirmed.
	maxUnconfirmedPerShard = 256
	// maxConfirmedPerShard bounds the folded reports that are kept.
	maxConfirmedPerShard = 512
)

// Tracker extends a [Fold] by what the fold does not contain: this instance's
// dispatches in progress, and the crashes that it observed or peers reported and
// whose reports have not been folded yet. It is safe for concurrent use.
type Tracker struct {
	fold   *Fold
	seed   maphash.Seed
	shards [trackerShards]trackerShard
}

type trackerShard struct {
	mu sync.Mutex
	// dispatches counts the dispatches in progress, by request and endpoint.
	dispatches map[Fingerprint][]dispatchCount
	// unconfirmed holds, by request, the crashed endpoints whose reports have
	// not been folded yet.
	unconfirmed *simplelru.LRU[Fingerprint, []platform.EndpointID]
	// confirmed holds the most recently folded reports, so that a late copy of
	// one from a peer is not taken for a new crash.
	confirmed *simplelru.LRU[Report, struct{}]
}

// dispatchCount counts the dispatches in progress of one request on one
// endpoint.
type dispatchCount struct {
	endpoint platform.EndpointID
	count    int
}

// NewTracker returns a tracker over the fold.
func NewTracker(fold *Fold) *Tracker {
	tracker := &Tracker{fold: fold, seed: maphash.MakeSeed()}
	for i := range tracker.shards {
		tracker.shards[i] = trackerShard{
			dispatches:  make(map[Fingerprint][]dispatchCount),
			unconfirmed: newLRU[Fingerprint, []platform.EndpointID](maxUnconfirmedPerShard),
			confirmed:   newLRU[Report, struct{}](maxConfirmedPerShard),
		}
	}
	fold.addObserver(tracker.confirm)
	return tracker
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(eris.Wrap(err, "suspect: create LRU cache"))
	}
	return lru
}

// Permission returns how a request may be dispatched now, according to the log
// and the crashes that the log has not confirmed.
func (t *Tracker) Permission(fingerprint Fingerprint) Permission {
	crashed := t.fold.crashedEndpoints(fingerprint)
	for _, endpoint := range t.unconfirmedCrashes(fingerprint) {
		if !slices.Contains(crashed, endpoint) {
			crashed = append(crashed, endpoint)
		}
	}
	return permissionFor(len(crashed))
}

// Claim returns the bodies of the entries that the caller must append, in one
// record, to claim the try of an isolated request on an endpoint: first the
// reports that the log may lack, then the try.
func (t *Tracker) Claim(fingerprint Fingerprint, pool platform.PoolName, endpoint platform.EndpointID) ([]Report, Try) {
	var reports []Report
	for _, crashed := range t.unconfirmedCrashes(fingerprint) {
		reports = append(reports, Report{Fingerprint: fingerprint, Pool: pool, Endpoint: crashed})
	}
	return reports, Try{Fingerprint: fingerprint, Pool: pool, Endpoint: endpoint}
}

func (t *Tracker) unconfirmedCrashes(fingerprint Fingerprint) []platform.EndpointID {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	crashed, _ := shard.unconfirmed.Get(fingerprint)
	return crashed
}

// confirm records a folded report as confirmed and removes its crash from the
// unconfirmed ones. The fold calls it for every report.
func (t *Tracker) confirm(report Report) {
	shard := t.shard(report.Fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.confirmed.Add(report, struct{}{})
	crashed, ok := shard.unconfirmed.Peek(report.Fingerprint)
	if !ok {
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(crashed), func(endpoint platform.EndpointID) bool {
		return endpoint == report.Endpoint
	})
	if len(remaining) == 0 {
		shard.unconfirmed.Remove(report.Fingerprint)
		return
	}
	shard.unconfirmed.Add(report.Fingerprint, remaining)
}

// RecordStart records the start of a dispatch.
func (t *Tracker) RecordStart(fingerprint Fingerprint, endpoint platform.EndpointID) {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	running := shard.dispatches[fingerprint]
	for i := range running {
		if running[i].endpoint == endpoint {
			running[i].count++
			return
		}
	}
	shard.dispatches[fingerprint] = append(running, dispatchCount{endpoint: endpoint, count: 1})
}

// RecordFinish records the end of a dispatch that did not crash its endpoint,
// whether it was answered or abandoned.
func (t *Tracker) RecordFinish(fingerprint Fingerprint, endpoint platform.EndpointID) {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.endDispatch(fingerprint, endpoint)
}

// RecordCrash records the end of a dispatch whose endpoint crashed. If the
// report is new, the caller appends it to the log and sends it to peers.
func (t *Tracker) RecordCrash(fingerprint Fingerprint, pool platform.PoolName, endpoint platform.EndpointID) (report Report, isNew bool) {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.endDispatch(fingerprint, endpoint)
	report = Report{Fingerprint: fingerprint, Pool: pool, Endpoint: endpoint}
	return report, shard.addUnconfirmed(report)
}

// HandlePeerReport records a peer's report that may not have been folded yet. It
// returns whether the report is valid and new.
func (t *Tracker) HandlePeerReport(report Report) bool {
	if !report.valid() {
		return false
	}
	shard := t.shard(report.Fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.addUnconfirmed(report)
}

// Running returns the endpoints on which this instance has dispatches of the
// request in progress.
func (t *Tracker) Running(fingerprint Fingerprint) []platform.EndpointID {
	shard := t.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	var endpoints []platform.EndpointID
	for _, running := range shard.dispatches[fingerprint] {
		endpoints = append(endpoints, running.endpoint)
	}
	return endpoints
}

func (t *Tracker) shard(fingerprint Fingerprint) *trackerShard {
	return &t.shards[maphash.String(t.seed, string(fingerprint))%trackerShards]
}

func (s *trackerShard) endDispatch(fingerprint Fingerprint, endpoint platform.EndpointID) {
	running := s.dispatches[fingerprint]
	i := slices.IndexFunc(running, func(d dispatchCount) bool { return d.endpoint == endpoint })
	if i < 0 {
		return
	}
	running[i].count--
	if running[i].count > 0 {
		return
	}
	running = slices.Delete(running, i, i+1)
	if len(running) == 0 {
		delete(s.dispatches, fingerprint)
		return
	}
	s.dispatches[fingerprint] = running
}

// addUnconfirmed adds a crash that the log has not confirmed. It returns false and
// adds nothing if the crash is known or the request already has [MaxCrashes]
// unconfirmed ones.
func (s *trackerShard) addUnconfirmed(report Report) bool {
	if s.confirmed.Contains(report) {
		return false
	}
	crashed, _ := s.unconfirmed.Get(report.Fingerprint)
	if slices.Contains(crashed, report.Endpoint) || len(crashed) >= MaxCrashes {
		return false
	}
	s.unconfirmed.Add(report.Fingerprint, append(slices.Clone(crashed), report.Endpoint))
	return true
}
