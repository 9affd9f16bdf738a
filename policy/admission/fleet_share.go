package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// servedFloor is the least served part of an account and of a rank, as a part of the overall
	// one. The requirement is a quarter; the rest is for the error of the estimates.
	servedFloor = 0.3
	// maxFloorPart bounds the part of the room that the floors of accounts take from the shares:
	// the demand of an account counts its retries, so its floor would grow with them.
	maxFloorPart = 0.05
	// toleranceDeviations is by how many deviations the demand of an account must exceed its share
	// before the account is limited: a rate that was measured on few requests varies. At nine
	// instances, large accounts were limited for that. maxTolerated bounds the part of the room
	// that is granted so.
	toleranceDeviations = 1.5
	maxTolerated        = 0.05
	// shareSteps is the number of bisections with which levels are found.
	shareSteps = 30
)

// demand is what the fleet is offered of one account, in endpoint seconds a second by rank, and
// the part of it that has returned at a booked time.
type demand struct{ offered, kept [Ranks]float64 }

func (d *demand) total() float64 {
	sum := 0.0
	for _, offered := range d.offered {
		sum += offered
	}
	return sum
}

// plan holds the fractions of the requests without a place that are admitted.
type plan struct {
	allowed float64
	// exceeded reports that the fleet is offered more.
	exceeded bool
	reason   Reason
	// fractions holds those of the accounts that are not served in full.
	fractions map[uint32]*[Ranks]float64
}

// newPlan divides what may be admitted among the accounts, max-min fair in endpoint time, and
// within an account by rank. meanWork is the mean endpoint time of a request in seconds.
func newPlan(demands map[uint32]*demand, allowed, meanWork float64) plan {
	p := plan{allowed: allowed, reason: OverShare, fractions: make(map[uint32]*[Ranks]float64)}
	totals, total := make(map[uint32]float64, len(demands)), 0.0
	for account, d := range demands {
		totals[account] = d.total()
		total += totals[account]
	}
	if total <= allowed {
		return p
	}
	p.exceeded = true
	overall := allowed / total
	floor := accountFloor(totals, allowed, servedFloor*overall)
	tolerate(totals, &allowed, floor, meanWork)
	level := maxMinLevel(totals, allowed, floor)
	for account, own := range totals {
		if share := accountShare(own, level, floor); share < own {
			p.fractions[account] = rankFractions(demands[account], share, servedFloor*overall)
		}
	}
	if len(p.fractions) == len(demands) {
		p.reason = NoRoom
	}
	return p
}

// tolerate removes the accounts whose demand may be above their share by chance, and subtracts the
// demand of these from what is allowed.
func tolerate(totals map[uint32]float64, allowed *float64, floor, meanWork float64) {
	type excess struct {
		account uint32
		above   float64
	}
	level := maxMinLevel(totals, *allowed, floor)
	var candidates []excess
	for account, own := range totals {
		above := own - accountShare(own, level, floor)
		requests := own * rateWindow.Seconds() / meanWork
		if above > 0 && own <= level*(1+toleranceDeviations/math.Sqrt(requests)) {
			candidates = append(candidates, excess{account, above})
		}
	}
	slices.SortFunc(candidates, func(a, b excess) int {
		return cmp.Or(cmp.Compare(a.above, b.above), cmp.Compare(a.account, b.account))
	})
	left := maxTolerated * *allowed
	for _, candidate := range candidates {
		if left -= candidate.above; left < 0 {
			break
		}
		*allowed -= totals[candidate.account]
		delete(totals, candidate.account)
	}
}

// accountShare returns what an account with the given demand gets.
func accountShare(demand, level, floor float64) float64 {
	return min(demand, max(level, floor*demand))
}

// accountFloor returns the least served part of an account: the wanted one, or less if that takes
// too much from the others.
func accountFloor(totals map[uint32]float64, allowed, wanted float64) float64 {
	own := slices.Collect(maps.Values(totals))
	level := maxMinLevel(totals, allowed, 0)
	return bisect(wanted, func(floor float64) bool {
		taken := 0.0
		for _, demand := range own {
			taken += accountShare(demand, level, floor) - accountShare(demand, level, 0)
		}
		return taken <= maxFloorPart*allowed
	})
}

// maxMinLevel returns the level at which the shares add up to what is allowed.
func maxMinLevel(totals map[uint32]float64, allowed, floor float64) float64 {
	own := slices.Collect(maps.Values(totals))
	return bisect(allowed, func(level float64) bool {
		sum := 0.0
		for _, demand := range own {
			sum += accountShare(demand, level, floor)
		}
		return sum <= allowed
	})
}

// bisect returns the largest number from 0 to most that holds, if all smaller ones hold too.
func bisect(most float64, holds func(float64) bool) float64 {
	if holds(most) {
		return most
	}
	low, high := 0.0, most
	for range shareSteps {
		if middle := (low + high) / 2; holds(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// rankFractions divides an account's share among its ranks, the most urgent first, after each has
// got the floor. What has returned at its time goes before all of that, so the fractions are those of
// the rest.
func rankFractions(d *demand, share, floor float64) *[Ranks]float64 {
	floor = min(floor, share/d.total())
	var given [Ranks]float64
	rest := share
	for rank, kept := range d.kept {
		rest -= min(kept, d.offered[rank])
	}
	for rank, offered := range d.offered {
		given[rank] = max(0, floor*offered-d.kept[rank])
		rest -= given[rank]
	}
	var fractions [Ranks]float64
	for rank, offered := range d.offered {
		fresh := max(0, offered-d.kept[rank])
		more := min(max(0, rest), fresh-given[rank])
		rest -= more
		switch {
		case fresh > 0:
			fractions[rank] = min(1, (given[rank]+more)/fresh)
		case rest > 0:
			fractions[rank] = 1
		default:
			fractions[rank] = floor
		}
	}
	return &fractions
}

// fraction returns the fraction of the account's requests of the rank that are admitted.
func (p plan) fraction(entry UsageEntry) float64 {
	fractions := p.fractions[entry.Account]
	if fractions == nil {
		return 1
	}
	return fractions[entry.Rank]
}
