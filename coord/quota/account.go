package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// minToldDemand is the least demand worth telling, in requests per second.
	minToldDemand = 0.01
	// floorShare is the part of an equal share that an instance without any
	// demand keeps, so that its first requests are not refused.
	floorShare = 0.02
	// minBurst is the least burst of a bucket, in requests, if the account's
	// own burst permits it. A bucket of one token loses the time between the
	// token and the next request.
	minBurst = 2
	// maxRetryAfter bounds the wait that a refused caller is told.
	maxRetryAfter = 30 * time.Second
)

// account is the state of one account on this instance.
type account struct {
	limit  Limit
	bucket *rate.Limiter
	heard  map[platform.InstanceID]heardDemand

	// demand is the smoothed arrival rate here, in requests per second.
	demand     float64
	arrivals   int
	measuredAt time.Time

	// backlog counts the refused requests that are expected to come back.
	backlog   float64
	backlogAt time.Time
}

type heardDemand struct {
	at   time.Time
	rate float64
}

func newAccount(now time.Time, limit Limit) *account {
	bucket := rate.NewLimiter(0, 0)
	return &account{
		limit:      limit,
		bucket:     bucket,
		heard:      make(map[platform.InstanceID]heardDemand),
		measuredAt: now,
		backlogAt:  now,
	}
}

func (a *account) allow(now time.Time) (bool, time.Duration) {
	a.arrivals++
	if a.bucket.AllowN(now, 1) {
		return true, 0
	}
	return false, a.retryAfter(now)
}

// retryAfter spreads the refused callers over the tokens to come: each is told
// the time at which the tokens reach it if those refused before it return.
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

// measure folds the arrivals since the last tick into the smoothed demand.
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

func (a *account) expire(now time.Time, expiry time.Duration) {
	for instance, demand := range a.heard {
		if now.Sub(demand.at) > expiry {
			delete(a.heard, instance)
		}
	}
}

// share sets the bucket to this instance's share of the limit.
func (a *account) share(now time.Time, group group) {
	budget := a.limit.RequestsPerSecond * group.part()
	share := divide(budget, group.known, a.demand, a.heard)
	a.bucket.SetLimitAt(now, rate.Limit(share))
	a.bucket.SetBurstAt(now, a.burst(share))
}

// burst returns the part of the account's burst that goes with a share.
func (a *account) burst(share float64) int {
	if a.limit.RequestsPerSecond <= 0 {
		return 0
	}
	part := float64(a.limit.Burst) * share / a.limit.RequestsPerSecond
	wanted := max(minBurst, int(math.Ceil(part)))
	return min(wanted, max(1, a.limit.Burst))
}

// divide returns the share of an instance with the demand given, of a budget
// that known instances divide.
func divide(budget float64, known int, own float64, heard map[platform.InstanceID]heardDemand) float64 {
	if budget <= 0 {
		return 0
	}
	equal := budget / float64(known)
	floor := floorShare * equal
	own = max(own, floor)
	total := own
	for _, demand := range heard {
		total += max(demand.rate, floor)
	}
	total += floor * float64(max(0, known-1-len(heard)))
	if total > budget {
		return budget * own / total
	}
	return own + (budget-total)/float64(known)
}
