package check

import (
	"cmp"
	"slices"

	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// judge is the state of one judgement.
type judge struct {
	history  History
	table    *Table
	bills    map[string][]Bill
	eras     []era
	byID     map[string]observation.Observation
	runsByID map[string][]engine.Run
}

// Judge folds a history into a table.
func Judge(history History) *Table {
	j := &judge{
		history:  history,
		table:    &Table{},
		bills:    history.billsByRequest(),
		eras:     history.eras(),
		byID:     map[string]observation.Observation{},
		runsByID: map[string][]engine.Run{},
	}
	for _, o := range history.Observations {
		j.byID[o.RequestID] = o
	}
	for _, run := range history.EngineRuns {
		j.runsByID[run.RequestID] = append(j.runsByID[run.RequestID], run)
	}
	j.answers()
	j.refusals()
	j.billing()
	j.bookings()
	j.sessions()
	j.permissions()
	j.leaving()
	j.exposure()
	j.crashes()
	j.revisions()
	j.plannedStops()
	j.quality()
	j.figures()
	j.table.Held = len(j.table.Broken()) == 0
	return j.table
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
