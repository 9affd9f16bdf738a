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

// estimates returns the expected load of each candidate. This instance's own
// requests are counted exactly. Those of others are known as of the report;
// as the report ages, they regress to the mean of the pool.
func estimates(candidates []Candidate, serviceMillis float64) []estimate {
	mean, meanSent := meanPerSlot(candidates, serviceMillis)
	result := make([]estimate, len(candidates))
	for i, candidate := range candidates {
		slots := float64(candidate.slots())
		fresh := freshness(candidate.ReportAge, serviceMillis)
		reported := float64(candidate.othersAtReport() + candidate.PeerSent)
		expected := mean * slots
		others := max(0, expected+fresh*(reported-(mean+meanSent)*slots))
		result[i] = estimate{
			outstanding: float64(candidate.InFlight) + others,
			variance:    (1 - fresh) * expected,
		}
	}
	return result
}

// meanPerSlot returns the mean of the others' reported requests and of the
// peers' dispatches since, both per slot and weighted by freshness.
func meanPerSlot(candidates []Candidate, serviceMillis float64) (others, sent float64) {
	var slots float64
	for _, candidate := range candidates {
		fresh := freshness(candidate.ReportAge, serviceMillis)
		slots += fresh * float64(candidate.slots())
		others += fresh * float64(candidate.othersAtReport())
		sent += fresh * float64(candidate.PeerSent)
	}
	if slots == 0 {
		return 0, 0
	}
	return others / slots, sent / slots
}
