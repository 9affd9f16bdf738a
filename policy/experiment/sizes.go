package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/sizes"
)

// Parameters of the sizes experiment. It simulates a pool whose engines process
// one prompt at a time, with three sizes of models.
const (
	sizesEngines = 12
	// sizesTokensPerSecond is the prompt throughput of a model of pace 1.
	sizesTokensPerSecond = 20_000
	sizesMeanTokens      = 6_000
	// sizesSpread is the standard deviation of the logarithm of a prompt's length.
	sizesSpread = 0.8
	// sizesNoise is the standard deviation of the noise of a confidence.
	sizesNoise  = 0.15
	sizesTarget = 2 * time.Second
	sizesLength = 60 * time.Second
	// sizesRate is the normal load in requests per second.
	sizesRate = 18
	// sizesAccept is the confidence required without pressure.
	sizesAccept = 0.5
	// sizesRetries is a retry budget that is never exhausted.
	sizesRetries = 10
	// sizesLate is the worth of a good but late answer, and sizesPoor that of a
	// poor answer. A good answer on time is worth 1.
	sizesLate = 0.3
	sizesPoor = 0.05
)

// sizesModel describes a model: its time per prompt token as a multiple of
// 1/sizesTokensPerSecond seconds, the share of requests that it answers well, and its
// cost per request.
type sizesModel struct{ pace, quality, cost float64 }

var sizesModels = []sizesModel{{0.3, 0.54, 0.01}, {0.8, 0.64, 0.07}, {3.0, 1.0, 0.15}}

// sizesPattern is a load over time: the factor on the request rate, and the number
// of working engines.
type sizesPattern struct {
	name    string
	load    func(at time.Duration) float64
	engines func(at time.Duration) int
}

func sizesPatterns() []sizesPattern {
	all := func(time.Duration) int { return sizesEngines }
	between := func(at, from, to time.Duration) bool { return at >= from && at < to }
	return []sizesPattern{
		{name: "calm", load: func(time.Duration) float64 { return 1 }, engines: all},
		{name: "burst", engines: all, load: func(at time.Duration) float64 {
			if between(at, 20*time.Second, 30*time.Second) {
				return 2.5
			}
			return 1
		}},
		{name: "half of the engines lost", load: func(time.Duration) float64 { return 1.2 }, engines: func(at time.Duration) int {
			if between(at, 20*time.Second, 40*time.Second) {
				return sizesEngines / 2
			}
			return sizesEngines
		}},
		{name: "twice the load", load: func(time.Duration) float64 { return 2 }, engines: all},
	}
}

// sizesPolicy chooses the model for a request.
type sizesPolicy struct {
	name  string
	first func(sizes.Request) int
	next  func(request sizes.Request, asked int, confidence, accept float64) (int, bool)
	// lowersConfidence is true if pressure lowers the required confidence.
	lowersConfidence bool
}

func sizesPolicies() []sizesPolicy {
	never := func(sizes.Request, int, float64, float64) (int, bool) { return 0, false }
	last := len(sizesModels) - 1
	return []sizesPolicy{
		{name: "always small", first: func(sizes.Request) int { return 0 }, next: never},
		{name: "always large", first: func(sizes.Request) int { return last }, next: never},
		{name: "fixed confidence", first: func(sizes.Request) int { return 0 }, next: func(_ sizes.Request, asked int, confidence, accept float64) (int, bool) {
			return last, asked < last && confidence < accept
		}},
		{name: "time and pressure", first: sizes.First, next: sizes.Next, lowersConfidence: true},
	}
}

// sizesRun simulates one pattern under one policy.
type sizesRun struct {
	pattern  sizesPattern
	policy   sizesPolicy
	random   *rand.Rand
	freeAt   [sizesEngines]time.Duration
	pressure sizes.Pressure
}

// sizesResult holds the mean results per request of a run. The cost is deducted from
// the worth.
type sizesResult struct{ worth, onTime, cost float64 }

func (r *sizesRun) simulate() sizesResult {
	var total sizesResult
	requests := 0.0
	for at := time.Duration(0); at < sizesLength; {
		rate := sizesRate * r.pattern.load(at)
		at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		worth, onTime, cost := r.request(at)
		requests++
		total.worth += worth - cost
		total.cost += cost
		if onTime {
			total.onTime++
		}
	}
	return sizesResult{worth: total.worth / requests, onTime: total.onTime / requests, cost: total.cost / requests}
}

// request simulates one request: it calls a first model, and a larger one if the
// policy does not accept the confidence of the answer.
func (r *sizesRun) request(arrived time.Duration) (worth float64, onTime bool, cost float64) {
	tokens := sizesTokens(r.random)
	difficulty := r.random.Float64()
	request := sizes.Request{Target: sizesTarget, Retries: sizesRetries}
	for _, m := range sizesModels {
		request.Models = append(request.Models, sizes.Model{FirstEvent: readingTime(tokens, m.pace)})
	}
	model := r.policy.first(request)
	now := r.readPrompt(arrived, tokens, model)
	cost = sizesModels[model].cost
	accept := sizesAccept
	if r.policy.lowersConfidence {
		accept = r.pressure.RequiredConfidence(accept)
	}
	request.Elapsed = now - arrived
	confidence := sizesConfidence(r.random, model, difficulty)
	if next, ok := r.policy.next(request, model, confidence, accept); ok {
		model = next
		now = r.readPrompt(now, tokens, model)
		cost += sizesModels[model].cost
	}
	onTime = now-arrived <= sizesTarget
	r.pressure.Observe(time.Unix(0, 0).Add(now), !onTime)
	return sizesWorth(difficulty <= sizesModels[model].quality, onTime), onTime, cost
}

// sizesTokens draws the length of a prompt.
func sizesTokens(random *rand.Rand) float64 {
	return sizesMeanTokens * math.Exp(sizesSpread*random.NormFloat64()-sizesSpread*sizesSpread/2)
}

// sizesConfidence draws the confidence of a model's answer to a request with a
// difficulty in [0, 1].
func sizesConfidence(random *rand.Rand, model int, difficulty float64) float64 {
	return 0.5 + sizesModels[model].quality - difficulty + sizesNoise*random.NormFloat64()
}

// sizesWorth returns the worth of an answer to its caller.
func sizesWorth(good, onTime bool) float64 {
	switch {
	case good && onTime:
		return 1
	case good:
		return sizesLate
	default:
		return sizesPoor
	}
}

// readingTime returns the time to process a prompt with a model of the given pace.
func readingTime(tokens, pace float64) time.Duration {
	return time.Duration(tokens * pace / sizesTokensPerSecond * float64(time.Second))
}

// readPrompt processes the prompt at the engine that is free first, and returns the
// time of the first event.
func (r *sizesRun) readPrompt(at time.Duration, tokens float64, model int) time.Duration {
	best := 0
	for engine := range r.pattern.engines(at) {
		if r.freeAt[engine] < r.freeAt[best] {
			best = engine
		}
	}
	r.freeAt[best] = max(r.freeAt[best], at) + readingTime(tokens, sizesModels[model].pace)
	return r.freeAt[best]
}

func runSizes(seeds int) ([]Row, error) {
	var rows []Row
	for _, pattern := range sizesPatterns() {
		best := make([]float64, seeds)
		for _, policy := range sizesPolicies() {
			worth, onTime, cost := make([]float64, seeds), make([]float64, seeds), make([]float64, seeds)
			gain := make([]float64, seeds)
			for seed := range seeds {
				run := &sizesRun{pattern: pattern, policy: policy, random: rand.New(rand.NewPCG(uint64(seed+1), 17))}
				result := run.simulate()
				worth[seed], onTime[seed], cost[seed] = result.worth, result.onTime, result.cost
				gain[seed] = result.worth - best[seed]
				if !policy.lowersConfidence {
					best[seed] = max(best[seed], result.worth)
				}
			}
			name := pattern.name + ": " + policy.name
			rows = append(rows,
				newRow(name, "worth less cost, per request", Target{}, worth),
				newRow(name, "on time, share", Target{}, onTime),
				newRow(name, "cost per request", Target{}, cost))
			if policy.lowersConfidence {
				rows = append(rows, newRow(name, "worth above the best of the others", Target{Bound: MeanAtLeast, Value: 0}, gain))
			}
		}
	}
	return rows, nil
}
