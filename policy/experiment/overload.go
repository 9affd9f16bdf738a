package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/sizes"
)

// Parameters of the overload experiment. It simulates the engines and model sizes
// of the sizes experiment, with clients that leave and a retry budget.
const (
	overloadLength = 60 * time.Second
	// overloadFrom and overloadTo bound the disturbance.
	overloadFrom, overloadTo = 20 * time.Second, 35 * time.Second
	// overloadPatience is how long a client waits for the answer.
	overloadPatience = 5 * time.Second
	// If the retry budget allows, a call without an event is cancelled and repeated
	// after the longer of stuckTargetFactor times the latency target and
	// stuckUsualFactor times the expected time.
	stuckTargetFactor, stuckUsualFactor = 2, 6
	overloadAccounts                    = 10
)

// overloadPattern describes a disturbance.
type overloadPattern struct {
	name string
	// loadFactor multiplies the request rate, and hotFactor the rate of one account,
	// during the disturbance.
	loadFactor, hotFactor float64
	// crashes is the number of engines that crash when the disturbance begins.
	crashes int
	// retryShare is the share of clients that retry once, and immediately, if they
	// leave without an answer.
	retryShare float64
}

func overloadPatterns() []overloadPattern {
	return []overloadPattern{
		{name: "burst of 3 times the load", loadFactor: 3, hotFactor: 1},
		{name: "hot account", loadFactor: 1, hotFactor: 20},
		{name: "retry abuse in a burst of 2 times the load", loadFactor: 2, hotFactor: 1, retryShare: 0.5},
		{name: "crash of a quarter of the engines", loadFactor: 1.3, hotFactor: 1, crashes: sizesEngines / 4},
	}
}

// overloadPolicy selects the observations that the decisions use.
type overloadPolicy struct {
	name string
	// lowersConfidence is true if late requests lower the required confidence.
	lowersConfidence bool
	// countsCensored is true if requests without an answer count too: each counts as
	// late once it is overdue, and the wait of its cancelled call raises the expected
	// times. Only then does the pressure affect the choice of the first model, too.
	countsCensored bool
}

func overloadPolicies() []overloadPolicy {
	return []overloadPolicy{
		{name: "fixed confidence"},
		{name: "pressure by answers", lowersConfidence: true},
		{name: "pressure when overdue", lowersConfidence: true, countsCensored: true},
	}
}

// overloadRun simulates one pattern under one policy.
type overloadRun struct {
	*virtualClock
	pattern  overloadPattern
	policy   overloadPolicy
	random   *rand.Rand
	engines  []*overloadEngine
	pressure sizes.Pressure
	// firstEvents estimates the time to the first event, by model.
	firstEvents []latency.Line
	retries     *retry.Window
	record      overloadRecord
}

// overloadEngine processes one prompt at a time.
type overloadEngine struct {
	crashed bool
	waiting []*overloadCall
	reading *overloadCall
}

// overloadCall is one attempt of a request at an engine.
type overloadCall struct {
	request *overloadRequest
	model   int
	sent    time.Duration
	ended   bool
}

// overloadRequest is one request of a client.
type overloadRequest struct {
	account    int
	tokens     float64
	difficulty float64
	arrived    time.Duration
	engine     *overloadEngine
	call       *overloadCall
	done       bool
	overdue    bool
	isRetry    bool
}

func newOverloadRun(pattern overloadPattern, policy overloadPolicy, seed int) *overloadRun {
	r := &overloadRun{
		virtualClock: newVirtualClock(), pattern: pattern, policy: policy,
		random:      rand.New(rand.NewPCG(uint64(seed), 23)),
		firstEvents: make([]latency.Line, len(sizesModels)),
		retries:     retry.NewWindow(retry.WindowConfig{Length: 10 * time.Second, Ratio: 0.9, Slack: 40}),
	}
	for range sizesEngines {
		r.engines = append(r.engines, &overloadEngine{})
	}
	return r
}

func (r *overloadRun) simulate() overloadRecord {
	r.arrive()
	r.after(overloadFrom, r.crash)
	r.every(time.Second, time.Second, func() { r.record.sample(r) })
	r.run(overloadLength)
	return r.record
}

func (r *overloadRun) disturbed() bool {
	return r.elapsed() >= overloadFrom && r.elapsed() < overloadTo
}

// arrive starts one request of a random account and schedules the next arrival.
func (r *overloadRun) arrive() {
	weights := make([]float64, overloadAccounts)
	undisturbed, total := 0.0, 0.0
	for account := range weights {
		weights[account] = 1 / float64(account+1)
		undisturbed += weights[account]
		if account == overloadAccounts/2 && r.disturbed() {
			weights[account] *= r.pattern.hotFactor
		}
		total += weights[account]
	}
	rate := sizesRate * total / undisturbed
	if r.disturbed() {
		rate *= r.pattern.loadFactor
	}
	draw := r.random.Float64() * total
	account := 0
	for draw >= weights[account] && account < overloadAccounts-1 {
		draw -= weights[account]
		account++
	}
	r.startRequest(&overloadRequest{
		account:    account,
		tokens:     sizesTokens(r.random),
		difficulty: r.random.Float64(),
	})
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
}

// startRequest sends a client's request and schedules its timeouts.
func (r *overloadRun) startRequest(request *overloadRequest) {
	request.arrived = r.elapsed()
	r.retries.RecordRequest(r.now)
	r.record.recordOffered(request)
	r.send(request, sizes.First(r.sizesRequest(request)))
	r.after(sizesTarget, func() { r.recordOverdue(request) })
	r.after(overloadPatience, func() { r.clientLeaves(request) })
}

// sizesRequest converts the request to the input of package sizes.
func (r *overloadRun) sizesRequest(request *overloadRequest) sizes.Request {
	converted := sizes.Request{
		Target:  sizesTarget,
		Elapsed: r.elapsed() - request.arrived,
		Retries: r.retries.Available(r.now),
	}
	if r.policy.countsCensored {
		converted.Relief = r.pressure.Relief()
	}
	for model := range sizesModels {
		converted.Models = append(converted.Models, sizes.Model{FirstEvent: r.firstEvents[model].Estimate(int(request.tokens))})
	}
	return converted
}

// send queues the request at the engine with the shortest queue.
func (r *overloadRun) send(request *overloadRequest, model int) {
	var best *overloadEngine
	for _, engine := range r.engines {
		if !engine.crashed && (best == nil || len(engine.waiting) < len(best.waiting)) {
			best = engine
		}
	}
	call := &overloadCall{request: request, model: model, sent: r.elapsed()}
	request.engine, request.call = best, call
	best.waiting = append(best.waiting, call)
	if best.reading == nil {
		r.readNext(best)
	}
	usual := r.firstEvents[model].Estimate(int(request.tokens))
	r.after(max(stuckTargetFactor*sizesTarget, stuckUsualFactor*usual), func() { r.timeOutCall(call) })
}

// readNext starts the next prompt in the engine's queue whose call has not ended.
func (r *overloadRun) readNext(engine *overloadEngine) {
	engine.reading = nil
	for len(engine.waiting) > 0 && engine.reading == nil {
		next := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		if !next.ended {
			engine.reading = next
		}
	}
	if call := engine.reading; call != nil {
		r.after(readingTime(call.request.tokens, sizesModels[call.model].pace), func() { r.firstEvent(engine, call) })
	}
}

// firstEvent handles the first event of an answer.
func (r *overloadRun) firstEvent(engine *overloadEngine, call *overloadCall) {
	if engine.reading != call {
		return
	}
	if !call.ended {
		call.ended = true
		r.firstEvents[call.model].Add(int(call.request.tokens), r.elapsed()-call.sent)
		r.answer(call)
	}
	r.readNext(engine)
}

// answer completes the request, or sends it to a larger model.
func (r *overloadRun) answer(call *overloadCall) {
	request := call.request
	accept := sizesAccept
	if r.policy.lowersConfidence {
		accept = r.pressure.RequiredConfidence(accept)
	}
	confidence := sizesConfidence(r.random, call.model, request.difficulty)
	r.record.recordCost(request, sizesModels[call.model].cost)
	next, ok := sizes.Next(r.sizesRequest(request), call.model, confidence, accept)
	if ok && r.retries.Withdraw(r.now) {
		r.send(request, next)
		return
	}
	request.done = true
	took := r.elapsed() - request.arrived
	if !request.overdue {
		r.pressure.Observe(r.now, took > sizesTarget)
	}
	r.record.recordAnswer(request, took, request.difficulty <= sizesModels[call.model].quality)
}

// recordOverdue counts an unanswered request as late, if the policy counts
// censored requests.
func (r *overloadRun) recordOverdue(request *overloadRequest) {
	if !request.done && r.policy.countsCensored {
		request.overdue = true
		r.pressure.Observe(r.now, true)
	}
}

// cancelCall ends a call that has no event yet.
func (r *overloadRun) cancelCall(call *overloadCall) {
	call.ended = true
	wait := r.elapsed() - call.sent
	line := &r.firstEvents[call.model]
	if r.policy.countsCensored && wait > line.Estimate(int(call.request.tokens)) {
		line.Add(int(call.request.tokens), wait)
	}
	if engine := call.request.engine; engine.reading == call {
		r.readNext(engine)
	}
}

// timeOutCall cancels a call that takes much longer than expected, and sends the
// request again if the retry budget allows.
func (r *overloadRun) timeOutCall(call *overloadCall) {
	if call.ended || call.request.done || !r.retries.Withdraw(r.now) {
		return
	}
	r.cancelCall(call)
	r.send(call.request, call.model)
}

// clientLeaves ends an unanswered request when its client stops waiting. The
// client may retry once.
func (r *overloadRun) clientLeaves(request *overloadRequest) {
	if request.done {
		return
	}
	request.done = true
	if !request.call.ended {
		r.cancelCall(request.call)
	}
	if !request.isRetry && r.random.Float64() < r.pattern.retryShare {
		r.startRequest(&overloadRequest{account: request.account, tokens: request.tokens, difficulty: request.difficulty, isRetry: true})
	}
}

// crash takes engines down until the disturbance ends.
func (r *overloadRun) crash() {
	for _, engine := range r.engines[:r.pattern.crashes] {
		engine.crashed = true
	}
	for _, engine := range r.engines[:r.pattern.crashes] {
		r.resendCalls(engine)
		r.after(overloadTo-overloadFrom, func() { engine.crashed = false })
	}
}

// resendCalls sends the calls of a crashed engine to other engines, as far as the
// retry budget allows.
func (r *overloadRun) resendCalls(engine *overloadEngine) {
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
