package orders

import (
	"cmp"
	"math"
	"slices"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

// MinCopies is the minimum number of engines that must have a serving version
// loaded, or all engines in a smaller pool.
const MinCopies = 2

// Use is the reason why a version is loaded, ordered from most to least urgent.
type Use int

// Uses of a version.
const (
	// UseStable versions serve new sessions outside roll-outs.
	UseStable Use = iota
	// UseCandidate versions are candidates of roll-outs that are neither halted
	// nor aborted.
	UseCandidate
	// UseSessions versions serve only the sessions pinned to them.
	UseSessions
)

// Demand is the number of engines on which a version must be loaded.
type Demand struct {
	Ref    document.Ref
	Use    Use
	Copies int
	// Bytes is the size of the version's weights.
	Bytes int64
}

// Demands returns the versions that a pool with the given number of engines
// must have loaded, sorted by use and then by name.
func Demands(policy *document.Policy, pool platform.PoolName, statuses []rollout.Status, engines int) []Demand {
	var demands []Demand
	for _, ref := range policy.Pools[pool].Serves {
		version, ok := policy.Models[ref.Model].Versions[ref.Version]
		if !ok || version.State != document.VersionServing {
			continue
		}
		use, share := useAndShare(policy, statuses, ref)
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

// useAndShare returns the use of a serving version and the share of the engines
// that must have it loaded, without regard to [MinCopies].
func useAndShare(policy *document.Policy, statuses []rollout.Status, ref document.Ref) (Use, float64) {
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

// inProgress reports whether the roll-out's candidate is in use or will be, that
// is, the roll-out is neither halted nor aborted.
func inProgress(status rollout.Status) bool {
	return !status.Halted && status.Rollout.State != document.RolloutAborted
}

// nextShare returns the share of new sessions that the candidate serves after
// the roll-out's next step. If the roll-out is paused, this is the share of its
// current step, which applies when it resumes.
func nextShare(status rollout.Status) float64 {
	switch {
	case status.Complete:
		return 1
	case status.Rollout.State == document.RolloutPaused:
		return status.Rollout.Steps[status.Step]
	case status.IsLastStep():
		return 1
	default:
		return status.Rollout.Steps[status.Step+1]
	}
}

// inUse reports whether a version is serving and is either the stable version of
// its model or the candidate of a roll-out in progress.
func inUse(policy *document.Policy, statuses []rollout.Status, ref document.Ref) bool {
	if !serving(policy, ref) {
		return false
	}
	use, _ := useAndShare(policy, statuses, ref)
	return use != UseSessions
}

func serving(policy *document.Policy, ref document.Ref) bool {
	return policy.Models[ref.Model].Versions[ref.Version].State == document.VersionServing
}

func compareRefs(a, b document.Ref) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}
