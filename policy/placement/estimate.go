package placement

import (
	"math"
	"time"
)

// estimate is an estimate of an endpoint's current load.
type estimate struct {
	// outstanding is the expected number of requests, running and queued.
	outstanding float64
	// variance is the variance of the number of requests.
	variance float64
}

// localAtReport returns the number of reported requests that this instance
// sent.
func (c Candidate) localAtReport() int {
	return max(0, c.InFlight-c.Sent+c.Ended)
}

// remoteAtReport returns the number of reported requests that other instances
// sent.
func (c Candidate) remoteAtReport() int {
	return max(0, c.Running+c.Queued-c.localAtReport())
}

// outstanding returns the number of this instance's requests in flight plus
// those of other instances in the endpoint's last report.
func (c Candidate) outstanding() int {
	return c.remoteAtReport() + c.InFlight
}

func (c Candidate) slots() int { return max(1, c.Slots) }

// freshness returns the share, in [0, 1], of the reported requests that are
// expected to be still outstanding.
func freshness(age time.Duration, serviceMillis float64) float64 {
	return math.Exp(-float64(age.Milliseconds()) / serviceMillis)
}

// remoteLoad is the reported number of requests of other instances at an
// endpoint, and the share of them expected to be still outstanding.
type remoteLoad struct {
	count     float64
	freshness float64
}

// remoteLoad returns the newer of the endpoint's report and the peers' digests.
func (c Candidate) remoteLoad(serviceMillis float64) remoteLoad {
	if c.PeerAge > 0 && c.PeerAge < c.ReportAge {
		return remoteLoad{count: float64(c.PeerInFlight), freshness: freshness(c.PeerAge, serviceMillis)}
	}
	return remoteLoad{
		count:     float64(c.remoteAtReport() + c.PeerSent),
		freshness: freshness(c.ReportAge, serviceMillis),
	}
}

// estimates returns the estimated load of each candidate. The local requests
// are counted exactly. The number of requests of other instances regresses
// from the reported value to the mean of the pool as the report ages.
func estimates(candidates []Candidate, serviceMillis float64) []estimate {
	remote := make([]remoteLoad, len(candidates))
	for i, candidate := range candidates {
		remote[i] = candidate.remoteLoad(serviceMillis)
	}
	mean := meanPerSlot(candidates, remote)
	result := make([]estimate, len(candidates))
	for i, candidate := range candidates {
		expected := mean * float64(candidate.slots())
		remoteCount := max(0, expected+remote[i].freshness*(remote[i].count-expected))
		result[i] = estimate{
			outstanding: float64(candidate.InFlight) + remoteCount,
			variance:    (1 - remote[i].freshness) * expected,
		}
	}
	return result
}

// RemoteLoad estimates how many requests of other instances an endpoint has.
type RemoteLoad struct {
	Requests float64
	// Variance is that of Requests; it grows with the age of what is known.
	Variance float64
}

// RemoteLoads returns the estimates for the candidates. meanDuration is the mean time that a
// request takes there.
func RemoteLoads(candidates []Candidate, meanDuration time.Duration) []RemoteLoad {
	loads := make([]RemoteLoad, len(candidates))
	for i, estimate := range estimates(candidates, max(1, float64(meanDuration.Milliseconds()))) {
		loads[i] = RemoteLoad{Requests: estimate.outstanding - float64(candidates[i].InFlight), Variance: estimate.variance}
	}
	return loads
}

// meanPerSlot returns the mean number of other instances' requests per slot,
// weighted by freshness.
func meanPerSlot(candidates []Candidate, remote []remoteLoad) float64 {
	var slots, count float64
	for i, candidate := range candidates {
		slots += remote[i].freshness * float64(candidate.slots())
		count += remote[i].freshness * remote[i].count
	}
	if slots == 0 {
		return 0
	}
	return count / slots
}
