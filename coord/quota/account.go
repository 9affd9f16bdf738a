package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// minReportedDemand is the lowest demand reported to peers, in requests per
	// second.
	minReportedDemand = 0.01
	// minShareFraction is the fraction of an equal share that an instance
	// without demand keeps, so that its first requests are not refused.
	minShareFraction = 0.02
	// minBurst is the minimum burst of a bucket, in requests, unless the burst
	// of the account is lower. A full bucket of one token accrues nothing
	// until the next request, so it would allow less than its rate.
	minBurst = 2
	// maxRetryAfter bounds the retry delay returned for a refused request.
	maxRetryAfter = 30 * time.Second
)

// account is the state of one account on this instance.
type account struct {
	limit       Limit
	bucket      *rate.Limiter
	peerDemands map[platform.InstanceID]peerDemand

	// demand is the moving average of the local arrival rate, in requests per
	// second.
	demand     float64
	arrivals   int
	measuredAt time.Time

	// backlog estimates the number of refused requests that will be retried.
	backlog   float64
	backlogAt time.Time
}

// peerDemand is the last demand reported by a peer, in requests per second.
type peerDemand struct {
	receivedAt time.Time
	rate       float64
}

func newAccount(now time.Time, limit Limit) *account {
	bucket := rate.NewLimiter(0, 0)
	return &account{
		limit:       limit,
		bucket:      bucket,
		peerDemands: make(map[platform.InstanceID]peerDemand),
		measuredAt:  now,
		backlogAt:   now,
	}
}

func (a *account) allow(now time.Time) (bool, time.Duration) {
	a.arrivals++
	if a.bucket.AllowN(now, 1) {
		return true, 0
	}
	return false, a.retryAfter(now)
}

// retryAfter spreads the retries of refused requests over time. It returns the
// time until a token is available, assuming that all requests refused earlier
// are retried first.
func (a *account) retryAfter(now time.Time) time.Duration {
	perSecond := float64(a.bucket.Limit())
	if perSecond <= 0 {
		return maxRetryAfter
	}
	elapsed := max(0, now.Sub(a.backlogAt).Seconds())
	a.backlog = max(0, a.backlog-elapsed*perSecond) + 1
	a.backlogAt = now
	missing := a.backlog - a.bucket.TokensAt(now)
	seconds := min(maxRetryAfter.Seconds(), missing/perSecond)
	return time.Duration(seconds * float64(time.Second))
}

// measure updates the moving average with the arrivals since the last call.
func (a *account) measure(now time.Time, window time.Duration) {
	elapsed := now.Sub(a.measuredAt)
	if elapsed <= 0 {
		return
	}
	weight := -math.Expm1(-float64(elapsed) / float64(window))
	arrived := float64(a.arrivals) / elapsed.Seconds()
	a.demand += weight * (arrived - a.demand)
	a.arrivals = 0
	a.measuredAt = now
}

// expire removes the demands of peers that were reported too long ago.
func (a *account) expire(now time.Time, expiry time.Duration) {
	for instance, demand := range a.peerDemands {
		if now.Sub(demand.receivedAt) > expiry {
			delete(a.peerDemands, instance)
		}
	}
}

// updateShare sets the rate and burst of the bucket to this instance's share of
// the limit.
func (a *account) updateShare(now time.Time, group group) {
	budget := a.limit.RequestsPerSecond * group.fraction()
	share := divide(budget, group.known, a.demand, a.peerDemands)
	a.bucket.SetLimitAt(now, rate.Limit(share))
	a.bucket.SetBurstAt(now, a.burst(share))
}

// burst returns the part of the account's burst that corresponds to the share.
func (a *account) burst(share float64) int {
	if a.limit.RequestsPerSecond <= 0 {
		return 0
	}
	part := float64(a.limit.Burst) * share / a.limit.RequestsPerSecond
	wanted := max(minBurst, int(math.Ceil(part)))
	return min(wanted, max(1, a.limit.Burst))
}

// divide returns this instance's share of a budget for the given number of
// instances. The budget, the demands and the share are in requests per second.
// Each instance counts with at least a minimum demand. If the total demand exceeds
// the budget, shares are proportional to demand; otherwise each instance gets its
// demand and an equal part of the rest.
func divide(budget float64, instances int, demand float64, peers map[platform.InstanceID]peerDemand) float64 {
	if budget <= 0 {
		return 0
	}
	equal := budget / float64(instances)
	minDemand := minShareFraction * equal
	demand = max(demand, minDemand)
	total := demand
	for _, peer := range peers {
		total += max(peer.rate, minDemand)
	}
	total += minDemand * float64(max(0, instances-1-len(peers)))
	if total > budget {
		return budget * demand / total
	}
	return demand + (budget-total)/float64(instances)
}
