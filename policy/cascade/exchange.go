package cascade

import (
	"cmp"
	"slices"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Limits on the counts merged from other instances.
const (
	// MaxCells bounds the cells of an export that [LearningPlanner.Merge]
	// accepts.
	MaxCells = 4096
	// MaxPeers bounds the instances whose counts a planner keeps.
	MaxPeers = 1024
	// maxDelta bounds the increment of each count in one merge.
	maxDelta = 1 << 16
)

// Cell identifies a group of answers. Bin is the bin of the answer's confidence,
// or, if the answer followed an escalation, of the rejected answer's confidence.
type Cell struct {
	Class     document.TaskClass `json:"class"`
	Ref       document.Ref       `json:"ref"`
	Escalated bool               `json:"escalated,omitempty"`
	Bin       int                `json:"bin"`
}

// Count holds the answers, good ratings and bad ratings of a cell since the start
// of an instance. A failed answer counts as a bad rating.
type Count struct {
	Seen uint64 `json:"seen"`
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// CellCount is a cell with its count.
type CellCount struct {
	Cell
	Count
}

// Counts is the export of one instance. It holds only the instance's own
// observations, so that nothing is counted twice when instances exchange them.
type Counts struct {
	Instance platform.InstanceID `json:"instance"`
	// Sequence orders the exports of one instance.
	Sequence uint64      `json:"sequence"`
	Cells    []CellCount `json:"cells"`
}

// peerState holds the counts merged from one instance.
type peerState struct {
	sequence uint64
	totals   map[Cell]Count
}

// Export returns the counts observed on this instance, in a fixed order.
func (l *LearningPlanner) Export() Counts {
	l.sequence++
	counts := Counts{Instance: l.instance, Sequence: l.sequence}
	for cell, count := range l.totals {
		counts.Cells = append(counts.Cells, CellCount{Cell: cell, Count: count})
	}
	slices.SortFunc(counts.Cells, func(a, b CellCount) int { return compareCells(a.Cell, b.Cell) })
	return counts
}

// Merge applies the increments of another instance's counts since the last merge.
// It ignores counts that are not newer than the last merged ones or exceed the
// limits.
func (l *LearningPlanner) Merge(counts Counts) {
	if counts.Instance == l.instance || len(counts.Cells) > MaxCells {
		return
	}
	peer, ok := l.peers[counts.Instance]
	if !ok {
		if len(l.peers) >= MaxPeers {
			return
		}
		peer = &peerState{totals: map[Cell]Count{}}
		l.peers[counts.Instance] = peer
	}
	if counts.Sequence <= peer.sequence {
		return
	}
	peer.sequence = counts.Sequence
	for _, row := range counts.Cells {
		if row.Bin < 0 || row.Bin >= Bins {
			continue
		}
		delta, ok := row.Count.minus(peer.totals[row.Cell])
		if !ok || delta == (Count{}) {
			continue
		}
		peer.totals[row.Cell] = row.Count
		l.apply(row.Cell, delta)
	}
}

// ForgetPeers drops the counts of peers for which gone returns true. The
// estimates keep the increments already merged from them.
func (l *LearningPlanner) ForgetPeers(gone func(platform.InstanceID) bool) {
	for id := range l.peers {
		if gone(id) {
			delete(l.peers, id)
		}
	}
}

func cellOf(r Result) Cell {
	confidence := r.Confidence
	if r.Escalated {
		confidence = r.PreviousConfidence
	}
	return Cell{Class: r.Class, Ref: r.Ref, Escalated: r.Escalated, Bin: binOf(confidence)}
}

func compareCells(a, b Cell) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Ref.Model, b.Ref.Model),
		cmp.Compare(a.Ref.Version, b.Ref.Version),
		compareBools(a.Escalated, b.Escalated),
		cmp.Compare(a.Bin, b.Bin),
	)
}

func compareBools(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

func (c Count) plus(other Count) Count {
	return Count{Seen: c.Seen + other.Seen, Good: c.Good + other.Good, Bad: c.Bad + other.Bad}
}

// minus subtracts earlier counts. It reports false if a count decreased or grew
// by more than maxDelta.
func (c Count) minus(earlier Count) (Count, bool) {
	if c.Seen < earlier.Seen || c.Good < earlier.Good || c.Bad < earlier.Bad {
		return Count{}, false
	}
	delta := Count{Seen: c.Seen - earlier.Seen, Good: c.Good - earlier.Good, Bad: c.Bad - earlier.Bad}
	return delta, max(delta.Seen, delta.Good, delta.Bad) <= maxDelta
}
