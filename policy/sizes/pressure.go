package sizes

import "time"

// Pressure lowers the confidence required of small models while requests are late,
// because larger models then take capacity from all requests. It handles a loss of
// engines or a burst of load during which the smallest model would still answer most
// requests well.
//
// It works like the control of a congestion window: each late request lowers the
// required confidence by a fixed step, and each request on time raises it by a smaller
// step, which grows after many requests on time in a row, or after a time without a late
// one: an instance of a large fleet sees few requests a second. It is not safe for concurrent
// use. The zero value does not lower the required confidence.
type Pressure struct {
	// relief is the fraction by which the required confidence is reduced, in [0, 1].
	relief float64
	// streak is the number of requests on time since the last late one, at lateAt.
	streak int
	lateAt time.Time
}

const (
	// lateStep is the increase of the relief for a late request.
	lateStep = 0.04
	// lateShare is the share of late requests at which the relief is stable.
	lateShare = 0.04
	// onTimeStep is the decrease of the relief for a request on time.
	onTimeStep = lateStep * lateShare / (1 - lateShare)
	// recoveryStreak is the number of consecutive requests on time after which the
	// overload is considered over. At lateShare, one request in 25 is late on average;
	// the streak is four times as long. Once the requests on time in a row exceed
	// recoveryStreak by recoveryGrowth, the decrease per request grows by onTimeStep with
	// every further recoveryGrowth of them.
	recoveryStreak = 100
	recoveryGrowth = 10
	// recoveryRate is the number of requests a second with which a time without a late request
	// counts as a streak. An instance of nine that share a service sees about as many; one of 71
	// sees a third, and would recover in minutes.
	recoveryRate = 10
)

// Observe records whether a request was late.
func (p *Pressure) Observe(now time.Time, late bool) {
	if late {
		p.streak, p.lateAt = 0, now
		p.relief = min(1, p.relief+lateStep)
		return
	}
	p.streak++
	streak := float64(p.streak)
	if !p.lateAt.IsZero() {
		streak = max(streak, recoveryRate*now.Sub(p.lateAt).Seconds())
	}
	step := onTimeStep * max(1, (streak-recoveryStreak)/recoveryGrowth)
	p.relief = max(0, p.relief-step)
}

// RequiredConfidence returns the confidence to require, given the one required without
// pressure.
func (p *Pressure) RequiredConfidence(confidence float64) float64 { return confidence * (1 - p.relief) }

// Relief returns the fraction by which the required confidence is reduced.
func (p *Pressure) Relief() float64 { return p.relief }
