package pool

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Endpoints of some services report their pace: how long work takes there now, as a multiple of the
// usual time. Once one of a service has, its requests are placed by load and pace, see [member.cost], and
// attempts whose first event is overdue may move to another endpoint.

const (
	// paceHorizon is the time from the choice over which the pace of an endpoint is expected: most first
	// events come within it.
	paceHorizon = 500 * time.Millisecond
	// lightPart is the part of its slots up to which an endpoint's answers are measured as those
	// of one without delay.
	lightPart = 0.5
)

// ChoiceReason says how an endpoint of a service that reports paces was chosen.
type ChoiceReason string

// Reasons.
const (
	// ChosenForPrefix: it holds the shared parts of the prompt.
	ChosenForPrefix ChoiceReason = "prefix"
	// ChosenByLoad: by its load and pace alone.
	ChosenByLoad ChoiceReason = "load"
)

// Expectation is what was expected of an attempt when its endpoint was chosen.
type Expectation struct {
	// FirstEvent is the expected time to the first event.
	FirstEvent time.Duration
	// Reason is empty if the endpoints of the service report no pace.
	Reason ChoiceReason
	// Use is the expected part of the endpoint's slots in use, and Pace its expected pace until the
	// first event.
	Use, Pace float64
	// ReportAge is the age of the endpoint's report, negative if there was none.
	ReportAge time.Duration
}

// paces is what a pool knows of the pace of its endpoints and of the times at the usual pace.
type paces struct {
	// reported reports that an endpoint of the service has reported a pace, and mean is the mean of
	// all endpoints.
	reported bool
	mean     float64
	delays   placement.DelayCurve
	// light holds the times to the first event at the usual pace and without delay, by model.
	light map[route.ModelName]*latency.Line
	// duration is the moving average of the time that a request takes at the usual pace, without delay.
	// durations counts the requests in it.
	duration  time.Duration
	durations int
	// choice is the expectation of the last choice.
	choice Expectation
}

func newPaces() paces {
	return paces{mean: 1, light: make(map[route.ModelName]*latency.Line), duration: initialDuration}
}

// estimator estimates the time to the first event of one request at several endpoints.
type estimator struct {
	now   time.Time
	work  placement.Work
	curve placement.Curve
	paced *paces
	// first and second hold the shared parts of the prompt; nil if there are none.
	first, second *member
}

// newEstimator returns the estimator of a request that may be sent to the given endpoints. The caller
// holds mu.
func (p *Pool) newEstimator(now time.Time, candidates []*member, query Query) *estimator {
	e := &estimator{now: now, work: p.workOf(query), curve: p.paced.delays.Curve(), paced: &p.paced}
	if query.Affinity != "" {
		e.first, e.second = highestRanks(candidates, query.Affinity, maxCost)
	}
	return e
}

// isHolder reports whether the endpoint holds the shared parts of the prompt.
func (e *estimator) isHolder(m *member) bool { return m == e.first || m == e.second }

func (e *estimator) situation(m *member) placement.Situation {
	return placement.Situation{
		Slots: m.record.Slots, Requests: m.load(), Reading: max(0, m.readingUntil.Sub(e.now)),
		Holds: e.first == nil || e.isHolder(m), Pace: &m.pace, PoolPace: e.paced.mean,
	}
}

func (e *estimator) firstEvent(m *member) time.Duration {
	situation := e.situation(m)
	return placement.ExpectFirstEvent(e.now, e.work, &situation, &e.curve, e.paced.duration)
}

// describe returns the expectation of a choice.
func (e *estimator) describe(m *member) Expectation {
	reason := ChosenByLoad
	if e.isHolder(m) {
		reason = ChosenForPrefix
	}
	situation, firstEvent := e.situation(m), e.firstEvent(m)
	described := Expectation{
		FirstEvent: firstEvent, Reason: reason, Use: situation.Use(),
		Pace: m.pace.Over(e.now, firstEvent, e.paced.mean), ReportAge: -1,
	}
	if age, known := m.pace.Age(e.now); known {
		described.ReportAge = age
	}
	return described
}

// workOf returns the work until the request's first event, at the usual pace.
func (p *Pool) workOf(query Query) placement.Work {
	var work placement.Work
	if light := p.paced.light[query.Model]; light != nil && light.HasEstimate() {
		work.Start, work.Shared = light.Estimate(query.Tokens), light.PrefillTime(query.SharedTokens)
	} else {
		line := p.firstEventLine(query.Model)
		work.Start = time.Duration(float64(line.Estimate(query.Tokens)) / p.paced.mean)
		work.Shared = time.Duration(float64(line.PrefillTime(query.SharedTokens)) / p.paced.mean)
	}
	return work
}

// maxCost excludes no endpoint in [highestRanks].
const maxCost = 1e18

const (
	// An endpoint whose first events take more than grossSlowness times as long as usual is slower than its
	// pace and load explain: the path to it may be, or its figures may be wrong. Queues and episodes
	// alone lift the moving average to 3 and more.
	grossSlowness = 5
	// slownessMemory is the time constant with which this is forgotten without a new answer, so that the
	// endpoint gets requests again that can show that it has become fast.
	slownessMemory = 10 * time.Second
)

// unexplained returns the time that counts against an endpoint for its unexplained slowness, in durations of a
// request.
func (m *member) unexplained(now time.Time) float64 {
	if m.slowness <= grossSlowness {
		return 0
	}
	return (m.slowness - grossSlowness) / 2 * math.Exp(-float64(max(0, now.Sub(m.reportedAt)))/float64(slownessMemory))
}

// RecordPace records the pace, in hundredths, that the endpoint has reported with its answer.
// invalid is the text of a figure that is no pace; it has no effect, and is logged once for an endpoint.
func (l *Lease) RecordPace(hundredths int, invalid string) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if invalid != "" || !placement.IsPace(hundredths) {
		if !l.member.invalidPace && p.log != nil {
			p.log.WithFields(logrus.Fields{
				"service": p.service, "endpoint": l.Endpoint.ID, "pace": hundredths, "invalid": invalid,
			}).Warn("endpoint reports an impossible pace, which is ignored")
		}
		l.member.invalidPace = true
		return
	}
	l.member.reportedPace = hundredths
	l.member.change += math.Abs(float64(hundredths)/100 - l.member.pace.Over(time.Now(), 0, p.paced.mean))
	p.recordPace(time.Now(), l.member, hundredths, 0)
}

// recordPace records a pace that the endpoint has reported to this instance or a peer.
func (p *Pool) recordPace(now time.Time, m *member, hundredths int, age time.Duration) {
	if !m.pace.Record(now, hundredths, age) {
		return
	}
	if !p.paced.reported && p.log != nil {
		p.log.WithFields(logrus.Fields{"service": p.service, "endpoint": m.record.ID}).Info("endpoints report their pace: requests are placed by load and pace")
	}
	p.paced.reported = true
}

// updatePaces updates the mean pace of all endpoints, and the factor of each. The caller holds mu.
func (p *Pool) updatePaces(now time.Time) {
	if !p.paced.reported || len(p.members) == 0 {
		return
	}
	sum := 0.0
	for _, m := range p.members {
		sum += m.pace.Mean(p.paced.mean)
	}
	p.paced.mean = sum / float64(len(p.members))
	for _, m := range p.members {
		m.paceFactor = m.pace.Over(now, paceHorizon, p.paced.mean) / p.paced.mean * (1 + m.unexplained(now))
	}
}

// learnStart learns from the time to the first event of an answer, if the endpoint reported with it that most
// of its slots are free. The caller holds mu.
func (l *Lease) learnStart(took time.Duration) {
	p := l.pool
	if !p.paced.reported || l.Expected.Pace <= 0 || float64(l.member.running+l.member.waiting) > lightPart*float64(l.Endpoint.Slots) {
		return
	}
	light := p.paced.light[l.model]
	if light == nil && len(p.paced.light) >= maxStatisticsModels {
		return
	}
	if light == nil {
		light = &latency.Line{}
		p.paced.light[l.model] = light
	}
	light.Add(l.tokens, time.Duration(float64(took)/l.Expected.Pace))
}

// learnDelay learns from the time to the first event, or from how long there was none. The caller holds mu.
func (l *Lease) learnDelay(took time.Duration) {
	p := l.pool
	if !p.paced.reported || l.Expected.Pace <= 0 {
		return
	}
	start := p.workOf(Query{Model: l.model, Tokens: l.tokens}).Start
	l.delay = max(0, time.Duration(float64(took)/l.Expected.Pace)-start)
	p.paced.delays.Add(l.Expected.Use, l.delay.Seconds()/max(minDuration, p.paced.duration).Seconds())
}

// minDuration keeps the delays in durations of a request finite.
const minDuration = time.Millisecond

// learnDuration learns from the time that a successful request took. The caller holds mu.
func (l *Lease) learnDuration(took time.Duration) {
	p := l.pool
	if !p.paced.reported || l.Expected.Pace <= 0 {
		return
	}
	usual := max(0, time.Duration(float64(took)/l.Expected.Pace)-l.delay)
	p.paced.durations++
	weight := max(durationWeight, 1/float64(1+p.paced.durations))
	p.paced.duration += time.Duration(weight * float64(usual-p.paced.duration))
}

// recordPeerPace records the pace that an endpoint has reported to a peer.
func (p *Pool) recordPeerPace(now time.Time, report LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[report.Endpoint]; m != nil {
		p.recordPace(now, m, report.Pace, report.Age)
	}
}
