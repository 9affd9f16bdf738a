package check

import (
	"cmp"
	"slices"

	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// evaluation is the state of one call of [Evaluate].
type evaluation struct {
	history          History
	table            *Table
	bills            map[string][]Bill
	acceptedPolicies []acceptedPolicy
	observationsByID map[string]observation.Observation
	runsByID         map[string][]engine.Run
}

// Evaluate checks a history against the invariants and computes its figures.
func Evaluate(history History) *Table {
	e := &evaluation{
		history:          history,
		table:            &Table{},
		bills:            history.billsByRequest(),
		acceptedPolicies: history.acceptedPolicies(),
		observationsByID: map[string]observation.Observation{},
		runsByID:         map[string][]engine.Run{},
	}
	for _, o := range history.Observations {
		e.observationsByID[o.RequestID] = o
	}
	for _, run := range history.EngineRuns {
		e.runsByID[run.RequestID] = append(e.runsByID[run.RequestID], run)
	}
	e.checkAnswers()
	e.checkNotRun()
	e.checkBills()
	e.checkBookings()
	e.checkSessions()
	e.checkPermissions()
	e.checkLeaving()
	e.checkExposure()
	e.checkCrashes()
	e.checkRevisions()
	e.checkPlannedStops()
	e.checkQuality()
	e.computeFigures()
	e.table.Passed = len(e.table.Broken()) == 0
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
