// Package canary moves the requests of one service from one version of its
// endpoints to another, and back if the new version is bad.
//
// A [Rollout] is the pure state of one move as one instance sees it: the
// operator's order, the phase that all instances agree on through the log, and
// the answers that this instance saw. Every instance judges alone; the first
// that finds the new version bad says so in the log, and all others follow.
//
// # Phases
//
// In [Canary] a fixed share of the sessions, chosen by a hash that all
// instances compute alike, runs on the new version. Sessions that this
// instance knows to have begun on the old version stay there. In [Full] all
// requests go to the new version; the old one only ends what it runs. After
// [Completed] the old endpoints stop; after [RolledBack] the new ones do.
//
// # Evidence
//
// Failures and late first events of the two versions feed the sequential test
// of package rollout, which may be looked at after each answer, and slow streams
// another.
package canary

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/policy/rollout"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Phase is how far a roll-out has come.
type Phase int

// Phases. The zero value is an order that nobody has taken up.
const (
	Ordered Phase = iota
	Canary
	Full
	Completed
	RolledBack
)

var phaseNames = [...]string{"ordered", "canary", "full", "completed", "rolled back"}

func (p Phase) String() string { return phaseNames[p] }

// Over reports whether the roll-out has ended.
func (p Phase) Over() bool { return p == Completed || p == RolledBack }

// Order is the operator's order to move a service to a version.
type Order struct {
	Service route.ServiceName
	Target  string
	// Duration is the time in which the move has to be done.
	Duration time.Duration
}

// Status is the agreed state of a service's roll-out.
type Status struct {
	Service route.ServiceName
	Target  string
	Phase   Phase
}

// Tuning bounds a roll-out.
type Tuning struct {
	// Share is the part of the sessions that runs on the new version in
	// [Canary].
	Share float64
	// SessionGap is the longest pause between two requests of one session.
	SessionGap time.Duration
}

const (
	// fullAfter and completeAfter are the parts of the order's duration after
	// which all requests move, and after which the old endpoints may stop: in
	// between, what runs on them comes to its end.
	fullAfter     = 0.7
	completeAfter = 0.93
	// badLogE is the evidence that makes a version bad: a good one is
	// taken for bad once in e^5, about 150 roll-outs, by each of the two tests.
	badLogE = 5.0
	// leastBad is the least number of bad answers that a verdict rests on.
	leastBad = 3
	// aloneBlock is how many answers of the new version are judged together
	// when the old one answers no more.
	aloneBlock = 5
	// slowFirst and slowFloor tell a late first event: so many times the usual
	// time, and at least so long. slowPace tells a slow stream: so many times
	// the usual time from event to event. A good version is not slower than the
	// old one: it has the lesser load.
	slowFirst = 4.0
	slowFloor = 150 * time.Millisecond
	slowPace  = 1.5
	// slowAlone is by how much more an answer must be slow once all requests
	// have moved: a burst then slows the new version alone.
	slowAlone = 2.0
)

// Evidence counts the answers of both versions by what they can show. A stream
// shows its pace beside its first event; most short answers have none, and would
// hide a slow version if all were counted together.
type Evidence struct {
	// Answers are judged by failures and first events, Paces by the time from
	// event to event.
	Answers, Paces rollout.Evidence
}

// aspect is the test of one kind of evidence.
type aspect struct {
	test  *rollout.Test
	block rollout.Evidence
	// own is what this instance saw, all the sum with what the peers told.
	own, all rollout.Evidence
	bad      bool
}

// Rollout is one roll-out as one instance sees it. It is not safe for
// concurrent use.
type Rollout struct {
	Order  Order
	Phase  Phase
	tuning Tuning
	// seen is when this instance first saw the order.
	seen time.Duration

	answers, paces aspect
	peers          map[string]Evidence
}

// New returns a roll-out whose order was seen at a moment of the caller's
// clock.
func New(order Order, tuning Tuning, seen time.Duration) *Rollout {
	return &Rollout{
		Order: order, tuning: tuning, seen: seen, peers: make(map[string]Evidence),
		answers: aspect{test: rollout.NewTest()}, paces: aspect{test: rollout.NewTest()},
	}
}

// Agreed takes in the phase that the log holds.
func (r *Rollout) Agreed(status Status) {
	if status.Target == r.Order.Target {
		r.Phase = status.Phase
	}
}

// Chosen reports whether the hash puts a session on the new version in
// [Canary].
func (r *Rollout) Chosen(session string) bool {
	hash := xxhash.Sum64String(r.Order.Target + "\x00" + string(r.Order.Service) + "\x00" + session)
	return float64(hash) < r.tuning.Share*math.MaxUint64
}

// Answer is what one answer tells of its version.
type Answer struct {
	Version string
	// Failed tells of a failure that the endpoint itself reported.
	Failed bool
	// FirstEvent is the time to the first event, and UsualFirst that of such
	// requests; 0 if unknown.
	FirstEvent, UsualFirst time.Duration
	// Pace is the mean time from event to event, and UsualPace that of such
	// requests; 0 if unknown.
	Pace, UsualPace time.Duration
}

// failed reports whether the answer failed, or began very late. strictness is by
// how much more than usual that must be.
func (a Answer) failed(strictness float64) bool {
	return a.Failed || a.UsualFirst > 0 && a.FirstEvent > slowFloor &&
		float64(a.FirstEvent) > slowFirst*strictness*float64(a.UsualFirst)
}

// slow reports whether the stream was slow.
func (a Answer) slow(strictness float64) bool {
	return float64(a.Pace) > slowPace*strictness*float64(a.UsualPace)
}

// Observe takes in an answer that this instance saw.
func (r *Rollout) Observe(answer Answer) {
	strictness := 1.0
	if r.Phase == Full {
		strictness = slowAlone
	}
	candidate := answer.Version == r.Order.Target
	r.answers.observe(candidate, answer.failed(strictness))
	if answer.Pace > 0 && answer.UsualPace > 0 {
		r.paces.observe(candidate, answer.slow(strictness))
	}
}

func (a *aspect) observe(candidate, bad bool) {
	var seen rollout.Evidence
	switch {
	case candidate && bad:
		seen.CandidateBad++
	case candidate:
		seen.CandidateGood++
	case bad:
		seen.IncumbentBad++
	default:
		seen.IncumbentGood++
	}
	a.own = add(a.own, seen)
	a.take(seen)
}

// Peer takes in the counts of another instance, which only grow.
func (r *Rollout) Peer(instance string, counts Evidence) {
	known := r.peers[instance]
	answers, paces := news(known.Answers, counts.Answers), news(known.Paces, counts.Paces)
	r.peers[instance] = Evidence{Answers: add(known.Answers, answers), Paces: add(known.Paces, paces)}
	r.answers.take(answers)
	r.paces.take(paces)
}

// news is what counts have grown by.
func news(known, counts rollout.Evidence) rollout.Evidence {
	return rollout.Evidence{
		CandidateGood: max(0, counts.CandidateGood-known.CandidateGood),
		CandidateBad:  max(0, counts.CandidateBad-known.CandidateBad),
		IncumbentGood: max(0, counts.IncumbentGood-known.IncumbentGood),
		IncumbentBad:  max(0, counts.IncumbentBad-known.IncumbentBad),
	}
}

func add(a, b rollout.Evidence) rollout.Evidence {
	a.CandidateGood += b.CandidateGood
	a.CandidateBad += b.CandidateBad
	a.IncumbentGood += b.IncumbentGood
	a.IncumbentBad += b.IncumbentBad
	return a
}

// take gathers evidence until both versions have answers, and judges it. When
// all requests have moved, the old version answers no more: what it showed
// before takes its place.
func (a *aspect) take(news rollout.Evidence) {
	a.block = add(a.block, news)
	a.all = add(a.all, news)
	if a.block.Incumbent() == 0 && a.block.Candidate() >= aloneBlock {
		a.block = withHistory(a.block, a.all)
	}
	if a.block.Candidate() == 0 || a.block.Incumbent() == 0 {
		return
	}
	a.test.Observe(a.block)
	a.block = rollout.Evidence{}
	if a.all.CandidateBad >= leastBad && a.test.LogE() > badLogE {
		a.bad = true
	}
}

// withHistory gives a block as many answers of the old version as it has of
// the new one, at the rate of all that were seen.
func withHistory(block, all rollout.Evidence) rollout.Evidence {
	if all.Incumbent() == 0 {
		return block
	}
	bad := float64(block.Candidate()) * float64(all.IncumbentBad) / float64(all.Incumbent())
	block.IncumbentBad = int(math.Round(bad))
	block.IncumbentGood = block.Candidate() - block.IncumbentBad
	return block
}

// Own returns the answers that this instance saw.
func (r *Rollout) Own() Evidence { return Evidence{Answers: r.answers.own, Paces: r.paces.own} }

// All returns the answers that this instance and its peers saw.
func (r *Rollout) All() Evidence { return Evidence{Answers: r.answers.all, Paces: r.paces.all} }

// Next returns the phase that this instance proposes now. available tells
// whether endpoints of the new version take requests.
func (r *Rollout) Next(now time.Duration, available bool) Phase {
	elapsed := float64(now-r.seen) / float64(max(r.Order.Duration, time.Second))
	switch {
	case r.Phase.Over():
		return r.Phase
	case r.answers.bad || r.paces.bad:
		return RolledBack
	case r.Phase == Ordered:
		return Canary
	case !available:
		return r.Phase
	case r.Phase == Canary && elapsed >= fullAfter:
		return Full
	case r.Phase == Full && elapsed >= completeAfter:
		return Completed
	default:
		return r.Phase
	}
}
