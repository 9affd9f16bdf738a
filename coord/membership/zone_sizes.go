package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// MaxZoneSizes bounds the zones whose sizes one digest contains.
	MaxZoneSizes = MaxOtherZones + 1
	// MaxZoneInstances bounds the live instances of a zone in a digest, which may be malformed.
	MaxZoneInstances = 1 << 16
	// zoneSizeLifetime is how long the size of a zone counts after one of its instances told it.
	zoneSizeLifetime = time.Minute
)

// ZoneSize is the number of live instances of a zone, as one of them told it Age ago.
type ZoneSize struct {
	Zone platform.Zone
	Live int
	Age  time.Duration
}

type knownZoneSize struct {
	live   int
	toldAt time.Time
}

// MergeZoneSizes records the sizes of other zones from a digest. The newest of each zone counts.
func (p *Peers) MergeZoneSizes(now time.Time, sizes []ZoneSize) {
	for _, size := range sizes[:min(len(sizes), MaxZoneSizes)] {
		toldAt := now.Add(-max(0, size.Age))
		known, ok := p.zoneSizes[size.Zone]
		if size.Zone == p.self.Zone || size.Live <= 0 || size.Live > MaxZoneInstances || ok && !toldAt.After(known.toldAt) {
			continue
		}
		if ok || len(p.zoneSizes) < MaxOtherZones {
			p.zoneSizes[size.Zone] = knownZoneSize{live: size.Live, toldAt: toldAt}
		}
	}
}

// ZoneSizes returns the sizes of all zones for a digest. That of the local zone is left out if this
// instance may not know all of it yet.
func (p *Peers) ZoneSizes(now time.Time, knowsOwn bool) []ZoneSize {
	var sizes []ZoneSize
	if knowsOwn {
		sizes = append(sizes, ZoneSize{Zone: p.self.Zone, Live: len(p.Live(p.self.Zone))})
	}
	for zone, known := range p.zoneSizes {
		if age := now.Sub(known.toldAt); age < zoneSizeLifetime {
			sizes = append(sizes, ZoneSize{Zone: zone, Live: known.live, Age: age})
		}
	}
	slices.SortFunc(sizes, func(a, b ZoneSize) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return sizes
}

// FleetSize returns the number of live instances of all zones, with this one. An instance knows only
// few of another zone, so the size that the zone tells counts if it is larger.
func (p *Peers) FleetSize(now time.Time) int {
	known := make(map[platform.Zone]int)
	for _, entry := range p.order {
		if entry.Liveness == Alive {
			known[entry.Zone]++
		}
	}
	for zone, size := range p.zoneSizes {
		if now.Sub(size.toldAt) < zoneSizeLifetime {
			known[zone] = max(known[zone], size.live)
		}
	}
	total := 1
	for _, live := range known {
		total += live
	}
	return total
}
