package feedback

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

func TestCountsSurviveThePacking(t *testing.T) {
	counts := cascade.Counts{Instance: "a", Sequence: 3, Cells: []cascade.CellCount{{
		Cell:  cascade.Cell{Class: "tagging", Ref: document.Ref{Model: "small", Version: "v1"}, Bin: 2},
		Count: cascade.Count{Seen: 5, Good: 3, Bad: 1},
	}}}
	got, ok := unpack(pack(counts))
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, counts)
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("not deflate"))
	f.Add(pack(cascade.Counts{Instance: "a", Cells: []cascade.CellCount{{}}}))
	f.Fuzz(func(t *testing.T, packed []byte) {
		counts, ok := unpack(packed)
		if ok {
			cascade.NewLearned("self").Merge(counts)
		}
	})
}
