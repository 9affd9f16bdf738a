package pool

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/placement"
)

// MaxSharedLoads bounds the loads in one exchange with a peer: at the size to design for, 22
// instances a zone, they take 6 KB/s of the 18 KB/s that an instance may use for control.
const MaxSharedLoads = 12

const (
	// initialDuration is the assumed time that a request takes while no request has ended, and
	// durationWeight the weight of the newest one in the moving average.
	initialDuration = time.Second
	durationWeight  = 0.02
	// estimateInterval is the time for which the estimates of what other instances have at the
	// endpoints are used again: they change slowly, and the fleet may have 1,500 endpoints.
	estimateInterval = 100 * time.Millisecond
)

// LoadReport is a load that an endpoint has reported with an answer, and its age.
type LoadReport struct {
	Endpoint         platform.EndpointID
	Running, Waiting int
	// Pace is the endpoint's pace in hundredths of the usual duration of work; 0 if it reported none.
	Pace int
	Age  time.Duration
	// change is how far the report was from what was expected.
	change float64
}

// LoadReports returns the most informative reports that endpoints have made to this instance, up to the
// given number and age, for peers. What peers have reported is not passed on.
func (p *Pools) LoadReports(now time.Time, most int, maxAge time.Duration) []LoadReport {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var reports []LoadReport
	for _, service := range p.services {
		reports = append(reports, service.loadReports(now, maxAge)...)
	}
	slices.SortFunc(reports, func(a, b LoadReport) int { return cmp.Compare(a.staleness(), b.staleness()) })
	return reports[:min(len(reports), most)]
}

func (p *Pool) loadReports(now time.Time, maxAge time.Duration) []LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []LoadReport
	for id, m := range p.members {
		if age := now.Sub(m.reportedAt); !m.reportedAt.IsZero() && age <= maxAge {
			reports = append(reports, LoadReport{Endpoint: id, Running: m.running, Waiting: m.waiting, Age: age, Pace: m.reportedPace, change: m.change})
		}
	}
	return reports
}

// staleness orders reports by how much they tell peers: the newest ones first, except that one of a change
// counts as newer.
func (r LoadReport) staleness() time.Duration {
	const newerPerChange = 500 * time.Millisecond // for a change by all slots, or by the usual pace
	return r.Age - time.Duration(min(1, r.change)*float64(newerPerChange))
}

// MergeLoads records the loads that endpoints have reported to a peer.
func (p *Pools) MergeLoads(now time.Time, reports []LoadReport) {
	for _, report := range reports {
		p.mu.RLock()
		owner, known := p.poolByEndpoint[report.Endpoint]
		p.mu.RUnlock()
		if !known {
			continue
		}
		p.loads.RecordReport(now, report.Endpoint, report.Running, report.Waiting, report.Age)
		if report.Pace != 0 {
			owner.recordPeerPace(now, report)
		}
	}
}

// estimateLoads updates the estimates of what other instances have at each endpoint, if they are
// older than [estimateInterval]. The older a report is, the less it counts against the mean of the
// endpoints of its version. The caller holds mu.
func (p *Pool) estimateLoads(now time.Time) {
	if now.Sub(p.estimatedAt) < estimateInterval {
		return
	}
	p.estimatedAt = now
	p.updatePaces(now)
	for _, group := range p.byVersion {
		group.members, group.candidates = group.members[:0], group.candidates[:0]
	}
	for id, m := range p.members {
		if m.evacuated {
			continue // its falling load says nothing about the others
		}
		group := p.byVersion[m.record.Version]
		if group == nil {
			group = &loadGroup{}
			p.byVersion[m.record.Version] = group
		}
		candidate := placement.Candidate{ID: id, Slots: m.record.Slots}
		p.loads.Fill(now, &candidate)
		group.members, group.candidates = append(group.members, m), append(group.candidates, candidate)
	}
	maps.DeleteFunc(p.byVersion, func(_ string, group *loadGroup) bool { return len(group.members) == 0 })
	for _, group := range p.byVersion {
		for i, load := range placement.RemoteLoads(group.candidates, p.meanDuration) {
			group.members[i].remote = load
		}
	}
}

// loadGroup holds the endpoints whose loads are estimated together. Its memory is used again.
type loadGroup struct {
	members    []*member
	candidates []placement.Candidate
}

// recordLoad records a report of the endpoint to this instance, which holds exactly now.
func (p *Pool) recordLoad(now time.Time, m *member, running, waiting int) {
	if p.paced.reported {
		m.change = math.Abs(float64(running+waiting)-m.load()) / float64(max(1, m.record.Slots))
	}
	m.running, m.waiting, m.reportedAt = running, waiting, now
	m.remote = placement.RemoteLoad{Requests: float64(max(0, running+waiting-m.inFlight))}
	p.loads.RecordReport(now, m.record.ID, running, waiting, 0)
}

// recordDuration updates the mean time that requests take.
func (p *Pool) recordDuration(took time.Duration) {
	p.meanDuration += time.Duration(durationWeight * float64(took-p.meanDuration))
}

// load returns the estimated number of requests at the endpoint.
func (m *member) load() float64 { return m.remote.Requests + float64(m.inFlight) }
