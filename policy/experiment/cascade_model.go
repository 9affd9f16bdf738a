package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// taskModel describes the requests of one class and the quality of their answers.
type taskModel struct {
	class document.TaskClass
	// mix is the class's share of all requests.
	mix          float64
	promptTokens int
	answerTokens int
	// target is the required share of good answers.
	target float64
	// cheapGood and strongGood are the shares of good answers per version.
	cheapGood  float64
	strongGood float64
}

// tasks returns a mix of mostly short requests.
func tasks() []taskModel {
	return []taskModel{
		{class: "tag", mix: 0.50, promptTokens: 300, answerTokens: 10, target: 0.95, cheapGood: 0.93, strongGood: 0.985},
		{class: "lookup", mix: 0.38, promptTokens: 400, answerTokens: 40, target: 0.95, cheapGood: 0.90, strongGood: 0.98},
		{class: "summary", mix: 0.12, promptTokens: 1500, answerTokens: 300, target: 0.95, cheapGood: 0.15, strongGood: 0.97},
	}
}

// Costs and speeds of the two versions.
var (
	cheapCandidate = cascade.Candidate{
		Ref:        document.Ref{Model: "cheap", Version: "v1"},
		PromptCost: 0.1,
		AnswerCost: 0.4,
		FirstToken: 80 * time.Millisecond,
		PerToken:   10 * time.Millisecond,
	}
	strongCandidate = cascade.Candidate{
		Ref:        document.Ref{Model: "strong", Version: "v1"},
		PromptCost: 1,
		AnswerCost: 4,
		FirstToken: 300 * time.Millisecond,
		PerToken:   40 * time.Millisecond,
	}
)

// Parameters of the stream of requests and ratings.
const (
	cascadeInstances      = 9
	cascadeRate           = 20 // requests per second over all instances
	cascadeExchange       = 20 // requests between two exchanges of counts
	cascadeWarmUp         = 5_000
	cascadeMeasured       = 20_000
	cascadeExplore        = 0.02
	cascadeRatedShare     = 0.6
	cascadeRatingInverted = 0.01
	cascadeRatingDelay    = 3 * time.Second
	cascadeDeadline       = 60 * time.Second
	// answerNoise is the probability that a version gives a bad answer to a request
	// that it should answer well, or the reverse.
	answerNoise = 0.005
)

// drawnAnswer is the answer that a version would give to a request.
type drawnAnswer struct {
	good       bool
	confidence float64
}

// drawnRequest is a request with the answers of both versions.
type drawnRequest struct {
	task   taskModel
	cheap  drawnAnswer
	strong drawnAnswer
}

// cascadeRun feeds one stream of requests to one planner per instance.
type cascadeRun struct {
	random         *rand.Rand
	planRandom     *rand.Rand
	planners       []cascade.Planner
	rule           document.ClassRule
	tasks          []taskModel
	pendingRatings ratingHeap
	now            time.Duration
	served         int
	tallies        map[document.TaskClass]*tally
}

// tally sums up the results of the requests of one class.
type tally struct {
	requests int
	good     int
	cost     float64
	oracle   float64
	latency  time.Duration
}

type pendingRating struct {
	at      time.Duration
	planner int
	rated   cascade.RatedResult
}

type ratingHeap []pendingRating

func (r ratingHeap) Len() int           { return len(r) }
func (r ratingHeap) Less(a, b int) bool { return r[a].at < r[b].at }
func (r ratingHeap) Swap(a, b int)      { r[a], r[b] = r[b], r[a] }
func (r *ratingHeap) Push(x any)        { *r = append(*r, x.(pendingRating)) }
func (r *ratingHeap) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}

func newCascadeRun(seed uint64, rule document.ClassRule, planner func(platform.InstanceID) cascade.Planner) *cascadeRun {
	run := &cascadeRun{
		random:     rand.New(rand.NewPCG(seed, 2)),
		planRandom: rand.New(rand.NewPCG(seed, 3)),
		rule:       rule,
		tasks:      tasks(),
	}
	for i := range cascadeInstances {
		run.planners = append(run.planners, planner(platform.InstanceID(fmt.Sprint("i-", i))))
	}
	run.reset()
	return run
}

func (c *cascadeRun) reset() { c.tallies = map[document.TaskClass]*tally{} }

// serve draws and serves n requests.
func (c *cascadeRun) serve(n int) {
	for range n {
		c.served++
		c.now += time.Second / cascadeRate
		c.deliverRatings()
		c.serveRequest(c.draw())
		if c.served%cascadeExchange == 0 {
			c.exchange()
		}
	}
}

func (c *cascadeRun) draw() drawnRequest {
	task := c.tasks[len(c.tasks)-1]
	draw := c.random.Float64()
	for _, t := range c.tasks {
		if draw < t.mix {
			task = t
			break
		}
		draw -= t.mix
	}
	difficulty := c.random.Float64()
	return drawnRequest{
		task:   task,
		cheap:  c.drawAnswer(difficulty, task.cheapGood),
		strong: c.drawAnswer(difficulty, task.strongGood),
	}
}

func (c *cascadeRun) drawAnswer(difficulty, skill float64) drawnAnswer {
	good := difficulty < skill
	if c.random.Float64() < answerNoise {
		good = !good
	}
	if good {
		return drawnAnswer{good: true, confidence: orderStatistic(c.random, 8, 9)}
	}
	return drawnAnswer{confidence: orderStatistic(c.random, 3, 6)}
}

// orderStatistic draws from Beta(k, n+1-k).
func orderStatistic(random *rand.Rand, k, n int) float64 {
	draws := make([]float64, n)
	for i := range draws {
		draws[i] = random.Float64()
	}
	slices.Sort(draws)
	return draws[k-1]
}

// serveRequest plans a request at a random instance and follows the plan.
func (c *cascadeRun) serveRequest(drawn drawnRequest) {
	index := c.random.IntN(len(c.planners))
	planner := c.planners[index]
	request := cascade.Request{
		Class:        drawn.task.class,
		PromptTokens: drawn.task.promptTokens,
		AnswerTokens: drawn.task.answerTokens,
		Remaining:    cascadeDeadline,
		Candidates:   []cascade.Candidate{cheapCandidate, strongCandidate},
	}
	rule := c.rule
	rule.QualityTarget = drawn.task.target
	plan := planner.Plan(c.planRandom, rule, cascadeExplore, request)
	tally := c.tally(drawn.task.class)
	tally.requests++
	tally.oracle += oracleCost(drawn)
	previousConfidence := 0.0
	for i, step := range plan.Steps {
		candidate, answer := drawn.answerOf(step.Ref)
		tally.cost += drawn.price(candidate)
		tally.latency += candidate.FirstToken + time.Duration(drawn.task.answerTokens)*candidate.PerToken
		result := cascade.Result{Class: drawn.task.class, Ref: step.Ref, Confidence: answer.confidence, Escalated: i > 0, PreviousConfidence: previousConfidence}
		planner.ObserveResult(result)
		if i < len(plan.Steps)-1 && answer.confidence < step.Accept {
			previousConfidence = answer.confidence
			continue
		}
		if answer.good {
			tally.good++
		}
		c.scheduleRating(index, cascade.RatedResult{Result: result, Good: answer.good})
		return
	}
}

func (c *cascadeRun) scheduleRating(planner int, rated cascade.RatedResult) {
	if c.random.Float64() >= cascadeRatedShare {
		return
	}
	if c.random.Float64() < cascadeRatingInverted {
		rated.Good = !rated.Good
	}
	delay := time.Duration(c.random.ExpFloat64() * float64(cascadeRatingDelay))
	heap.Push(&c.pendingRatings, pendingRating{at: c.now + delay, planner: planner, rated: rated})
}

func (c *cascadeRun) deliverRatings() {
	for len(c.pendingRatings) > 0 && c.pendingRatings[0].at <= c.now {
		due := heap.Pop(&c.pendingRatings).(pendingRating)
		c.planners[due.planner].ObserveRating(due.rated)
	}
}

// exchange merges the counts of all learning planners.
func (c *cascadeRun) exchange() {
	for _, from := range c.planners {
		learned, ok := from.(*cascade.LearningPlanner)
		if !ok {
			return
		}
		counts := learned.Export()
		for _, to := range c.planners {
			to.(*cascade.LearningPlanner).Merge(counts)
		}
	}
}

func (c *cascadeRun) tally(class document.TaskClass) *tally {
	t, ok := c.tallies[class]
	if !ok {
		t = &tally{}
		c.tallies[class] = t
	}
	return t
}

func (d drawnRequest) answerOf(ref document.Ref) (cascade.Candidate, drawnAnswer) {
	if ref == cheapCandidate.Ref {
		return cheapCandidate, d.cheap
	}
	return strongCandidate, d.strong
}

func (d drawnRequest) price(c cascade.Candidate) float64 {
	return float64(d.task.promptTokens)*c.PromptCost + float64(d.task.answerTokens)*c.AnswerCost
}

// oracleCost returns the price of the cheapest good answer, or of the cheapest
// answer if none is good.
func oracleCost(d drawnRequest) float64 {
	if d.cheap.good || !d.strong.good {
		return d.price(cheapCandidate)
	}
	return d.price(strongCandidate)
}
