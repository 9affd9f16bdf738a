package check

import (
	"cmp"
	"slices"

	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// evaluation is the state of one evaluation.
type evaluation struct {
	history  History
	table    *Table
	bills    map[string][]Bill
	periods  []period
	byID     map[string]observation.Observation
	runsByID map[string][]engine.Run
}

// Evaluate folds a history into a table.
func Evaluate(history History) *Table {
	e := &evaluation{
		history:  history,
		table:    &Table{},
		bills:    history.billsByRequest(),
		periods:  history.periods(),
		byID:     map[string]observation.Observation{},
		runsByID: map[string][]engine.Run{},
	}
	for _, o := range history.Observations {
		e.byID[o.RequestID] = o
	}
	for _, run := range history.EngineRuns {
		e.runsByID[run.RequestID] = append(e.runsByID[run.RequestID], run)
	}
	e.answers()
	e.refusals()
	e.billing()
	e.bookings()
	e.sessions()
	e.permissions()
	e.leaving()
	e.exposure()
	e.crashes()
	e.revisions()
	e.plannedStops()
	e.quality()
	e.figures()
	e.table.Held = len(e.table.Broken()) == 0
	return e.table
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
