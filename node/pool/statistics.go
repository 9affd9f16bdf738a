package pool

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

const (
	// statisticsLifetime is how long the statistics of a peer count after it last told them.
	statisticsLifetime = 20 * time.Second
	// maxStatisticsPeers, maxStatisticsServices and maxStatisticsModels bound what is kept.
	maxStatisticsPeers    = 64
	maxStatisticsServices = 16
	maxStatisticsModels   = 16
)

// Statistics are those of one instance's requests to one service. Instances add up those of their
// peers: one that has just started, or gets few requests, would otherwise take a long prompt for a
// short one, and not reserve the same endpoints as the others.
type Statistics struct {
	Service route.ServiceName
	// Work is the work on all requests, and LongWork that on those with long prompts, in seconds.
	Work, LongWork float64
	// FirstEvents are the times to the first event, by model.
	FirstEvents map[route.ModelName]latency.Sums
}

type peerStatistics struct {
	Statistics
	toldAt time.Time
}

// Statistics returns those of this instance, without those of its peers.
func (p *Pools) Statistics() []Statistics {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var all []Statistics
	for name, service := range p.services {
		if statistics, ok := service.statistics(); ok && len(all) < maxStatisticsServices {
			statistics.Service = name
			all = append(all, statistics)
		}
	}
	return all
}

func (p *Pool) statistics() (Statistics, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	statistics := Statistics{Work: p.work.all, LongWork: p.work.long, FirstEvents: make(map[route.ModelName]latency.Sums)}
	for model, line := range p.firstEvents {
		if model != "" && len(statistics.FirstEvents) < maxStatisticsModels {
			statistics.FirstEvents[model] = line.Sums()
		}
	}
	return statistics, len(statistics.FirstEvents) > 0
}

// MergeStatistics records the statistics of a peer, which replace its former ones.
func (p *Pools) MergeStatistics(now time.Time, peer platform.InstanceID, all []Statistics) {
	for _, statistics := range all[:min(len(all), maxStatisticsServices)] {
		p.mu.RLock()
		service := p.services[statistics.Service]
		p.mu.RUnlock()
		if service != nil {
			service.mergeStatistics(now, peer, statistics)
		}
	}
}

func (p *Pool) mergeStatistics(now time.Time, peer platform.InstanceID, statistics Statistics) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.peerStatistics[peer]; !known && len(p.peerStatistics) >= maxStatisticsPeers {
		return
	}
	if !(statistics.LongWork >= 0 && statistics.LongWork <= statistics.Work && statistics.Work < maxWork) {
		return
	}
	p.peerStatistics[peer] = peerStatistics{Statistics: statistics, toldAt: now}
	p.addUpPeers(now)
}

// maxWork bounds the work that a peer may tell of, in seconds.
const maxWork = 1e9

// addUpPeers adds up the statistics of the peers and drops those that are too old.
func (p *Pool) addUpPeers(now time.Time) {
	p.peerWork, p.peerFirstEvents = workShares{}, make(map[route.ModelName]*latency.Line)
	for peer, told := range p.peerStatistics {
		if now.Sub(told.toldAt) > statisticsLifetime {
			delete(p.peerStatistics, peer)
			continue
		}
		p.peerWork.all += told.Work
		p.peerWork.long += told.LongWork
		for model, sums := range told.FirstEvents {
			line := p.peerFirstEvents[model]
			if line == nil {
				if len(p.peerFirstEvents) >= maxStatisticsModels {
					continue
				}
				line = &latency.Line{}
				p.peerFirstEvents[model] = line
			}
			line.Merge(sums)
		}
	}
}

// firstEventLine returns the times to the first event of a model, as this instance and its peers
// have seen them.
func (p *Pool) firstEventLine(model route.ModelName) latency.Line {
	var line latency.Line
	if own := p.firstEvents[model]; own != nil {
		line = *own
	}
	if peers := p.peerFirstEvents[model]; peers != nil {
		line.Merge(peers.Sums())
	}
	return line
}

// longFraction returns the fraction of the work that is on long prompts.
func (p *Pool) longFraction() float64 {
	all := workShares{all: p.work.all + p.peerWork.all, long: p.work.long + p.peerWork.long}
	return all.longFraction()
}
