package placement

import (
	"math"
	"time"
)

const (
	// MinPace and MaxPace bound the paces that count, in hundredths of the usual duration of work. A
	// figure outside of them is an error of the endpoint or the peer.
	MinPace = 10
	MaxPace = 10_000

	// paceMemory is the time constant with which a reported pace loses its weight: episodes in which
	// an endpoint is slow take about 600 ms.
	paceMemory = 600 * time.Millisecond
	// A learned mean begins with the weight of priorPaceReports reports of the pool's mean, and each
	// further report has at least the weight 1/maxPaceReports.
	priorPaceReports = 2
	maxPaceReports   = 40
)

// Pace is what is known of how long work takes at an endpoint, as a multiple of the usual duration.
// The zero value knows nothing. It is not safe for concurrent use.
type Pace struct {
	// reported is the newest reported pace, and at its time.
	reported float64
	at       time.Time
	// sum and weight are those of the learned mean.
	sum, weight float64
}

// IsPace reports whether a reported figure, in hundredths, counts as a pace.
func IsPace(hundredths int) bool { return hundredths >= MinPace && hundredths <= MaxPace }

// Record records a reported pace, in hundredths, of the given age. It reports whether the report
// counts: its figure is possible, and it is newer than the last one.
func (p *Pace) Record(now time.Time, hundredths int, age time.Duration) bool {
	at := now.Add(-max(0, age))
	if !IsPace(hundredths) || !at.After(p.at) {
		return false
	}
	p.reported, p.at = float64(hundredths)/100, at
	if p.weight >= maxPaceReports {
		p.sum, p.weight = p.sum*(maxPaceReports-1)/p.weight, maxPaceReports-1
	}
	p.sum, p.weight = p.sum+p.reported, p.weight+1
	return true
}

// Age returns the age of the newest report. It reports false if there is none.
func (p *Pace) Age(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(p.at)), p.weight > 0
}

// Mean returns the learned mean pace. pool is that of all endpoints, which counts as long as there are
// few reports.
func (p *Pace) Mean(pool float64) float64 {
	return (p.sum + priorPaceReports*pool) / (p.weight + priorPaceReports)
}

// Over returns the expected mean pace over the given time from now on: the pace regresses from the
// report to the learned mean.
func (p *Pace) Over(now time.Time, d time.Duration, pool float64) float64 {
	mean := p.Mean(pool)
	if p.weight == 0 {
		return mean
	}
	weight := math.Exp(-float64(max(0, now.Sub(p.at))) / float64(paceMemory))
	if d > 0 {
		share := float64(paceMemory) / float64(d)
		weight *= share * (1 - math.Exp(-1/share))
	}
	return mean + weight*(p.reported-mean)
}
