package experiment

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// engine simulates one engine with slots, a queue, and a prefix cache.
type engine struct {
	clock *virtualClock
	id    platform.EndpointID
	zone  platform.Zone
	slots int
	// slowdown multiplies the time of prefill and decode.
	slowdown float64
	running  int
	queue    []job
	cache    *simplelru.LRU[uint64, struct{}]
	// onCacheChange is called when a block is added to the cache or evicted.
	onCacheChange func(hash uint64, stored bool)
}

// job is one request at an engine.
type job struct {
	hashes     []uint64
	prompt     int // tokens
	decode     time.Duration
	firstToken func(wait time.Duration, cached int)
	done       func()
	arrived    time.Time
}

const (
	// engineBlockTokens is the size of a cache block in tokens.
	engineBlockTokens = 64
	// prefillPerToken is the time to process one prompt token.
	prefillPerToken = 100 * time.Microsecond
)

func newEngine(clock *virtualClock, id platform.EndpointID, zone platform.Zone, slots, cacheBlocks int) *engine {
	e := &engine{clock: clock, id: id, zone: zone, slots: slots, slowdown: 1}
	e.onCacheChange = func(uint64, bool) {}
	evicted := func(hash uint64, _ struct{}) { e.onCacheChange(hash, false) }
	e.cache, _ = simplelru.NewLRU[uint64, struct{}](cacheBlocks, evicted)
	return e
}

func (e *engine) submit(j job) {
	j.arrived = e.clock.now
	e.queue = append(e.queue, j)
	e.startQueued()
}

func (e *engine) startQueued() {
	for e.running < e.slots && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.start(next)
	}
}

func (e *engine) start(j job) {
	e.running++
	cached := e.cached(j.hashes)
	e.store(j.hashes)
	prefill := time.Duration(float64(time.Duration(j.prompt-cached)*prefillPerToken) * e.slowdown)
	e.clock.after(prefill, func() { j.firstToken(e.clock.now.Sub(j.arrived), cached) })
	e.clock.after(prefill+time.Duration(float64(j.decode)*e.slowdown), func() {
		e.running--
		j.done()
		e.startQueued()
	})
}

// cached returns the number of leading prompt tokens in the cache.
func (e *engine) cached(hashes []uint64) int {
	blocks := 0
	for blocks < len(hashes) && e.cache.Contains(hashes[blocks]) {
		blocks++
	}
	return blocks * engineBlockTokens
}

func (e *engine) store(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if !e.cache.Contains(hashes[i]) {
			e.onCacheChange(hashes[i], true)
		}
		e.cache.Add(hashes[i], struct{}{})
	}
}
