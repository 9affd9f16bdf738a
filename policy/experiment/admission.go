package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// admissionCase describes one pool that is offered more requests than it can
// serve.
type admissionCase struct {
	slots int
	// load and overload are the offered work as a multiple of the capacity: load
	// outside the time from overloadFrom to overloadUntil, overload inside it.
	load          float64
	overload      float64
	overloadFrom  time.Duration
	overloadUntil time.Duration
	// outage removes all slots during the overload.
	outage bool
	// maxRetries is how often a refused caller retries.
	maxRetries int
	// fixedRetryDelay replaces the refusal's RetryAfter, if above 0.
	fixedRetryDelay time.Duration
	// uncontrolled selects the baseline, which serves all requests in order of arrival.
	uncontrolled bool
	length       time.Duration
}

// accountShares are the shares of the offered requests by account: one large
// account and three small ones.
var accountShares = []float64{0.79, 0.1, 0.1, 0.01}

const (
	admissionMeanWork = time.Second
	admissionDeadline = 4 * time.Second
	admissionWindow   = 5 * time.Second
	admissionTick     = 100 * time.Millisecond
	// admissionWorkSigma is the standard deviation of the logarithm of the ratio
	// of actual to expected work.
	admissionWorkSigma = 0.3
	admissionWarmUp    = 20 * time.Second
	// maxRetryPeak is the arrival rate above which the arrivals after an overload or
	// an outage count as a retry storm, as a multiple of the rate of first attempts.
	maxRetryPeak = 2
)

// admissionRun is one run of an admissionCase.
type admissionRun struct {
	admissionCase
	clock     *virtualClock
	random    *rand.Rand
	queue     *admission.Queue
	fifo      []*admissionRequest
	busy      int
	active    map[admission.Token]*admissionRequest
	lastToken admission.Token
	result    admissionResult
	// firstAttempts counts the first attempts by the second of their arrival, and
	// missedFirstAttempts those of them that were refused or late.
	firstAttempts       map[int]int
	missedFirstAttempts map[int]int
	arrivalsByWindow    map[int]int
}

// admissionRequest is one request with its retries.
type admissionRequest struct {
	account      int
	expectedWork time.Duration
	actualWork   time.Duration
	deadline     time.Time
	retries      int
	arrived      time.Time
}

// admissionResult is the result of a run.
type admissionResult struct {
	// inTime is the slot time of the answers before the deadline, in seconds, by
	// account. It omits the answers during the warm-up.
	inTime []float64
	// offered is the slot time of the first attempts, in seconds, by account. It
	// omits the attempts during the warm-up.
	offered []float64
	// recovery is the time from the end of the overload to the end of the last
	// second in which more than one in ten first attempts was refused or late.
	recovery time.Duration
	// retryPeak is the highest number of arrivals in a window of five seconds after
	// the end of the overload, as a multiple of the expected number of first attempts
	// in such a window.
	retryPeak float64
}

func runAdmissionCase(c admissionCase, seed uint64) admissionResult {
	s := &admissionRun{
		admissionCase:       c,
		clock:               newVirtualClock(),
		random:              rand.New(rand.NewPCG(seed, 9)),
		queue:               admission.New(admission.Config{Slots: float64(c.slots)}),
		active:              make(map[admission.Token]*admissionRequest),
		arrivalsByWindow:    make(map[int]int),
		firstAttempts:       make(map[int]int),
		missedFirstAttempts: make(map[int]int),
	}
	s.result.inTime = make([]float64, len(accountShares))
	s.result.offered = make([]float64, len(accountShares))
	s.clock.every(admissionTick, admissionTick, func() { s.apply(s.queue.Tick(s.clock.now)) })
	if c.outage {
		s.clock.after(c.overloadFrom, func() { s.apply(s.queue.SetSlots(s.clock.now, 0)) })
		s.clock.after(c.overloadUntil, func() { s.apply(s.queue.SetSlots(s.clock.now, float64(c.slots))) })
	}
	s.startArrivals()
	s.clock.run(c.length)
	return s.summarize()
}

func (s *admissionRun) startArrivals() {
	var next func()
	next = func() {
		s.arrive(s.drawRequest())
		rate := s.currentLoad() * float64(s.slots) / admissionMeanWork.Seconds()
		s.clock.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.clock.after(0, next)
}

func (s *admissionRun) currentLoad() float64 {
	if s.overloaded() {
		return s.overload
	}
	return s.load
}

func (s *admissionRun) overloaded() bool {
	elapsed := s.clock.elapsed()
	return elapsed >= s.overloadFrom && elapsed < s.overloadUntil
}

func (s *admissionRun) drawRequest() *admissionRequest {
	expected := scaleDuration(admissionMeanWork, 0.2+0.8*s.random.ExpFloat64())
	workRatio := math.Exp(admissionWorkSigma*s.random.NormFloat64() - admissionWorkSigma*admissionWorkSigma/2)
	r := &admissionRequest{account: s.drawAccount(), expectedWork: expected, actualWork: scaleDuration(expected, workRatio)}
	if s.clock.elapsed() >= admissionWarmUp {
		s.result.offered[r.account] += r.actualWork.Seconds()
	}
	return r
}

func (s *admissionRun) drawAccount() int {
	draw := s.random.Float64()
	for i, share := range accountShares {
		draw -= share
		if draw < 0 {
			return i
		}
	}
	return 0
}

func (s *admissionRun) arrive(r *admissionRequest) {
	s.arrivalsByWindow[int(s.clock.elapsed()/admissionWindow)]++
	r.arrived = s.clock.now
	if r.retries == 0 {
		s.firstAttempts[secondOf(r.arrived)]++
	}
	r.deadline = s.clock.now.Add(admissionDeadline + r.expectedWork)
	if s.uncontrolled {
		s.fifo = append(s.fifo, r)
		s.serveFIFO()
		return
	}
	s.lastToken++
	s.active[s.lastToken] = r
	request := admission.Request{
		Account:   document.AccountID(rune('a' + r.account)),
		Work:      r.expectedWork,
		Remaining: r.deadline.Sub(s.clock.now),
	}
	s.apply(s.queue.Offer(s.clock.now, request, s.lastToken))
}

func (s *admissionRun) apply(effects []admission.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case admission.Start:
			s.start(effect.Token)
		case admission.Refuse:
			s.refuse(effect)
		}
	}
}

func (s *admissionRun) start(token admission.Token) {
	r := s.active[token]
	s.clock.after(r.actualWork, func() {
		delete(s.active, token)
		s.answer(r)
		s.apply(s.queue.Done(s.clock.now, token, r.actualWork))
	})
}

func (s *admissionRun) serveFIFO() {
	for s.busy < s.slots && len(s.fifo) > 0 {
		r := s.fifo[0]
		s.fifo = s.fifo[1:]
		s.busy++
		s.clock.after(r.actualWork, func() {
			s.busy--
			s.answer(r)
			s.serveFIFO()
		})
	}
}

func (s *admissionRun) answer(r *admissionRequest) {
	if s.clock.now.After(r.deadline) {
		s.recordMiss(r)
		return
	}
	if s.clock.elapsed() >= admissionWarmUp {
		s.result.inTime[r.account] += r.actualWork.Seconds()
	}
}

func (s *admissionRun) refuse(effect admission.Refuse) {
	r := s.active[effect.Token]
	delete(s.active, effect.Token)
	s.recordMiss(r)
	if r.retries >= s.maxRetries {
		return
	}
	r.retries++
	wait := effect.Refusal.RetryAfter
	if s.fixedRetryDelay > 0 {
		wait = s.fixedRetryDelay
	}
	s.clock.after(wait, func() { s.arrive(r) })
}

func (s *admissionRun) recordMiss(r *admissionRequest) {
	if r.retries == 0 {
		s.missedFirstAttempts[secondOf(r.arrived)]++
	}
}

func (s *admissionRun) summarize() admissionResult {
	endSecond := int(s.overloadUntil / time.Second)
	for second, missed := range s.missedFirstAttempts {
		if second >= endSecond && missed > s.firstAttempts[second]/missDivisor {
			s.result.recovery = max(s.result.recovery, time.Duration(second+1-endSecond)*time.Second)
		}
	}
	expected := s.load * float64(s.slots) * admissionWindow.Seconds() / admissionMeanWork.Seconds()
	for window, count := range s.arrivalsByWindow {
		if time.Duration(window)*admissionWindow >= s.overloadUntil {
			s.result.retryPeak = max(s.result.retryPeak, float64(count)/expected)
		}
	}
	return s.result
}

// missDivisor defines the end of the recovery: the pool has not recovered during a
// second of the run in which more than 1/missDivisor of the first attempts missed.
const missDivisor = 10

func secondOf(at time.Time) int { return int(at.Sub(time.Unix(clockStart, 0)) / time.Second) }

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// maxMin returns the max-min fair shares of the capacity.
func maxMin(offered []float64, capacity float64) []float64 {
	shares := make([]float64, len(offered))
	order := make([]int, len(offered))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if offered[a] < offered[b] {
			return -1
		}
		return 1
	})
	for i, account := range order {
		equal := capacity / float64(len(order)-i)
		shares[account] = min(offered[account], equal)
		capacity -= shares[account]
	}
	return shares
}

func runAdmission(seeds int) ([]Row, error) {
	steady := admissionCase{slots: 32, load: 2, length: admissionWarmUp + 2*time.Minute}
	burst := admissionCase{
		slots: 32, load: 0.7, overload: 2, length: 5 * time.Minute,
		overloadFrom: time.Minute, overloadUntil: 90 * time.Second,
	}
	outage := burst
	outage.overload, outage.outage, outage.maxRetries = 0.7, true, 5
	retrying := burst
	retrying.maxRetries = 5

	var rows []Row
	rows = append(rows, admissionSteadyRows("deadline-aware, twice the capacity", steady, seeds, true)...)
	rows = append(rows, admissionRecoveryRows("deadline-aware, 30 s of twice the capacity", burst, seeds, true)...)
	rows = append(rows, admissionRecoveryRows("the same, refused callers return", retrying, seeds, false)...)
	rows = append(rows, admissionRecoveryRows("deadline-aware, 30 s outage, callers return", outage, seeds, false)...)
	outage.fixedRetryDelay = 5 * time.Second
	rows = append(rows, admissionRecoveryRows("the same, all told to return in 5 s", outage, seeds, false)...)
	steady.uncontrolled, burst.uncontrolled = true, true
	rows = append(rows, admissionSteadyRows("no control, twice the capacity", steady, seeds, false)...)
	rows = append(rows, admissionRecoveryRows("no control, 30 s of twice the capacity", burst, seeds, false)...)
	return rows, nil
}

func admissionSteadyRows(name string, c admissionCase, seeds int, targets bool) []Row {
	var goodput, fairness []float64
	capacity := float64(c.slots) * (c.length - admissionWarmUp).Seconds()
	for seed := range uint64(seeds) {
		result := runAdmissionCase(c, seed+1)
		total, least := 0.0, math.Inf(1)
		for i, share := range maxMin(result.offered, capacity) {
			total += result.inTime[i]
			least = min(least, result.inTime[i]/share)
		}
		goodput = append(goodput, total/capacity)
		fairness = append(fairness, least)
	}
	return []Row{
		newRow(name, "in-time work / capacity", target(targets, MeanAtLeast, 0.9), goodput),
		newRow(name, "least account's part / max-min part", target(targets, MeanAtLeast, 0.9), fairness),
	}
}

func admissionRecoveryRows(name string, c admissionCase, seeds int, targets bool) []Row {
	var recovery, peak, share []float64
	for seed := range uint64(seeds) {
		result := runAdmissionCase(c, seed+1)
		recovery = append(recovery, result.recovery.Seconds())
		peak = append(peak, result.retryPeak)
		inTime, offered := 0.0, 0.0
		for i := range result.inTime {
			inTime += result.inTime[i]
			offered += result.offered[i]
		}
		share = append(share, inTime/offered)
	}
	return []Row{
		newRow(name, "s until 9 of 10 first tries are in time", target(targets, MeanAtMost, 5), recovery),
		newRow(name, "busiest 5 s' arrivals / fresh ones", target(c.maxRetries > 0 && c.fixedRetryDelay == 0, MeanAtMost, maxRetryPeak), peak),
		newRow(name, "share of the offered work done in time", Target{}, share),
	}
}
