package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/sizes"
)

// The fleet that the overload experiment plays: the engines and sizes of the
// sizes experiment, with clients that leave and a retry budget.
const (
	overloadLength = 60 * time.Second
	// overloadFrom and overloadTo bound the disturbance.
	overloadFrom, overloadTo = 20 * time.Second, 35 * time.Second
	// overloadPatience is how long a client waits.
	overloadPatience = 5 * time.Second
	// overloadStuck is how many times the objective, and overloadUsual how many
	// times the usual time, an engine may be silent before it is given up.
	overloadStuck, overloadUsual = 2, 6
	overloadAccounts             = 10
)

// overloadPattern is a disturbance.
type overloadPattern struct {
	name string
	// load is the factor on the rate, and hot that on the first account's,
	// during the disturbance.
	load, hot float64
	// lost is the number of engines that crash at its beginning.
	lost int
	// abuse is the share of clients that come back at once when they got
	// nothing.
	abuse float64
}

func overloadPatterns() []overloadPattern {
	return []overloadPattern{
		{name: "burst of 3 times the load", load: 3, hot: 1},
		{name: "hot account", load: 1, hot: 20},
		{name: "retry abuse in a burst of 2 times the load", load: 2, hot: 1, abuse: 0.5},
		{name: "crash of a quarter of the engines", load: 1.3, hot: 1, lost: sizesEngines / 4},
	}
}

// overloadPolicy decides with what it is told.
type overloadPolicy struct {
	name string
	// eases tells that late requests lower the confidence asked.
	eases bool
	// censored tells that requests without an event count: as late when they
	// are overdue, and in the usual times.
	censored bool
}

func overloadPolicies() []overloadPolicy {
	return []overloadPolicy{
		{name: "fixed confidence"},
		{name: "pressure by answers", eases: true},
		{name: "pressure when overdue", eases: true, censored: true},
	}
}

// overloadRun plays one pattern under one policy.
type overloadRun struct {
	*agenda
	pattern  overloadPattern
	policy   overloadPolicy
	random   *rand.Rand
	engines  []*overloadEngine
	pressure sizes.Pressure
	// lines tells how long first events take, by model.
	lines   []latency.Line
	retries *retry.Window
	record  overloadRecord
}

// overloadEngine reads prompts one after the other.
type overloadEngine struct {
	lost    bool
	waiting []*overloadCall
	reading *overloadCall
}

// overloadCall is a request at an engine.
type overloadCall struct {
	request *overloadRequest
	model   int
	sent    time.Duration
	ended   bool
}

type overloadRequest struct {
	account  int
	tokens   float64
	hardness float64
	arrived  time.Duration
	engine   *overloadEngine
	call     *overloadCall
	done     bool
	overdue  bool
	again    bool
}

func newOverloadRun(pattern overloadPattern, policy overloadPolicy, seed int) *overloadRun {
	r := &overloadRun{
		agenda: newAgenda(), pattern: pattern, policy: policy,
		random:  rand.New(rand.NewPCG(uint64(seed), 23)),
		lines:   make([]latency.Line, len(sizesModels)),
		retries: retry.NewWindow(retry.WindowConfig{Length: 10 * time.Second, Ratio: 0.9, Slack: 40}),
	}
	for range sizesEngines {
		r.engines = append(r.engines, &overloadEngine{})
	}
	return r
}

func (r *overloadRun) play() overloadRecord {
	r.arrive()
	r.after(overloadFrom, r.crash)
	r.every(time.Second, time.Second, func() { r.record.sample(r) })
	r.run(overloadLength)
	return r.record
}

func (r *overloadRun) disturbed() bool {
	return r.elapsed() >= overloadFrom && r.elapsed() < overloadTo
}

// arrive makes requests come, one after the other.
func (r *overloadRun) arrive() {
	weights := make([]float64, overloadAccounts)
	calm, total := 0.0, 0.0
	for account := range weights {
		weights[account] = 1 / float64(account+1)
		calm += weights[account]
		if account == overloadAccounts/2 && r.disturbed() {
			weights[account] *= r.pattern.hot
		}
		total += weights[account]
	}
	rate := sizesRate * total / calm
	if r.disturbed() {
		rate *= r.pattern.load
	}
	draw := r.random.Float64() * total
	account := 0
	for draw >= weights[account] && account < overloadAccounts-1 {
		draw -= weights[account]
		account++
	}
	r.begin(&overloadRequest{
		account:  account,
		tokens:   sizesTokens(r.random),
		hardness: r.random.Float64(),
	})
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
}

// begin starts a client's attempt.
func (r *overloadRun) begin(request *overloadRequest) {
	request.arrived = r.elapsed()
	r.retries.Request(r.now)
	r.record.offered(request)
	r.send(request, sizes.First(r.describe(request)))
	r.after(sizesTarget, func() { r.noteOverdue(request) })
	r.after(overloadPatience, func() { r.leave(request) })
}

// describe is the request as the decisions of package sizes see it.
func (r *overloadRun) describe(request *overloadRequest) sizes.Request {
	described := sizes.Request{
		Target:  sizesTarget,
		Elapsed: r.elapsed() - request.arrived,
		Retries: r.retries.Available(r.now),
	}
	if r.policy.censored {
		described.Relief = r.pressure.Relief()
	}
	for model := range sizesModels {
		described.Models = append(described.Models, sizes.Model{FirstEvent: r.lines[model].Expect(int(request.tokens))})
	}
	return described
}

// send puts the request at the engine with the shortest queue.
func (r *overloadRun) send(request *overloadRequest, model int) {
	var best *overloadEngine
	for _, engine := range r.engines {
		if !engine.lost && (best == nil || len(engine.waiting) < len(best.waiting)) {
			best = engine
		}
	}
	call := &overloadCall{request: request, model: model, sent: r.elapsed()}
	request.engine, request.call = best, call
	best.waiting = append(best.waiting, call)
	if best.reading == nil {
		r.read(best)
	}
	usual := r.lines[model].Expect(int(request.tokens))
	r.after(max(overloadStuck*sizesTarget, overloadUsual*usual), func() { r.giveUp(call) })
}

// read lets an engine read the next prompt whose client still waits.
func (r *overloadRun) read(engine *overloadEngine) {
	engine.reading = nil
	for len(engine.waiting) > 0 && engine.reading == nil {
		next := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		if !next.ended {
			engine.reading = next
		}
	}
	if call := engine.reading; call != nil {
		r.after(reading(call.request.tokens, sizesModels[call.model].pace), func() { r.event(engine, call) })
	}
}

// event is the first event of an answer.
func (r *overloadRun) event(engine *overloadEngine, call *overloadCall) {
	if engine.reading != call {
		return
	}
	if !call.ended {
		call.ended = true
		r.lines[call.model].Add(int(call.request.tokens), r.elapsed()-call.sent)
		r.answer(call)
	}
	r.read(engine)
}

// answer passes the answer on, or asks a larger model.
func (r *overloadRun) answer(call *overloadCall) {
	request := call.request
	accept := sizesAccept
	if r.policy.eases {
		accept = r.pressure.Accept(accept)
	}
	confidence := sizesConfidence(r.random, call.model, request.hardness)
	r.record.spent(request, sizesModels[call.model].cost)
	next, ok := sizes.Next(r.describe(request), call.model, confidence, accept)
	if ok && r.retries.Withdraw(r.now) {
		r.send(request, next)
		return
	}
	request.done = true
	took := r.elapsed() - request.arrived
	if !request.overdue {
		r.pressure.Add(took > sizesTarget)
	}
	r.record.answered(request, took, request.hardness <= sizesModels[call.model].quality)
}

func (r *overloadRun) noteOverdue(request *overloadRequest) {
	if !request.done && r.policy.censored {
		request.overdue = true
		r.pressure.Add(true)
	}
}

// abandon ends a call without an event.
func (r *overloadRun) abandon(call *overloadCall) {
	call.ended = true
	waited := r.elapsed() - call.sent
	line := &r.lines[call.model]
	if r.policy.censored && waited > line.Expect(int(call.request.tokens)) {
		line.Add(int(call.request.tokens), waited)
	}
	if engine := call.request.engine; engine.reading == call {
		r.read(engine)
	}
}

// giveUp ends a call that takes much longer than usual, and sends the request
// again.
func (r *overloadRun) giveUp(call *overloadCall) {
	if call.ended || call.request.done || !r.retries.Withdraw(r.now) {
		return
	}
	r.abandon(call)
	r.send(call.request, call.model)
}

// leave ends a request whose client has waited long enough.
func (r *overloadRun) leave(request *overloadRequest) {
	if request.done {
		return
	}
	request.done = true
	if !request.call.ended {
		r.abandon(request.call)
	}
	if !request.again && r.random.Float64() < r.pattern.abuse {
		r.begin(&overloadRequest{account: request.account, tokens: request.tokens, hardness: request.hardness, again: true})
	}
}

// crash loses engines until the disturbance ends.
func (r *overloadRun) crash() {
	for _, engine := range r.engines[:r.pattern.lost] {
		engine.lost = true
	}
	for _, engine := range r.engines[:r.pattern.lost] {
		r.loseAll(engine)
		r.after(overloadTo-overloadFrom, func() { engine.lost = false })
	}
}

// loseAll sends what was at a crashed engine elsewhere, as far as the retry
// budget goes.
func (r *overloadRun) loseAll(engine *overloadEngine) {
	calls := engine.waiting
	if engine.reading != nil {
		calls = append(calls, engine.reading)
	}
	engine.waiting, engine.reading = nil, nil
	for _, call := range calls {
		if call.ended {
			continue
		}
		call.ended = true
		if r.retries.WithdrawUrgent(r.now) {
			r.send(call.request, call.model)
		}
	}
}
