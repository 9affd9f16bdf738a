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

// poolCase describes one pool with its arrivals and faults.
type poolCase struct {
	zones     int
	instances int
	engines   int
	slots     int
	// utilisation is the share of the slots that the arrivals need on average.
	utilisation float64
	// oracle gives every pick the actual loads and cache contents.
	oracle bool
	// groups is the number of shared prompt prefixes; 0 for none.
	groups int
	// cacheBlocks is the size of an engine's prefix cache in blocks.
	cacheBlocks int
	// events is true if engines send cache events to the instances.
	events bool
	// slowEngine is the slowdown of one engine, if above 0.
	slowEngine float64
	// digestInterval is the interval at which instances send each other their
	// dispatches in flight; 0 for never.
	digestInterval time.Duration
	// maxAsks is the maximum number of times that a pick asks the owner of the
	// chosen endpoint, that is, the instance that polls it, for the endpoint's load.
	maxAsks int
	// deadPoller makes one instance poll no engines and not answer when it is asked
	// for their loads.
	deadPoller bool
	// lostZone removes the engines of one zone in the middle of the run.
	lostZone  bool
	length    time.Duration
	newConfig func(placement.Tuning) placement.Config
}

const (
	poolDecode       = 1800 * time.Millisecond
	poolWarmUp       = 30 * time.Second
	poolPollInterval = time.Second
	// zoneMillis is the one-way delay between zones in milliseconds.
	zoneMillis = 1.2
	// groupTokens is the length of a shared prefix, and uniqueTokens the mean
	// length of the rest of the prompt.
	groupTokens  = 1536
	uniqueTokens = 400
	// eventLoss is the share of cache events that are lost.
	eventLoss = 0.2
)

type poolResult struct {
	// firstToken and wait are the 99th percentiles of the time to the first token
	// in milliseconds, with and without the prefill.
	firstToken float64
	wait       float64
	mean       float64
	// hits is the share of prompt tokens found in a cache.
	hits float64
	// remote is the share of requests sent to another zone.
	remote         float64
	asksPerRequest float64
}

// pool is one run of a poolCase.
type pool struct {
	poolCase
	clock *virtualClock
	// workload draws the requests, and random everything else, so that runs with
	// the same seed serve the same requests under every strategy.
	workload        *rand.Rand
	random          *rand.Rand
	engines         []*engine
	routers         []*router
	owners          map[platform.EndpointID]*router
	prefixGroups    *rand.Zipf
	firstTokens     []float64
	waits           []float64
	hitTokens       int
	promptTokens    int
	remoteRequests  int
	requests        int
	asked           int
	unavailableZone platform.Zone
}

// router is the placement state of one instance.
type router struct {
	id        platform.InstanceID
	zone      platform.Zone
	table     *placement.LoadTable
	index     *placement.PrefixIndex
	scheduler *placement.Scheduler
	random    *rand.Rand
}

func runPool(c poolCase, seed uint64) poolResult {
	p := &pool{poolCase: c, clock: newVirtualClock(), random: rand.New(rand.NewPCG(seed, 7)), workload: rand.New(rand.NewPCG(seed, 8))}
	p.owners = make(map[platform.EndpointID]*router)
	for i := range c.engines {
		id := platform.EndpointID(fmt.Sprintf("engine-%d", i))
		p.engines = append(p.engines, newEngine(p.clock, id, p.zone(i), c.slots, max(1, c.cacheBlocks)))
	}
	if c.slowEngine > 0 {
		p.engines[0].slowdown = c.slowEngine
	}
	for i := range c.instances {
		p.routers = append(p.routers, p.newRouter(i))
	}
	if c.groups > 0 {
		p.prefixGroups = rand.NewZipf(p.workload, 1.05, 10, uint64(c.groups-1))
	}
	p.startReports()
	p.startDigests()
	p.startEvents()
	p.startArrivals()
	if c.lostZone {
		p.clock.after(poolWarmUp+c.length/2, func() { p.unavailableZone = p.zone(0) })
	}
	p.clock.run(poolWarmUp + c.length)
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
		scheduler: placement.New(p.newConfig(tuning)),
		random:    rand.New(rand.NewPCG(p.random.Uint64(), 1)),
	}
}

// startReports starts the polls of each engine by its owner. A load report is one
// to three seconds old when the owner receives it, and up to two seconds older at
// the other instances.
func (p *pool) startReports() {
	var ids []platform.InstanceID
	for _, r := range p.routers {
		ids = append(ids, r.id)
	}
	for _, e := range p.engines {
		owner := p.pollOwner(ids, e)
		p.owners[e.id] = owner
		if p.isDead(owner) {
			continue
		}
		p.clock.every(p.uniform(poolPollInterval), poolPollInterval, func() { p.report(owner, e) })
	}
}

func (p *pool) pollOwner(ids []platform.InstanceID, e *engine) *router {
	for _, r := range p.routers {
		if len(placement.OwnedEndpoints(r.id, ids, []platform.EndpointID{e.id})) == 1 {
			return r
		}
	}
	return p.routers[0]
}

func (p *pool) report(owner *router, e *engine) {
	polledAt := p.clock.now
	running, queued := e.running, len(e.queue)
	ownerDelay := time.Second + p.uniform(2*time.Second)
	for _, r := range p.routers {
		delay := ownerDelay
		if r != owner {
			delay += p.uniform(2 * time.Second)
		}
		p.clock.after(delay, func() {
			r.table.RecordReport(p.clock.now, e.id, running, queued, p.clock.now.Sub(polledAt))
		})
	}
}

// startDigests starts the periodic digests among the instances.
func (p *pool) startDigests() {
	if p.digestInterval <= 0 {
		return
	}
	for _, r := range p.routers {
		p.clock.every(p.uniform(p.digestInterval), p.digestInterval, func() { p.sendDigest(r) })
	}
}

// sendDigest sends an instance's dispatches in flight to all others.
func (p *pool) sendDigest(r *router) {
	for _, e := range p.engines {
		local := placement.Candidate{ID: e.id}
		r.table.Fill(p.clock.now, &local)
		for _, peer := range p.routers {
			if peer == r {
				continue
			}
			p.clock.after(2*time.Millisecond, func() {
				peer.table.RecordPeerInFlight(p.clock.now, r.id, e.id, local.InFlight, 2*time.Millisecond)
			})
		}
	}
}

// startEvents delivers cache events after two seconds, and drops some of them.
func (p *pool) startEvents() {
	if !p.events {
		return
	}
	for _, e := range p.engines {
		e.onCacheChange = func(hash uint64, stored bool) {
			if p.random.Float64() < eventLoss {
				return
			}
			p.clock.after(2*time.Second, func() { p.cacheEvent(e, hash, stored) })
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

// startArrivals starts the arrivals, which are a Poisson process.
func (p *pool) startArrivals() {
	service := poolDecode + p.meanPrefill()
	rate := p.utilisation * float64(len(p.engines)*p.slots) / service.Seconds()
	var next func()
	next = func() {
		p.arrive()
		p.clock.after(time.Duration(p.workload.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.clock.after(0, next)
}

// meanPrefill returns the mean prefill time, on the assumption that half of a
// shared prefix is cached.
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
	askedBefore := p.asked
	chosen := p.pick(r, hashes, prompt)
	if chosen == nil {
		return
	}
	p.dispatch(r, chosen, hashes, prompt, p.asked-askedBefore)
}

// askMillis is the time to ask an owner for the load of an engine once, in
// milliseconds: a round trip to another zone.
const askMillis = 2 * zoneMillis

// prompt draws a prompt and returns its block hashes and its number of tokens.
func (p *pool) prompt() ([]uint64, int) {
	unique := min(20*uniqueTokens, int(p.workload.ExpFloat64()*uniqueTokens)+1)
	if p.groups == 0 {
		return nil, unique
	}
	group := p.prefixGroups.Uint64()
	hashes := make([]uint64, 0, groupTokens/engineBlockTokens)
	for i := range uint64(groupTokens / engineBlockTokens) {
		hashes = append(hashes, (group+1)<<16|i)
	}
	return hashes, groupTokens + unique
}

func (p *pool) pick(r *router, hashes []uint64, prompt int) *engine {
	candidates := make([]placement.Candidate, 0, len(p.engines))
	for _, e := range p.engines {
		if e.zone == p.unavailableZone {
			continue
		}
		candidates = append(candidates, p.candidate(r, e, hashes))
	}
	request := placement.Request{Zone: r.zone, PromptTokens: prompt}
	search, err := r.scheduler.Search(r.random, request, candidates, p.maxAsks)
	if err != nil {
		return nil
	}
	for {
		chosen, ask := search.Next()
		index := slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == chosen.ID })
		e := p.engines[index]
		if !ask {
			return e
		}
		p.ask(r, e, search, chosen)
	}
}

// ask requests the load of an engine from its owner. A dead owner does not answer.
func (p *pool) ask(r *router, e *engine, search *placement.Search, chosen placement.Candidate) {
	p.asked++
	owner := p.owners[e.id]
	if p.isDead(owner) {
		search.Unanswered(chosen)
		return
	}
	outstanding, granted := owner.table.Reserve(p.clock.now, r.id, e.id, e.slots, false)
	if r != owner {
		r.table.RecordReport(p.clock.now, e.id, outstanding, 0, 0)
	}
	if granted {
		owner.table.Release(p.clock.now, r.id, e.id) // dispatch counts the request again
	}
	search.Answer(chosen, min(outstanding, e.slots), max(0, outstanding-e.slots))
}

// reserve reserves a slot for a dispatch at the owner of an engine, and returns the
// function that releases the slot. It does nothing if owners are never asked, or if
// the owner is dead or the dispatching instance itself.
func (p *pool) reserve(r *router, e *engine) (release func()) {
	owner := p.owners[e.id]
	if p.maxAsks == 0 || owner == r || p.isDead(owner) {
		return func() {}
	}
	owner.table.Reserve(p.clock.now, r.id, e.id, e.slots, true)
	return func() { owner.table.Release(p.clock.now, r.id, e.id) }
}

func (p *pool) isDead(r *router) bool { return p.deadPoller && r == p.routers[0] }

func (p *pool) candidate(r *router, e *engine, hashes []uint64) placement.Candidate {
	candidate := placement.Candidate{ID: e.id, Zone: e.zone, Slots: e.slots}
	if p.oracle {
		candidate.Running = e.running
		candidate.Queued = len(e.queue)
		candidate.PrefixTokens = e.cached(hashes)
		return candidate
	}
	r.table.Fill(p.clock.now, &candidate)
	candidate.PrefixTokens = r.index.Match(e.id, hashes)
	return candidate
}

func (p *pool) dispatch(r *router, e *engine, hashes []uint64, prompt, asks int) {
	r.table.RecordDispatch(p.clock.now, e.id)
	release := p.reserve(r, e)
	r.index.Observe(e.id, hashes)
	network := time.Duration(2 * placement.Distances{DefaultMillis: zoneMillis}.Between(r.zone, e.zone) * float64(time.Millisecond))
	network += time.Duration(float64(asks) * askMillis * float64(time.Millisecond))
	measured := p.clock.elapsed() >= poolWarmUp
	var first time.Duration
	e.submit(job{
		hashes: hashes,
		prompt: prompt,
		decode: time.Duration(p.workload.ExpFloat64() * float64(poolDecode)),
		firstToken: func(wait time.Duration, cached int) {
			first = wait + network
			if measured {
				p.record(e, first, prompt, cached, r.zone != e.zone)
			}
		},
		done: func() {
			r.table.RecordCompletion(p.clock.now, e.id, first, false)
			release()
		},
	})
}

func (p *pool) record(e *engine, first time.Duration, prompt, cached int, remote bool) {
	millis := float64(first) / float64(time.Millisecond)
	prefill := float64(time.Duration(prompt-cached)*prefillPerToken) / float64(time.Millisecond) * e.slowdown
	p.firstTokens = append(p.firstTokens, millis)
	p.waits = append(p.waits, millis-prefill)
	p.promptTokens += prompt
	p.hitTokens += min(prompt, cached)
	p.requests++
	if remote {
		p.remoteRequests++
	}
}

func (p *pool) uniform(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit)))
}

func (p *pool) result() poolResult {
	return poolResult{
		firstToken:     percentile(p.firstTokens, 0.99),
		wait:           percentile(p.waits, 0.99),
		mean:           mean(p.firstTokens),
		hits:           float64(p.hitTokens) / float64(max(1, p.promptTokens)),
		asksPerRequest: float64(p.asked) / float64(max(1, p.requests)),
		remote:         float64(p.remoteRequests) / float64(max(1, p.requests)),
	}
}

// percentile returns the quantile of the figures for a share in [0, 1].
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
