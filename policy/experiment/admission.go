package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// crowdCase describes one pool under more requests than it can serve.
type crowdCase struct {
	slots int
	// load is the offered work as a multiple of the capacity, outside and
	// inside the time from overloadFrom to overloadUntil.
	load          float64
	overload      float64
	overloadFrom  time.Duration
	overloadUntil time.Duration
	// outage takes all slots away during the overload.
	outage bool
	// returns is how often a refused caller comes back.
	returns int
	// fixedReturn replaces the wait that refused callers are told, if above 0.
	fixedReturn time.Duration
	// uncontrolled admits all in order of arrival: the baseline.
	uncontrolled bool
	length       time.Duration
}

// crowdShares are the parts of the offered requests by account: one large
// account and three small ones.
var crowdShares = []float64{0.79, 0.1, 0.1, 0.01}

const (
	crowdWork     = time.Second
	crowdDeadline = 4 * time.Second
	crowdWindow   = 5 * time.Second
	crowdTick     = 100 * time.Millisecond
	// crowdSpread is the standard deviation of the logarithm of the quotient
	// of actual and expected work.
	crowdSpread = 0.3
	crowdWarmUp = 20 * time.Second
	// crowdPeak is the rush after an outage that does not count as a storm, as
	// a multiple of the fresh arrivals.
	crowdPeak = 2
)

type crowd struct {
	crowdCase
	agenda *agenda
	random *rand.Rand
	queue  *admission.Queue
	fifo   []*visit
	busy   int
	visits map[admission.Token]*visit
	tokens admission.Token
	result crowdResult
	// firstTries and missedTries count the first tries by the second of their
	// arrival, all and those refused or late.
	firstTries  map[int]int
	missedTries map[int]int
	byWindow    map[int]int
}

// visit is one request.
type visit struct {
	account  int
	expected time.Duration
	took     time.Duration
	deadline time.Time
	tries    int
	arrived  time.Time
}

// crowdResult is what a run came to.
type crowdResult struct {
	// good is the slot time of the answers in time, per account.
	good []float64
	// offered is the slot time of the first tries, per account.
	offered []float64
	// recovery is the time from the end of the overload to the last second of
	// which more than one in ten first tries was refused or late.
	recovery time.Duration
	// peak is the most arrivals in five seconds after the overload's end as a
	// multiple of the fresh ones.
	peak float64
}

func runCrowd(c crowdCase, seed uint64) crowdResult {
	s := &crowd{
		crowdCase:   c,
		agenda:      newAgenda(),
		random:      rand.New(rand.NewPCG(seed, 9)),
		queue:       admission.New(admission.Config{Slots: float64(c.slots)}),
		visits:      make(map[admission.Token]*visit),
		byWindow:    make(map[int]int),
		firstTries:  make(map[int]int),
		missedTries: make(map[int]int),
	}
	s.result.good = make([]float64, len(crowdShares))
	s.result.offered = make([]float64, len(crowdShares))
	s.agenda.every(crowdTick, crowdTick, func() { s.perform(s.queue.Tick(s.agenda.now)) })
	if c.outage {
		s.agenda.after(c.overloadFrom, func() { s.perform(s.queue.SetSlots(s.agenda.now, 0)) })
		s.agenda.after(c.overloadUntil, func() { s.perform(s.queue.SetSlots(s.agenda.now, float64(c.slots))) })
	}
	s.startArrivals()
	s.agenda.run(c.length)
	return s.finish()
}

func (s *crowd) startArrivals() {
	var next func()
	next = func() {
		s.arrive(s.newVisit())
		rate := s.loadNow() * float64(s.slots) / crowdWork.Seconds()
		s.agenda.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.agenda.after(0, next)
}

func (s *crowd) loadNow() float64 {
	if s.overloaded() {
		return s.overload
	}
	return s.load
}

func (s *crowd) overloaded() bool {
	elapsed := s.agenda.elapsed()
	return elapsed >= s.overloadFrom && elapsed < s.overloadUntil
}

func (s *crowd) newVisit() *visit {
	expected := scaleDuration(crowdWork, 0.2+0.8*s.random.ExpFloat64())
	error := math.Exp(crowdSpread*s.random.NormFloat64() - crowdSpread*crowdSpread/2)
	v := &visit{account: s.account(), expected: expected, took: scaleDuration(expected, error)}
	if s.agenda.elapsed() >= crowdWarmUp {
		s.result.offered[v.account] += v.took.Seconds()
	}
	return v
}

func (s *crowd) account() int {
	at := s.random.Float64()
	for i, share := range crowdShares {
		at -= share
		if at < 0 {
			return i
		}
	}
	return 0
}

func (s *crowd) arrive(v *visit) {
	s.byWindow[int(s.agenda.elapsed()/crowdWindow)]++
	v.arrived = s.agenda.now
	if v.tries == 0 {
		s.firstTries[secondOf(v.arrived)]++
	}
	v.deadline = s.agenda.now.Add(crowdDeadline + v.expected)
	if s.uncontrolled {
		s.fifo = append(s.fifo, v)
		s.serveFIFO()
		return
	}
	s.tokens++
	s.visits[s.tokens] = v
	request := admission.Request{
		Account: document.AccountID(rune('a' + v.account)),
		Work:    v.expected,
		Left:    v.deadline.Sub(s.agenda.now),
	}
	s.perform(s.queue.Offer(s.agenda.now, request, s.tokens))
}

func (s *crowd) perform(effects []admission.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case admission.Start:
			s.start(effect.Token)
		case admission.Refuse:
			s.refuse(effect)
		}
	}
}

func (s *crowd) start(token admission.Token) {
	v := s.visits[token]
	s.agenda.after(v.took, func() {
		delete(s.visits, token)
		s.answer(v)
		s.perform(s.queue.Done(s.agenda.now, token, v.took))
	})
}

func (s *crowd) serveFIFO() {
	for s.busy < s.slots && len(s.fifo) > 0 {
		v := s.fifo[0]
		s.fifo = s.fifo[1:]
		s.busy++
		s.agenda.after(v.took, func() {
			s.busy--
			s.answer(v)
			s.serveFIFO()
		})
	}
}

func (s *crowd) answer(v *visit) {
	if s.agenda.now.After(v.deadline) {
		s.missed(v)
		return
	}
	if s.agenda.elapsed() >= crowdWarmUp {
		s.result.good[v.account] += v.took.Seconds()
	}
}

func (s *crowd) refuse(effect admission.Refuse) {
	v := s.visits[effect.Token]
	delete(s.visits, effect.Token)
	s.missed(v)
	if v.tries >= s.returns {
		return
	}
	v.tries++
	wait := effect.Refusal.RetryAfter
	if s.fixedReturn > 0 {
		wait = s.fixedReturn
	}
	s.agenda.after(wait, func() { s.arrive(v) })
}

func (s *crowd) missed(v *visit) {
	if v.tries == 0 {
		s.missedTries[secondOf(v.arrived)]++
	}
}

func (s *crowd) finish() crowdResult {
	ended := int(s.overloadUntil / time.Second)
	for second, missed := range s.missedTries {
		if second >= ended && missed > s.firstTries[second]/missShare {
			s.result.recovery = max(s.result.recovery, time.Duration(second+1-ended)*time.Second)
		}
	}
	fresh := s.load * float64(s.slots) * crowdWindow.Seconds() / crowdWork.Seconds()
	for window, count := range s.byWindow {
		if time.Duration(window)*crowdWindow >= s.overloadUntil {
			s.result.peak = max(s.result.peak, float64(count)/fresh)
		}
	}
	return s.result
}

// missShare is the reciprocal of the share of misses that is no overload.
const missShare = 10

func secondOf(at time.Time) int { return int(at.Sub(time.Unix(agendaStart, 0)) / time.Second) }

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// maxMin returns the max-min fair parts of the capacity.
func maxMin(offered []float64, capacity float64) []float64 {
	parts := make([]float64, len(offered))
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
		parts[account] = min(offered[account], equal)
		capacity -= parts[account]
	}
	return parts
}

func runAdmission(seeds int) ([]Row, error) {
	steady := crowdCase{slots: 32, load: 2, length: crowdWarmUp + 2*time.Minute}
	ended := crowdCase{
		slots: 32, load: 0.7, overload: 2, length: 5 * time.Minute,
		overloadFrom: time.Minute, overloadUntil: 90 * time.Second,
	}
	outage := ended
	outage.overload, outage.outage, outage.returns = 0.7, true, 5
	patient := ended
	patient.returns = 5

	var rows []Row
	rows = append(rows, crowdSteadyRows("deadline-aware, twice the capacity", steady, seeds, true)...)
	rows = append(rows, crowdRecoveryRows("deadline-aware, 30 s of twice the capacity", ended, seeds, true)...)
	rows = append(rows, crowdRecoveryRows("the same, refused callers return", patient, seeds, false)...)
	rows = append(rows, crowdRecoveryRows("deadline-aware, 30 s outage, callers return", outage, seeds, false)...)
	outage.fixedReturn = 5 * time.Second
	rows = append(rows, crowdRecoveryRows("the same, all told to return in 5 s", outage, seeds, false)...)
	steady.uncontrolled, ended.uncontrolled = true, true
	rows = append(rows, crowdSteadyRows("no control, twice the capacity", steady, seeds, false)...)
	rows = append(rows, crowdRecoveryRows("no control, 30 s of twice the capacity", ended, seeds, false)...)
	return rows, nil
}

func crowdSteadyRows(name string, c crowdCase, seeds int, targets bool) []Row {
	var goodput, fairness []float64
	capacity := float64(c.slots) * (c.length - crowdWarmUp).Seconds()
	for seed := range uint64(seeds) {
		result := runCrowd(c, seed+1)
		total, least := 0.0, math.Inf(1)
		for i, part := range maxMin(result.offered, capacity) {
			total += result.good[i]
			least = min(least, result.good[i]/part)
		}
		goodput = append(goodput, total/capacity)
		fairness = append(fairness, least)
	}
	return []Row{
		newRow(name, "in-time work / capacity", target(targets, MeanAtLeast, 0.9), goodput),
		newRow(name, "least account's part / max-min part", target(targets, MeanAtLeast, 0.9), fairness),
	}
}

func crowdRecoveryRows(name string, c crowdCase, seeds int, targets bool) []Row {
	var recovery, peak, share []float64
	for seed := range uint64(seeds) {
		result := runCrowd(c, seed+1)
		recovery = append(recovery, result.recovery.Seconds())
		peak = append(peak, result.peak)
		good, offered := 0.0, 0.0
		for i := range result.good {
			good += result.good[i]
			offered += result.offered[i]
		}
		share = append(share, good/offered)
	}
	return []Row{
		newRow(name, "s until 9 of 10 first tries are in time", target(targets, MeanAtMost, 5), recovery),
		newRow(name, "busiest 5 s' arrivals / fresh ones", target(c.returns > 0 && c.fixedReturn == 0, MeanAtMost, crowdPeak), peak),
		newRow(name, "share of the offered work done in time", Target{}, share),
	}
}
