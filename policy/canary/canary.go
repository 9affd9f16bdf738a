// Package canary moves the requests of one service from one version of its endpoints
// to another, and back if the new version is bad.
//
// A [Rollout] is a pure state machine for one roll-out on one instance. Its inputs are
// the operator's order, the phase that the instances agree on through the log, and the
// answers observed by this instance and its peers. Every instance evaluates the
// evidence on its own; the first to find the new version bad appends a rollback to the
// log, and the others follow it.
//
// # Phases
//
// In [Canary], a fixed share of the sessions runs on the new version. A hash that is
// the same on all instances selects them. Sessions that this instance knows to have
// started on the old version stay there. In [Full], all requests go to the new
// version, and the old one finishes its running requests. After [Completed] the old
// endpoints stop, after [RolledBack] the new ones.
//
// # Exposure
//
// Until the order's time is over, the new version gets at most a share of all requests, and a
// slack, whether or not it is found to be bad. Each instance counts its attempts: one
// at the new version needs surplus of the share, unless an earlier request binds it. The move
// to [Full] waits until the surplus of all known instances covers the requests that are
// expected until the time is over, and so does [Completed]. Evidence only ends a roll-out
// earlier.
//
// # Evidence
//
// One sequential test of package rollout compares the failures and late first events
// of the two versions, a second one compares slow streams. A third one compares the times
// of answers with the usual ones at the endpoint's load, at several levels. A fourth one compares
// failures route by route: a route that often fails would hide those of the others. The tests remain
// valid if evaluated after each answer. A version in doubt is not completed, also beyond the
// order's duration.
package canary

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/policy/rollout"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Phase is the progress of a roll-out.
type Phase int

// Phases of a roll-out. The zero value is [Ordered].
const (
	// Ordered is the phase of an order that no instance has started to carry out.
	Ordered Phase = iota
	Canary
	Full
	Completed
	RolledBack
)

var phaseNames = [...]string{"ordered", "canary", "full", "completed", "rolled back"}

func (p Phase) String() string { return phaseNames[p] }

// IsFinal reports whether the roll-out has ended.
func (p Phase) IsFinal() bool { return p == Completed || p == RolledBack }

// MovesAll reports whether all requests move to the new version.
func (p Phase) MovesAll() bool { return p == Full || p == Completed }

// Order is an operator's order to move a service to a version.
type Order struct {
	Service route.ServiceName
	Target  string
	// Duration is the time within which the roll-out must complete.
	Duration time.Duration
}

// Status is the agreed state of a service's roll-out, as recorded in the log.
type Status struct {
	Service route.ServiceName
	Target  string
	Phase   Phase
}

// Tuning holds the parameters of a roll-out.
type Tuning struct {
	// Share is the share of sessions that runs on the new version in [Canary].
	Share float64
	// SessionGap is the longest pause between two requests of one session.
	SessionGap time.Duration
	// ExposureShare is the share of a service's requests that the new version may get until the
	// order's time is over, and ExposureSlack the number of requests beyond it, of all
	// instances together.
	ExposureShare, ExposureSlack float64
}

const (
	// fullAfter is the fraction of the order's duration after which all requests may move.
	// The old endpoints may stop completeBefore, or the fraction completePart if that is
	// less, before the time is over. minFull is the fraction for which all requests run on the
	// new version until then. It shows how the new version bears the load, and lets requests on
	// the old endpoints finish.
	fullAfter      = 0.7
	completeBefore = 700 * time.Millisecond
	completePart   = 0.07
	minFull        = 0.04
	// badLogE is the log e-value above which a version is judged bad. Each of the three
	// tests rejects a good version with a probability of at most e^-5, or once in about
	// 150 roll-outs (e^5).
	badLogE = 5.0
	// minBadAnswers is the minimum number of the new version's bad answers from which
	// the version is judged bad.
	minBadAnswers = 3
	// soloBlock is the number of answers of the new version that are judged together
	// once the old one serves few requests or none.
	soloBlock = 5
	// maxHistoryRatio bounds the old version's earlier answers that are compared with one of the
	// new version.
	maxHistoryRatio = 10
	// A first event is late if it takes more than lateFirstFactor times the usual time
	// and more than lateFirstMin. A stream is slow if the time between its events is more
	// than slowPaceFactor times the usual one. A good version is not slower than the old
	// one, because it has less load.
	lateFirstFactor = 4.0
	lateFirstMin    = 150 * time.Millisecond
	slowPaceFactor  = 1.5
	// fullStrictness multiplies these factors in [Full], when a burst of load slows only
	// the new version.
	fullStrictness = 2.0
	// slownessTolerance is how many times as slow as the old version, at the same load, a
	// good version may be.
	slownessTolerance = 1.05
	// decideBy is the fraction of the order's duration until which a version stays in
	// [Canary] while it has fewer than minTimed timed answers, or a log e-value against it
	// above doubtLogE.
	decideBy  = 0.78
	minTimed  = 12
	doubtLogE = 1.5
	// holdLogE is the log e-value above which requests do not move, whatever the time: the
	// answers speak against the new version. A tenth of the good ones may be held up.
	holdLogE = 0.5
	// holdSlownessLogE is the same for the times at equal load before all requests move, once
	// there are minTimed of them. It is lower because a good version's times, at endpoints with
	// less load, speak for it.
	holdSlownessLogE = -1.5
)

// slownessLevels are the multiples of the usual time at which the times of both versions are
// compared. A single level would be blind to versions that are as slow as the level, or to
// a part of the answers being much slower.
var slownessLevels = [...]float64{1, 1.25, 1.5, 2, 3}

// Evidence counts the answers of both versions by kind of evidence. Every answer is
// counted in Answers, and only an answer whose pace and usual pace are known is also
// counted in Paces. Most short answers have no pace; counting all answers together would
// hide a slow version.
type Evidence struct {
	// Answers counts answers that failed or had a late first event as bad, Paces those
	// with slow times between events.
	Answers, Paces rollout.Evidence
	// Failures counts only answers that failed as bad: under load, so many first events are late
	// with any version that they hide a few failures.
	Failures rollout.Evidence
	// Slowness counts the answers above each of the levels as bad.
	Slowness [len(slownessLevels)]rollout.Evidence
	// Routes counts the same as Answers by route, for routes with answers of the new version.
	Routes map[string]rollout.Evidence
}

// evidenceTest is the sequential test of one kind of evidence.
type evidenceTest struct {
	test  *rollout.SequentialTest
	block rollout.Evidence
	// local counts the answers observed by this instance, total also those observed by
	// its peers.
	local, total rollout.Evidence
	bad          bool
}

// Rollout is the state of one roll-out on one instance. It is not safe for
// concurrent use.
type Rollout struct {
	Order  Order
	Phase  Phase
	tuning Tuning
	// seenAt is when this instance first read the order.
	seenAt time.Duration

	answers, failures, paces evidenceTest
	slowness                 [len(slownessLevels)]evidenceTest
	routes                   routeTests
	// zones holds the evidence of the other instances.
	zones map[string]*zoneEvidence
	// sends counts the attempts of this instance.
	sends Sends
	rate  rateMeter
	// peerDoubts holds when the instances that doubt the new version said so.
	peerDoubts map[string]time.Duration
	// fleetSize is the largest number of live instances since the order.
	fleetSize int
	// fullSince is when this instance first knew the roll-out to be in [Full], 0 before.
	fullSince time.Duration
}

// New returns the roll-out of an order that was first read at seenAt, on the caller's
// clock.
func New(order Order, tuning Tuning, seenAt time.Duration) *Rollout {
	r := &Rollout{
		Order: order, tuning: tuning, seenAt: seenAt, routes: routeTests{tests: make(map[string]*evidenceTest)}, zones: make(map[string]*zoneEvidence), peerDoubts: make(map[string]time.Duration),
		answers: evidenceTest{test: rollout.NewSequentialTest()}, failures: evidenceTest{test: rollout.NewSequentialTest()}, paces: evidenceTest{test: rollout.NewSequentialTest()},
	}
	for level := range r.slowness {
		r.slowness[level].test = rollout.NewLevelTest()
	}
	return r
}

// ApplyStatus sets the phase to the one recorded in the log. It ignores the status of
// another target, and one that the roll-out has left behind.
func (r *Rollout) ApplyStatus(status Status) {
	if status.Target == r.Order.Target && !r.HasLeft(status.Phase) {
		r.Phase = status.Phase
	}
}

// HasLeft reports whether the roll-out has been agreed to be in a later phase than the
// given one. The log records an earlier phase again only if it was restored from an older
// copy. Of two final phases, the one in the log counts.
func (r *Rollout) HasLeft(phase Phase) bool { return phase < r.Phase && !phase.IsFinal() }

// IsInCanary reports whether the hash assigns a session to the new version in [Canary].
func (r *Rollout) IsInCanary(session string) bool {
	hash := xxhash.Sum64String(r.Order.Target + "\x00" + string(r.Order.Service) + "\x00" + session)
	return float64(hash) < r.tuning.Share*math.MaxUint64
}

// Answer describes one answer of one of the versions.
type Answer struct {
	Version string
	// Route is the name of the request's route.
	Route string
	// Failed is set if the endpoint itself reported a failure.
	Failed bool
	// FirstEvent is the time to the first event, UsualFirstEvent the usual one for such
	// requests; 0 if unknown.
	FirstEvent, UsualFirstEvent time.Duration
	// Pace is the mean time between events, UsualPace the usual one for such requests; 0
	// if unknown.
	Pace, UsualPace time.Duration
	// Slowness is the time that the answer took, divided by the usual one of the old version
	// for such requests at endpoints with the same load; 0 if unknown.
	Slowness float64
}

// isBad reports whether the answer failed or its first event was late. strictness
// multiplies the limit of lateness.
func (a Answer) isBad(strictness float64) bool {
	return a.Failed || a.UsualFirstEvent > 0 && a.FirstEvent > lateFirstMin &&
		float64(a.FirstEvent) > lateFirstFactor*strictness*float64(a.UsualFirstEvent)
}

// isSlow reports whether the stream was slow.
func (a Answer) isSlow(strictness float64) bool {
	return float64(a.Pace) > slowPaceFactor*strictness*float64(a.UsualPace)
}

// Observe adds an answer observed by this instance.
func (r *Rollout) Observe(answer Answer) {
	strictness := 1.0
	if r.Phase == Full {
		strictness = fullStrictness
	}
	candidate := answer.Version == r.Order.Target
	r.answers.observe(candidate, answer.isBad(strictness))
	r.failures.observe(candidate, answer.Failed)
	r.routes.observe(answer.Route, candidate, answer.isBad(strictness))
	if answer.Pace > 0 && answer.UsualPace > 0 {
		r.paces.observe(candidate, answer.isSlow(strictness))
	}
	r.observeSlowness(candidate, answer.Slowness, strictness)
}

func (r *Rollout) observeSlowness(candidate bool, slowness, strictness float64) {
	if slowness <= 0 {
		return
	}
	if candidate {
		slowness /= slownessTolerance * strictness
	}
	for i, level := range slownessLevels {
		r.slowness[i].observe(candidate, slowness > level)
	}
}

// SlownessLogE returns the log e-value against the new version of all levels together. The
// mean of e-values is one, whatever the dependence between them.
func (r *Rollout) SlownessLogE() float64 {
	sum := 0.0
	for i := range r.slowness {
		sum += math.Exp(min(r.slowness[i].test.LogEValue(), maxLogE))
	}
	return math.Log(sum / float64(len(r.slowness)))
}

// maxLogE bounds the log e-value of one level, so that the sum does not overflow.
const maxLogE = 300

// FailureLogE and PaceLogE return the log e-values against the new version of failures and
// late first events, and of slow streams.
func (r *Rollout) FailureLogE() float64 { return r.answers.test.LogEValue() }

// PaceLogE is described at [Rollout.FailureLogE].
func (r *Rollout) PaceLogE() float64 { return r.paces.test.LogEValue() }

func (r *Rollout) isSlow() bool {
	return r.slowness[0].total.CandidateBad >= minBadAnswers && r.SlownessLogE() > badLogE
}

// isUndecided reports whether there is too little evidence, or evidence against the new
// version that does not suffice for a verdict.
func (r *Rollout) isUndecided() bool {
	timed := r.slowness[0].total.Candidate()
	return r.logE() > doubtLogE || timed > 0 && timed < minTimed
}

// doubtLifetime is how long the doubt of a peer counts after it was last told.
const doubtLifetime = 3 * time.Second

// SetPeerDoubt records whether another instance doubts the new version, see
// [Rollout.IsDoubted]. Instances evaluate the same answers in other groups and come to other
// e-values.
func (r *Rollout) SetPeerDoubt(now time.Duration, instance string, doubted bool) {
	delete(r.peerDoubts, instance)
	if doubted {
		r.peerDoubts[instance] = now
	}
}

// isHeld reports whether this instance or a peer doubts the new version.
func (r *Rollout) isHeld(now time.Duration) bool {
	for _, toldAt := range r.peerDoubts {
		if now-toldAt < doubtLifetime {
			return true
		}
	}
	return r.IsDoubted()
}

// IsDoubted reports whether the evidence against the new version is too strong to move all
// requests, which cannot be taken back once the old endpoints have stopped.
func (r *Rollout) IsDoubted() bool {
	isTimed := r.Phase == Canary && r.slowness[0].total.Candidate() >= minTimed
	return r.logE() > holdLogE || isTimed && r.SlownessLogE() > holdSlownessLogE
}

// logE returns the largest log e-value against the new version of all tests.
func (r *Rollout) logE() float64 {
	return max(r.FailureLogE(), r.failures.test.LogEValue(), r.PaceLogE(), r.SlownessLogE(), r.RouteLogE())
}

func (t *evidenceTest) observe(candidate, bad bool) {
	var observed rollout.Evidence
	switch {
	case candidate && bad:
		observed.CandidateBad++
	case candidate:
		observed.CandidateGood++
	case bad:
		observed.IncumbentBad++
	default:
		observed.IncumbentGood++
	}
	t.local = add(t.local, observed)
	t.accumulate(observed)
}

// increase returns the increments from known to counts; a lower count adds 0.
func increase(known, counts rollout.Evidence) rollout.Evidence {
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

// accumulate adds evidence to the current block and evaluates the block once it has
// answers of both versions. If the new version gave soloBlock answers and the old one
// fewer, as in [Full], the old version's earlier answers are used too.
func (t *evidenceTest) accumulate(added rollout.Evidence) {
	t.block = add(t.block, added)
	t.total = add(t.total, added)
	if t.block.Candidate() >= soloBlock && t.block.Incumbent() < t.block.Candidate() {
		t.block = withIncumbentHistory(t.block, t.total)
	}
	if t.block.Candidate() == 0 || t.block.Incumbent() == 0 {
		return
	}
	t.test.Observe(t.block)
	t.block = rollout.Evidence{}
	if t.total.CandidateBad >= minBadAnswers && t.test.LogEValue() > badLogE {
		t.bad = true
	}
}

// withIncumbentHistory gives a block answers of the old version at its total rate of bad answers:
// as many for each answer of the new version as there are in all, at most maxHistoryRatio. It
// returns the block unchanged if the old version has too few answers.
func withIncumbentHistory(block, all rollout.Evidence) rollout.Evidence {
	ratio := min(float64(all.Incumbent())/float64(all.Candidate()), maxHistoryRatio)
	answers := math.Round(ratio * float64(block.Candidate()))
	if answers <= float64(block.Incumbent()) {
		return block
	}
	block.IncumbentBad = int(math.Round(answers * float64(all.IncumbentBad) / float64(all.Incumbent())))
	block.IncumbentGood = int(answers) - block.IncumbentBad
	return block
}

// LocalEvidence returns the answers observed by this instance.
func (r *Rollout) LocalEvidence() Evidence {
	evidence := Evidence{Answers: r.answers.local, Failures: r.failures.local, Paces: r.paces.local}
	for i := range r.slowness {
		evidence.Slowness[i] = r.slowness[i].local
	}
	evidence.Routes = r.routes.local()
	return evidence
}

// TotalEvidence returns the answers observed by this instance and its peers.
func (r *Rollout) TotalEvidence() Evidence {
	evidence := Evidence{Answers: r.answers.total, Failures: r.failures.total, Paces: r.paces.total}
	for i := range r.slowness {
		evidence.Slowness[i] = r.slowness[i].total
	}
	return evidence
}

// NextPhase returns the phase that this instance proposes at the time now. The argument
// available is true if endpoints of the new version accept requests.
func (r *Rollout) NextPhase(now time.Duration, available bool) Phase {
	elapsed := r.part(now - r.seenAt)
	r.rate.update(now, r.TotalSends().Arrived)
	if r.Phase == Full && r.fullSince == 0 {
		r.fullSince = now
	}
	switch {
	case r.Phase.IsFinal():
		return r.Phase
	case r.answers.bad || r.failures.bad || r.paces.bad || r.isSlow() || r.routes.bad:
		return RolledBack
	case r.Phase == Ordered:
		return Canary
	case !available:
		return r.Phase
	case r.Phase == Canary && elapsed >= fullAfter && r.canMoveAll(now) && !r.isHeld(now) && (elapsed >= decideBy || !r.isUndecided()):
		return Full
	case r.Phase == Full && elapsed >= 1-min(completePart, r.part(completeBefore)) && r.part(now-r.fullSince) >= minFull && r.canComplete(now) && !r.isHeld(now):
		return Completed
	default:
		return r.Phase
	}
}

// turnInterval is the time after which the requests in [Canary] use other endpoints.
const turnInterval = 4 * time.Second

// Turn returns the number of the turn in which the requests in [Canary] use the same few
// endpoints of the new version. They have load like those of the old version, and one that is
// slow by itself does not decide.
func (r *Rollout) Turn(now time.Duration) int { return int((now - r.seenAt) / turnInterval) }

// part returns a time as a fraction of the order's duration.
func (r *Rollout) part(t time.Duration) float64 {
	return float64(t) / float64(max(r.Order.Duration, time.Second))
}
