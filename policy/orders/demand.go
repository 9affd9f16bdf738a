package orders

import (
	"cmp"
	"math"
	"slices"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

// MinCopies is the least number of engines that have a serving version.
const MinCopies = 2

// Use says what a version is loaded for, the most urgent first.
type Use int

// Uses of a version.
const (
	// UseStable versions get the new sessions outside roll-outs.
	UseStable Use = iota
	// UseCandidate versions belong to a roll-out that is not over.
	UseCandidate
	// UseSessions versions serve sessions that began with them.
	UseSessions
)

// Demand is the number of engines that a version must be loaded on.
type Demand struct {
	Ref    document.Ref
	Use    Use
	Copies int
	// Bytes is the size of the weights.
	Bytes int64
}

// Demands returns what a pool with a number of engines has to have loaded, in
// order of use and then of name.
func Demands(policy *document.Policy, pool platform.PoolName, statuses []rollout.Status, engines int) []Demand {
	var demands []Demand
	for _, ref := range policy.Pools[pool].Serves {
		version, ok := policy.Models[ref.Model].Versions[ref.Version]
		if !ok || version.State != document.VersionServing {
			continue
		}
		use, share := useOf(policy, statuses, ref)
		copies := max(MinCopies, int(math.Ceil(share*float64(engines))))
		demands = append(demands, Demand{
			Ref:    ref,
			Use:    use,
			Copies: min(copies, engines),
			Bytes:  version.WeightBytes,
		})
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Use, b.Use), compareRefs(a.Ref, b.Ref))
	})
	return slices.CompactFunc(demands, func(a, b Demand) bool { return a.Ref == b.Ref })
}

// useOf returns the use of a serving version and the share of engines for it.
func useOf(policy *document.Policy, statuses []rollout.Status, ref document.Ref) (Use, float64) {
	if policy.Models[ref.Model].Stable == ref.Version {
		return UseStable, 1
	}
	use, share := UseSessions, 0.0
	for _, status := range statuses {
		if status.Rollout.Model == ref.Model && status.Rollout.Candidate == ref.Version && inProgress(status) {
			use = UseCandidate
			share = max(share, nextShare(status))
		}
	}
	return use, share
}

// inProgress reports whether the roll-out's candidate is or will be in use.
func inProgress(status rollout.Status) bool {
	return !status.Braked && status.Rollout.State != document.RolloutAborted
}

// nextShare returns the share of sessions that the candidate meets after the
// roll-out's next move.
func nextShare(status rollout.Status) float64 {
	switch {
	case status.Complete:
		return 1
	case status.Rollout.State == document.RolloutPaused:
		return status.Rollout.Steps[status.Step]
	case status.LastStep():
		return 1
	default:
		return status.Rollout.Steps[status.Step+1]
	}
}

// pinned reports whether a version is in use: the stable version of its model,
// or the candidate of a roll-out in progress.
func pinned(policy *document.Policy, statuses []rollout.Status, ref document.Ref) bool {
	if !serving(policy, ref) {
		return false
	}
	use, _ := useOf(policy, statuses, ref)
	return use != UseSessions
}

func serving(policy *document.Policy, ref document.Ref) bool {
	return policy.Models[ref.Model].Versions[ref.Version].State == document.VersionServing
}

func compareRefs(a, b document.Ref) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}
