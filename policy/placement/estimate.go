package placement

import (
	"math"
	"time"
)

// estimate is what is believed of an endpoint's load now.
type estimate struct {
	// outstanding is the expected number of requests, running and queued.
	outstanding float64
	// variance is that of outstanding.
	variance float64
}

// ownAtReport returns how many of the reported requests were this instance's.
func (c Candidate) ownAtReport() int {
	return max(0, c.InFlight-c.Sent+c.Ended)
}

// othersAtReport returns how many of the reported requests were not this
// instance's.
func (c Candidate) othersAtReport() int {
	return max(0, c.Running+c.Queued-c.ownAtReport())
}

// known returns the requests that the endpoint holds for certain or by its
// last report.
func (c Candidate) known() int {
	return c.othersAtReport() + c.InFlight
}

func (c Candidate) slots() int { return max(1, c.Slots) }

// freshness returns the share, in [0, 1], of the requests reported that are
// expected to be outstanding still.
func freshness(age time.Duration, serviceMillis float64) float64 {
	return math.Exp(-float64(age.Milliseconds()) / serviceMillis)
}

// others is what is known of the requests that are not this instance's own.
type others struct {
	count float64
	fresh float64
}

// others returns the newer of the endpoint's report and the peers' own words.
func (c Candidate) others(serviceMillis float64) others {
	if c.PeerAge > 0 && c.PeerAge < c.ReportAge {
		return others{count: float64(c.PeerInFlight), fresh: freshness(c.PeerAge, serviceMillis)}
	}
	return others{
		count: float64(c.othersAtReport() + c.PeerSent),
		fresh: freshness(c.ReportAge, serviceMillis),
	}
}

// estimates returns the expected load of each candidate. This instance's own
// requests are counted exactly. Those of others are known as of some time ago;
// as that knowledge ages, they regress to the mean of the pool.
func estimates(candidates []Candidate, serviceMillis float64) []estimate {
	known := make([]others, len(candidates))
	for i, candidate := range candidates {
		known[i] = candidate.others(serviceMillis)
	}
	mean := meanPerSlot(candidates, known)
	result := make([]estimate, len(candidates))
	for i, candidate := range candidates {
		expected := mean * float64(candidate.slots())
		rest := max(0, expected+known[i].fresh*(known[i].count-expected))
		result[i] = estimate{
			outstanding: float64(candidate.InFlight) + rest,
			variance:    (1 - known[i].fresh) * expected,
		}
	}
	return result
}

// meanPerSlot returns the mean of the others' requests per slot, weighted by
// freshness.
func meanPerSlot(candidates []Candidate, known []others) float64 {
	var slots, count float64
	for i, candidate := range candidates {
		slots += known[i].fresh * float64(candidate.slots())
		count += known[i].fresh * known[i].count
	}
	if slots == 0 {
		return 0
	}
	return count / slots
}
