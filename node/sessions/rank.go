package sessions

import (
	"cmp"
	"slices"

	"github.com/wigeonusher/wigeonusher/coord/membership"
)

// sortByScore orders peers by falling score, equal scores by ID.
func sortByScore(peers []membership.Peer, score func(membership.Peer) uint64) {
	slices.SortFunc(peers, func(a, b membership.Peer) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
}
