package canary

import (
	"math"
	"time"
)

// Sends counts the attempts at endpoints of a service since its roll-out was ordered.
type Sends struct {
	// Arrived counts the attempts that an endpoint of any version has answered.
	Arrived int
	// Exposed counts the attempts at the new version, from the moment at which they are
	// about to be sent.
	Exposed int
}

// surplus returns how many more attempts the new version may get at the given share.
func (s Sends) surplus(share float64) float64 { return share*float64(s.Arrived) - float64(s.Exposed) }

func (s Sends) plus(other Sends) Sends {
	return Sends{Arrived: s.Arrived + other.Arrived, Exposed: s.Exposed + other.Exposed}
}

// RecordSend counts an attempt that is about to be sent to an endpoint of the version.
func (r *Rollout) RecordSend(version string) {
	if version == r.Order.Target {
		r.sends.Exposed++
	}
}

// RecordArrival counts an attempt that an endpoint has answered.
func (r *Rollout) RecordArrival() { r.sends.Arrived++ }

// RecordUnsent takes back [Rollout.RecordSend] for an attempt that was not sent.
func (r *Rollout) RecordUnsent(version string) {
	if version == r.Order.Target && r.sends.Exposed > 0 {
		r.sends.Exposed--
	}
}

// LocalSends returns the attempts of this instance.
func (r *Rollout) LocalSends() Sends { return r.sends }

// TotalSends returns the attempts of this instance and of the peers that tell theirs themselves.
// What the zones add up would be too old: while all requests move, each second counts.
func (r *Rollout) TotalSends() Sends {
	total := r.sends
	for _, zone := range r.zones {
		total = total.plus(zone.sends)
	}
	return total
}

// minKnownArrived is the number of attempts from which the share of the new version is measured.
const minKnownArrived = 200

// UsedShare returns the part of all known attempts that are at the new version, at most the share
// of the sessions that may run there: those that began on the old version stay there, so that the
// new one may get much less. Its endpoints that are used must have the load of the old ones, or its
// answers show nothing of how it bears load.
func (r *Rollout) UsedShare() float64 {
	total := r.TotalSends()
	if total.Arrived < minKnownArrived {
		return r.tuning.Share
	}
	return min(r.tuning.Share, float64(total.Exposed)/float64(total.Arrived))
}

// MayExpose reports whether this instance may send another request to the new version. Each
// instance keeps the share for its own requests, so that all of them together keep it
// without knowing of each other.
func (r *Rollout) MayExpose() bool { return r.sends.surplus(r.tuning.ExposureShare) >= 1 }

const (
	// rateWindow is the minimum time over which the rate of attempts is measured. It is the
	// interval at which instances exchange their counts.
	rateWindow = time.Second
	// plannedSlack is the part of the slack that is planned with, less in a fleet of fewer than
	// minFleetSize instances, which may have more. The rest covers what a plan did not expect.
	plannedSlack = 0.5
	minFleetSize = 12
	// completeReserve and completeDeviations widen the number of requests that are expected
	// after the completion, which cannot be taken back: by a factor, and by standard
	// deviations of a Poisson distribution. isolatedDeviations applies to an instance that
	// knows less than half of the others: the first of many such views to allow the completion
	// is the one that errs most.
	completeReserve    = 1.2
	completeDeviations = 1
	isolatedDeviations = 3
	// lastMoments is how long before the end of the roll-out's time a completion needs no reserve. It
	// covers the checks, the random delay and the write to the log that follow.
	lastMoments = 300 * time.Millisecond
)

// rateMeter measures the rate of the attempts of all known instances.
type rateMeter struct {
	// samples are the counts since the last one that is at least rateWindow old.
	samples []rateSample
}

type rateSample struct {
	at      time.Duration
	arrived int
}

func (m *rateMeter) update(now time.Duration, arrived int) {
	m.samples = append(m.samples, rateSample{now, arrived})
	for len(m.samples) > 1 && now-m.samples[1].at >= rateWindow {
		m.samples = m.samples[1:]
	}
}

// perSecond returns the rate over the last rateWindow.
func (m *rateMeter) perSecond() float64 {
	if len(m.samples) < 2 {
		return 0
	}
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	return float64(last.arrived-first.arrived) / max(last.at-first.at, rateWindow).Seconds()
}

// canMoveAll reports whether the new version is expected to stay within its share if it gets all
// requests from now until the roll-out's time is over. Instances that are not known keep the
// share for themselves, so the known ones can be judged alone.
func (r *Rollout) canMoveAll(now time.Duration) bool { return r.covers(r.expected(now)) }

// canComplete reports whether the new version stays within its share if the old endpoints stop
// now, also if more requests come than expected. While all requests move, the surplus falls about as
// fast as the expected requests, so that it may never cover the reserve. In the last moments few
// requests are left, and the expected ones suffice: the completion would otherwise be late.
func (r *Rollout) canComplete(now time.Duration) bool {
	expected := r.expected(now)
	if r.Order.Duration-(now-r.seenAt) <= lastMoments {
		return r.covers(expected)
	}
	widened, deviations := completeReserve*expected, float64(completeDeviations)
	if r.knownPart() < 0.5 {
		deviations = isolatedDeviations
	}
	return r.covers(widened + deviations*math.Sqrt(widened))
}

// knownPart returns the part of the instances whose attempts are known.
func (r *Rollout) knownPart() float64 {
	known := 1
	for _, zone := range r.zones {
		known += len(zone.peerSends)
	}
	return min(1, float64(known)/float64(max(r.fleetSize, 1)))
}

// covers reports whether the surplus of all known instances covers further requests to the new
// version.
func (r *Rollout) covers(requests float64) bool {
	slack := plannedSlack * r.tuning.ExposureSlack * r.knownPart() * min(1, float64(r.fleetSize)/minFleetSize)
	return r.TotalSends().surplus(r.tuning.ExposureShare)+slack >= requests*(1-r.tuning.ExposureShare)
}

// SetFleetSize sets the number of live instances. An instance that loses sight of others does
// not take them for gone.
func (r *Rollout) SetFleetSize(live int) { r.fleetSize = max(r.fleetSize, live) }

// expected returns the number of attempts of the known instances that are expected until the
// roll-out's time is over.
func (r *Rollout) expected(now time.Duration) float64 {
	elapsed := now - r.seenAt
	left := max(0, r.Order.Duration-elapsed)
	mean := float64(r.TotalSends().Arrived) / max(elapsed, rateWindow).Seconds()
	return max(mean, r.rate.perSecond()) * left.Seconds()
}
