package fleetlimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// BenchmarkAllows measures the check of one limited endpoint, and the same after each change
// of the group.
func BenchmarkAllows(b *testing.B) {
	for _, size := range []struct{ members, zones int }{{3, 4}, {13, 6}, {22, 17}} {
		group := fleetlimit.Group{Self: "i0", Zone: "z0"}
		for i := range size.members {
			group.Members = append(group.Members, platform.InstanceID(fmt.Sprintf("i%d", i)))
		}
		for i := range size.zones {
			group.Zones = append(group.Zones, platform.Zone(fmt.Sprintf("z%d", i)))
		}
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/changes=%t", size.members, changes), func(b *testing.B) {
				limits := fleetlimit.New()
				limits.SetGroup(start, group)
				limits.Observe(start, key, named(2), start)
				now := start.Add(time.Minute)
				for i := range b.N {
					if changes {
						changed := group
						changed.Members = group.Members[:len(group.Members)-i%2]
						limits.SetGroup(now, changed)
					}
					limits.Allows(now, key)
				}
			})
		}
	}
}
