package pool

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Concentration limits the requests of a version to a share of its endpoints, so that these
// have load though the version gets few requests. All instances choose the same ones.
type Concentration struct {
	Version string
	Share   float64
	// Turn selects which endpoints are used.
	Turn int
}

func (c *Concentration) rank(m *member) uint64 {
	return xxhash.Sum64String(strconv.Itoa(c.Turn) + "\x00" + string(m.record.ID))
}

// concentrate returns the candidates without those of the version that are not used. Further ones
// are used while the others have more load than the endpoints of other versions. The caller holds mu.
func (p *Pool) concentrate(candidates []*member, c *Concentration) []*member {
	var used, others []*member
	for _, m := range candidates {
		if m.record.Version == c.Version {
			used = append(used, m)
		} else {
			others = append(others, m)
		}
	}
	slices.SortFunc(used, func(a, b *member) int { return cmp.Compare(c.rank(a), c.rank(b)) })
	listed, usualLoad := p.versionLoad(c.Version)
	most := max(1, int(math.Round(c.Share*float64(listed))))
	isBusy := func(m *member) bool { return m.load() > usualLoad }
	for most < len(used) && !slices.ContainsFunc(used[:most], func(m *member) bool { return !isBusy(m) }) {
		most++
	}
	return append(others, used[:min(most, len(used))]...)
}

// versionLoad returns the number of endpoints of a version that accept new requests, and the mean
// load of those of other versions; without such, no load is above it.
func (p *Pool) versionLoad(version string) (listed int, othersLoad float64) {
	others := 0
	for _, m := range p.members {
		switch {
		case m.record.Leaving, m.evacuated:
		case m.record.Version == version:
			listed++
		default:
			others++
			othersLoad += m.load()
		}
	}
	if others == 0 {
		return listed, math.Inf(1)
	}
	return listed, othersLoad / float64(others)
}
