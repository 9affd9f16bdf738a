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
// Failures and very slow answers of the two versions feed the sequential test
// of package rollout, which may be looked at after each answer.
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
	// taken for bad once in e^5, about 150 roll-outs.
	badLogE = 5.0
	// leastBad is the least number of bad answers that a verdict rests on.
	leastBad = 3
	// aloneBlock is how many answers of the new version are judged together
	// when the old one answers no more.
	aloneBlock = 5
	// slowFirst and slowFloor tell a late first event: so many times the usual
	// time, and at least so long. slowPace tells a slow stream: so many times
	// the usual time from event to event.
	slowFirst = 4
	slowFloor = 150 * time.Millisecond
	slowPace  = 2
	// slowAlone is by how much more an answer must be slow once all requests
	// have moved: a burst then slows the new version alone.
	slowAlone = 2
)

// Rollout is one roll-out as one instance sees it. It is not safe for
// concurrent use.
type Rollout struct {
	Order  Order
	Phase  Phase
	tuning Tuning
	// seen is when this instance first saw the order.
	seen time.Duration

	test  *rollout.Test
	block rollout.Evidence
	// own is what this instance saw, peers what each peer told, all the sum.
	own, all   rollout.Evidence
	peers      map[string]rollout.Evidence
	verdictBad bool
}

// New returns a roll-out whose order was seen at a moment of the caller's
// clock.
func New(order Order, tuning Tuning, seen time.Duration) *Rollout {
	return &Rollout{Order: order, tuning: tuning, seen: seen, test: rollout.NewTest(), peers: make(map[string]rollout.Evidence)}
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

// bad reports whether the answer counts against its version. strictness is by
// how much more than usual a slow one must be.
func (a Answer) bad(strictness time.Duration) bool {
	switch {
	case a.Failed:
		return true
	case a.UsualFirst > 0 && a.FirstEvent > slowFloor && a.FirstEvent > slowFirst*strictness*a.UsualFirst:
		return true
	default:
		return a.UsualPace > 0 && a.Pace > slowPace*strictness*a.UsualPace
	}
}

// Observe takes in an answer that this instance saw.
func (r *Rollout) Observe(answer Answer) {
	var seen rollout.Evidence
	strictness := time.Duration(1)
	if r.Phase == Full {
		strictness = slowAlone
	}
	candidate := answer.Version == r.Order.Target
	switch bad := answer.bad(strictness); {
	case candidate && bad:
		seen.CandidateBad++
	case candidate:
		seen.CandidateGood++
	case bad:
		seen.IncumbentBad++
	default:
		seen.IncumbentGood++
	}
	r.own = add(r.own, seen)
	r.take(seen)
}

// Peer takes in the counts of another instance, which only grow.
func (r *Rollout) Peer(instance string, counts rollout.Evidence) {
	known := r.peers[instance]
	news := rollout.Evidence{
		CandidateGood: max(0, counts.CandidateGood-known.CandidateGood),
		CandidateBad:  max(0, counts.CandidateBad-known.CandidateBad),
		IncumbentGood: max(0, counts.IncumbentGood-known.IncumbentGood),
		IncumbentBad:  max(0, counts.IncumbentBad-known.IncumbentBad),
	}
	r.peers[instance] = add(known, news)
	r.take(news)
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
func (r *Rollout) take(news rollout.Evidence) {
	r.block = add(r.block, news)
	r.all = add(r.all, news)
	if r.block.Incumbent() == 0 && r.block.Candidate() >= aloneBlock {
		r.block = withHistory(r.block, r.all)
	}
	if r.block.Candidate() == 0 || r.block.Incumbent() == 0 {
		return
	}
	r.test.Observe(r.block)
	r.block = rollout.Evidence{}
	if r.all.CandidateBad >= leastBad && r.test.LogE() > badLogE {
		r.verdictBad = true
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
func (r *Rollout) Own() rollout.Evidence { return r.own }

// All returns the answers that this instance and its peers saw.
func (r *Rollout) All() rollout.Evidence { return r.all }

// Next returns the phase that this instance proposes now. available tells
// whether endpoints of the new version take requests.
func (r *Rollout) Next(now time.Duration, available bool) Phase {
	elapsed := float64(now-r.seen) / float64(max(r.Order.Duration, time.Second))
	switch {
	case r.Phase.Over():
		return r.Phase
	case r.verdictBad:
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
