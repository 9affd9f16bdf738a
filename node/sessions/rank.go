package sessions

import (
	"cmp"
	"slices"

	"github.com/wigeonusher/wigeonusher/coord/membership"
)

// sortByScore sorts peers by descending score, and by ID where scores are equal.
func sortByScore(peers []membership.Peer, score func(membership.Peer) uint64) {
	slices.SortFunc(peers, func(a, b membership.Peer) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
}
