package experiment

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// engine is a model of one engine: slots, a queue, and a prefix cache.
type engine struct {
	agenda *agenda
	id     platform.EndpointID
	zone   platform.Zone
	slots  int
	// slowdown multiplies the time of all work.
	slowdown float64
	running  int
	queue    []job
	cache    *simplelru.LRU[uint64, struct{}]
	// changed is called when a block enters or leaves the cache.
	changed func(hash uint64, stored bool)
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
	// engineBlockTokens is the size of a cache block.
	engineBlockTokens = 64
	// prefillPerToken is the time to process a prompt token.
	prefillPerToken = 100 * time.Microsecond
)

func newEngine(agenda *agenda, id platform.EndpointID, zone platform.Zone, slots, cacheBlocks int) *engine {
	e := &engine{agenda: agenda, id: id, zone: zone, slots: slots, slowdown: 1}
	e.changed = func(uint64, bool) {}
	evicted := func(hash uint64, _ struct{}) { e.changed(hash, false) }
	e.cache, _ = simplelru.NewLRU[uint64, struct{}](cacheBlocks, evicted)
	return e
}

func (e *engine) submit(j job) {
	j.arrived = e.agenda.now
	e.queue = append(e.queue, j)
	e.fill()
}

func (e *engine) fill() {
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
	e.agenda.after(prefill, func() { j.firstToken(e.agenda.now.Sub(j.arrived), cached) })
	e.agenda.after(prefill+time.Duration(float64(j.decode)*e.slowdown), func() {
		e.running--
		j.done()
		e.fill()
	})
}

// cached returns the tokens of the prompt that the cache holds.
func (e *engine) cached(hashes []uint64) int {
	held := 0
	for held < len(hashes) && e.cache.Contains(hashes[held]) {
		held++
	}
	return held * engineBlockTokens
}

func (e *engine) store(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if !e.cache.Contains(hashes[i]) {
			e.changed(hashes[i], true)
		}
		e.cache.Add(hashes[i], struct{}{})
	}
}
