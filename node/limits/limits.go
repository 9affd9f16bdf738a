// Package limits enforces the request limits that the policy in force sets for
// accounts. Each limit is divided among the instances by their demand.
package limits

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/quota"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// tickInterval is the time between updates of this instance's shares.
const tickInterval = 100 * time.Millisecond

// maxDemands bounds the demands read from one digest.
const maxDemands = 256

// Policies returns the policy in force, nil before the first.
type Policies interface {
	Policy() *document.Policy
}

// Limits decides which requests are within this instance's share of their
// account's limit. Its methods may be called from several goroutines.
type Limits struct {
	policies        Policies
	shares          *quota.Shares
	instanceCount   func() int
	appliedRevision atomic.Uint64
}

// New returns the Limits of an instance. instanceCount returns the number of
// instances that the platform lists.
func New(self platform.InstanceID, policies Policies, instanceCount func() int) *Limits {
	return &Limits{policies: policies, shares: quota.New(self, quota.Config{}), instanceCount: instanceCount}
}

// Allow counts a request of the account and reports whether the request is within
// this instance's share of the limit. If not, it returns the delay before a retry.
// Requests of accounts without a limit in the policy are refused.
func (l *Limits) Allow(account document.AccountID) (bool, time.Duration) {
	l.apply(time.Now())
	return l.shares.Allow(time.Now(), string(account))
}

// Run updates the shares until the context ends.
func (l *Limits) Run(ctx context.Context) error {
	return loop.Every(ctx, tickInterval, func(now time.Time) {
		l.apply(now)
		l.shares.Tick(now, max(1, l.instanceCount()))
	})
}

// apply sets the limits of the policy in force if its revision has changed.
func (l *Limits) apply(now time.Time) {
	policy := l.policies.Policy()
	if policy == nil || config.Revision(l.appliedRevision.Load()) == policy.Revision {
		return
	}
	limits := make([]quota.Limit, 0, len(policy.Accounts))
	for id, account := range policy.Accounts {
		limits = append(limits, quota.Limit{
			Account:           string(id),
			RequestsPerSecond: account.RequestsPerSecond,
			Burst:             account.Burst,
		})
	}
	l.shares.SetLimits(now, limits)
	l.appliedRevision.Store(uint64(policy.Revision))
}

// Fill implements cluster.Gossip.
func (l *Limits) Fill(now time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	for _, demand := range l.shares.Demands(now) {
		digest.Demands = append(digest.Demands, &peerpb.AccountDemand{
			Account:           demand.Account,
			RequestsPerSecond: demand.RequestsPerSecond,
		})
	}
}

// HandleDigest implements cluster.Gossip.
func (l *Limits) HandleDigest(now time.Time, digest *peerpb.Digest) {
	instance := platform.InstanceID(digest.Instance)
	demands := make([]quota.Demand, 0, len(digest.Demands))
	for i, demand := range digest.Demands {
		if i == maxDemands {
			break
		}
		demands = append(demands, quota.Demand{
			Instance:          instance,
			Account:           demand.Account,
			RequestsPerSecond: demand.RequestsPerSecond,
		})
	}
	l.shares.HandleDemands(now, instance, demands)
}
