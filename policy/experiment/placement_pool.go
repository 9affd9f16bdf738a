package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/placement"
)

// poolCase describes one pool, its arrivals and its faults.
type poolCase struct {
	zones     int
	instances int
	engines   int
	slots     int
	// utilisation is the share of the slots that the arrivals need.
	utilisation float64
	// oracle gives every pick the loads and caches as they are.
	oracle bool
	// groups is the number of prompt prefixes that requests share; 0 for none.
	groups int
	// cacheBlocks is the size of an engine's prefix cache.
	cacheBlocks int
	// events tells whether cache events reach the instances.
	events bool
	// slowEngine makes one engine this many times slower, if above 0.
	slowEngine float64
	// digest is the interval at which instances tell each other of their
	// dispatches in flight; 0 for never.
	digest time.Duration
	// asks bounds how often a pick asks the owner of the chosen endpoint.
	asks int
	// deadPoller stops the polls of one instance.
	deadPoller bool
	// lostZone takes the engines of one zone away in the middle.
	lostZone bool
	length   time.Duration
	steps    func(placement.Tuning) placement.Config
}

const (
	poolDecode       = 1800 * time.Millisecond
	poolWarmUp       = 30 * time.Second
	poolPollInterval = time.Second
	// zoneMillis is the one-way delay between zones.
	zoneMillis = 1.2
	// groupTokens is the length of a shared prefix, uniqueTokens the mean
	// length of what follows it.
	groupTokens  = 1536
	uniqueTokens = 400
	// eventLoss is the share of cache events that never arrive.
	eventLoss = 0.2
)

// poolResult is what a run came to.
type poolResult struct {
	// firstToken and wait are 99th percentiles in milliseconds, with and
	// without the prefill.
	firstToken float64
	wait       float64
	mean       float64
	// hits is the share of prompt tokens found in a cache.
	hits float64
	// remote is the share of requests that left their zone.
	remote float64
	asked  float64
}

type pool struct {
	poolCase
	agenda *agenda
	// workload draws the requests, random all else, so that runs of one seed
	// serve equal requests however they are placed.
	workload *rand.Rand
	random   *rand.Rand
	engines  []*engine
	routers  []*router
	owners   map[platform.EndpointID]*router
	popular  *rand.Zipf
	delays   []float64
	waits    []float64
	hit      int
	prompts  int
	sentAway int
	requests int
	asked    int
	gone     platform.Zone
}

// router is one instance.
type router struct {
	id        platform.InstanceID
	zone      platform.Zone
	table     *placement.LoadTable
	index     *placement.PrefixIndex
	scheduler *placement.Scheduler
	random    *rand.Rand
}

func runPool(c poolCase, seed uint64) poolResult {
	p := &pool{poolCase: c, agenda: newAgenda(), random: rand.New(rand.NewPCG(seed, 7)), workload: rand.New(rand.NewPCG(seed, 8))}
	p.owners = make(map[platform.EndpointID]*router)
	for i := range c.engines {
		id := platform.EndpointID(fmt.Sprintf("engine-%d", i))
		p.engines = append(p.engines, newEngine(p.agenda, id, p.zone(i), c.slots, max(1, c.cacheBlocks)))
	}
	if c.slowEngine > 0 {
		p.engines[0].slowdown = c.slowEngine
	}
	for i := range c.instances {
		p.routers = append(p.routers, p.newRouter(i))
	}
	if c.groups > 0 {
		p.popular = rand.NewZipf(p.workload, 1.05, 10, uint64(c.groups-1))
	}
	p.startReports()
	p.startDigests()
	p.startEvents()
	p.startArrivals()
	if c.lostZone {
		p.agenda.after(poolWarmUp+c.length/2, func() { p.gone = p.zone(0) })
	}
	p.agenda.run(poolWarmUp + c.length)
	return p.result()
}

func (p *pool) zone(i int) platform.Zone {
	return platform.Zone(fmt.Sprintf("zone-%d", i%p.zones))
}

func (p *pool) newRouter(i int) *router {
	tuning := placement.Tuning{
		ServiceMillis:         float64(poolDecode.Milliseconds()) + 150,
		PrefillMillisPerToken: prefillPerToken.Seconds() * 1000,
		Distances:             placement.Distances{DefaultMillis: zoneMillis},
	}
	return &router{
		id:        platform.InstanceID(fmt.Sprintf("instance-%d", i)),
		zone:      p.zone(i),
		table:     placement.NewLoadTable(),
		index:     placement.NewPrefixIndex(placement.PrefixConfig{MaxBlocks: max(1, p.cacheBlocks)}),
		scheduler: placement.New(p.steps(tuning)),
		random:    rand.New(rand.NewPCG(p.random.Uint64(), 1)),
	}
}

// startReports lets the owner of each engine poll it. The load is one to three
// seconds old when it arrives there, and up to two more at the other instances.
func (p *pool) startReports() {
	var ids []platform.InstanceID
	for _, r := range p.routers {
		ids = append(ids, r.id)
	}
	for _, e := range p.engines {
		owner := p.pollOwner(ids, e)
		p.owners[e.id] = owner
		if p.dead(owner) {
			continue
		}
		p.agenda.every(p.uniform(poolPollInterval), poolPollInterval, func() { p.report(owner, e) })
	}
}

func (p *pool) pollOwner(ids []platform.InstanceID, e *engine) *router {
	for _, r := range p.routers {
		if len(placement.PollShare(r.id, ids, []platform.EndpointID{e.id})) == 1 {
			return r
		}
	}
	return p.routers[0]
}

func (p *pool) report(owner *router, e *engine) {
	taken := p.agenda.now
	running, queued := e.running, len(e.queue)
	first := time.Second + p.uniform(2*time.Second)
	for _, r := range p.routers {
		wait := first
		if r != owner {
			wait += p.uniform(2 * time.Second)
		}
		p.agenda.after(wait, func() {
			r.table.Report(p.agenda.now, e.id, running, queued, p.agenda.now.Sub(taken))
		})
	}
}

// startDigests lets the instances tell each other of their dispatches.
func (p *pool) startDigests() {
	if p.digest <= 0 {
		return
	}
	for _, r := range p.routers {
		p.agenda.every(p.uniform(p.digest), p.digest, func() { p.tell(r) })
	}
}

func (p *pool) tell(r *router) {
	for _, e := range p.engines {
		own := placement.Candidate{ID: e.id}
		r.table.Fill(p.agenda.now, &own)
		for _, peer := range p.routers {
			if peer == r {
				continue
			}
			p.agenda.after(2*time.Millisecond, func() {
				peer.table.PeerInFlight(p.agenda.now, r.id, e.id, own.InFlight, 2*time.Millisecond)
			})
		}
	}
}

// startEvents delivers cache events two seconds late, with gaps.
func (p *pool) startEvents() {
	if !p.events {
		return
	}
	for _, e := range p.engines {
		e.changed = func(hash uint64, stored bool) {
			if p.random.Float64() < eventLoss {
				return
			}
			p.agenda.after(2*time.Second, func() { p.cacheEvent(e, hash, stored) })
		}
	}
}

func (p *pool) cacheEvent(e *engine, hash uint64, stored bool) {
	for _, r := range p.routers {
		if stored {
			r.index.Observe(e.id, []uint64{hash})
		} else {
			r.index.Evict(e.id, []uint64{hash})
		}
	}
}

// startArrivals lets requests come as a Poisson process.
func (p *pool) startArrivals() {
	service := poolDecode + p.meanPrefill()
	rate := p.utilisation * float64(len(p.engines)*p.slots) / service.Seconds()
	var next func()
	next = func() {
		p.arrive()
		p.agenda.after(time.Duration(p.workload.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.agenda.after(0, next)
}

// meanPrefill is the mean time of the prefill. Half of a shared prefix is taken
// to be cached.
func (p *pool) meanPrefill() time.Duration {
	tokens := uniqueTokens
	if p.groups > 0 {
		tokens += groupTokens / 2
	}
	return time.Duration(tokens) * prefillPerToken
}

func (p *pool) arrive() {
	r := p.routers[p.workload.IntN(len(p.routers))]
	hashes, prompt := p.prompt()
	before := p.asked
	chosen := p.pick(r, hashes, prompt)
	if chosen == nil {
		return
	}
	p.dispatch(r, chosen, hashes, prompt, p.asked-before)
}

// askMillis is the mean time of one ask: a round trip to any zone.
const askMillis = 2 * zoneMillis

// prompt draws a prompt: its hashed blocks and its tokens.
func (p *pool) prompt() ([]uint64, int) {
	unique := min(20*uniqueTokens, int(p.workload.ExpFloat64()*uniqueTokens)+1)
	if p.groups == 0 {
		return nil, unique
	}
	group := p.popular.Uint64()
	hashes := make([]uint64, 0, groupTokens/engineBlockTokens)
	for i := range uint64(groupTokens / engineBlockTokens) {
		hashes = append(hashes, (group+1)<<16|i)
	}
	return hashes, groupTokens + unique
}

func (p *pool) pick(r *router, hashes []uint64, prompt int) *engine {
	candidates := make([]placement.Candidate, 0, len(p.engines))
	for _, e := range p.engines {
		if e.zone == p.gone {
			continue
		}
		candidates = append(candidates, p.candidate(r, e, hashes))
	}
	request := placement.Request{Zone: r.zone, PromptTokens: prompt}
	search, err := r.scheduler.Search(r.random, request, candidates, p.asks)
	if err != nil {
		return nil
	}
	for {
		chosen, ask := search.Next()
		at := slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == chosen.ID })
		e := p.engines[at]
		if !ask {
			return e
		}
		p.ask(r, e, search, chosen)
	}
}

// ask lets an instance ask the owner of an engine. A dead owner does not answer.
func (p *pool) ask(r *router, e *engine, search *placement.Search, chosen placement.Candidate) {
	p.asked++
	owner := p.owners[e.id]
	if p.dead(owner) {
		search.Unanswered(chosen)
		return
	}
	outstanding, granted := owner.table.Reserve(p.agenda.now, r.id, e.id, e.slots, false)
	if r != owner {
		r.table.Report(p.agenda.now, e.id, outstanding, 0, 0)
	}
	if granted {
		owner.table.Release(p.agenda.now, r.id, e.id) // dispatch counts it again
	}
	search.Answer(chosen, min(outstanding, e.slots), max(0, outstanding-e.slots))
}

// reserve tells the owner of an engine of a dispatch, and returns what to call
// at its end.
func (p *pool) reserve(r *router, e *engine) (release func()) {
	owner := p.owners[e.id]
	if p.asks == 0 || owner == r || p.dead(owner) {
		return func() {}
	}
	owner.table.Reserve(p.agenda.now, r.id, e.id, e.slots, true)
	return func() { owner.table.Release(p.agenda.now, r.id, e.id) }
}

func (p *pool) dead(r *router) bool { return p.deadPoller && r == p.routers[0] }

func (p *pool) candidate(r *router, e *engine, hashes []uint64) placement.Candidate {
	candidate := placement.Candidate{ID: e.id, Zone: e.zone, Slots: e.slots}
	if p.oracle {
		candidate.Running = e.running
		candidate.Queued = len(e.queue)
		candidate.PrefixTokens = e.cached(hashes)
		return candidate
	}
	r.table.Fill(p.agenda.now, &candidate)
	candidate.PrefixTokens = r.index.Match(e.id, hashes)
	return candidate
}

func (p *pool) dispatch(r *router, e *engine, hashes []uint64, prompt, asks int) {
	r.table.Dispatched(p.agenda.now, e.id)
	release := p.reserve(r, e)
	r.index.Observe(e.id, hashes)
	away := time.Duration(2 * placement.Distances{DefaultMillis: zoneMillis}.Between(r.zone, e.zone) * float64(time.Millisecond))
	away += time.Duration(float64(asks) * askMillis * float64(time.Millisecond))
	counts := p.agenda.elapsed() >= poolWarmUp
	var first time.Duration
	e.submit(job{
		hashes: hashes,
		prompt: prompt,
		decode: time.Duration(p.workload.ExpFloat64() * float64(poolDecode)),
		firstToken: func(wait time.Duration, cached int) {
			first = wait + away
			if counts {
				p.count(e, first, prompt, cached, r.zone != e.zone)
			}
		},
		done: func() {
			r.table.Finished(p.agenda.now, e.id, first, false)
			release()
		},
	})
}

func (p *pool) count(e *engine, first time.Duration, prompt, cached int, away bool) {
	millis := float64(first) / float64(time.Millisecond)
	prefill := float64(time.Duration(prompt-cached)*prefillPerToken) / float64(time.Millisecond) * e.slowdown
	p.delays = append(p.delays, millis)
	p.waits = append(p.waits, millis-prefill)
	p.prompts += prompt
	p.hit += min(prompt, cached)
	p.requests++
	if away {
		p.sentAway++
	}
}

func (p *pool) uniform(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit)))
}

func (p *pool) result() poolResult {
	return poolResult{
		firstToken: percentile(p.delays, 0.99),
		wait:       percentile(p.waits, 0.99),
		mean:       mean(p.delays),
		hits:       float64(p.hit) / float64(max(1, p.prompts)),
		asked:      float64(p.asked) / float64(max(1, p.requests)),
		remote:     float64(p.sentAway) / float64(max(1, p.requests)),
	}
}

// percentile returns the given share's quantile of the figures.
func percentile(figures []float64, share float64) float64 {
	if len(figures) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(figures)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

func mean(figures []float64) float64 {
	sum := 0.0
	for _, figure := range figures {
		sum += figure
	}
	return sum / float64(max(1, len(figures)))
}
