package experiment

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFleetStopsABadCandidate checks the model that the figures rest on: equal
// seeds give equal runs, and the grants hold also while a zone is cut off.
func TestFleetStopsABadCandidate(t *testing.T) {
	for _, c := range []fleetCase{badCase(0.30), cutCase(0.30), lateRatings(badCase(0.30))} {
		first := runFleet(c, 1)
		assert.Equal(t, first, runFleet(c, 1))
		assert.Assert(t, first.braked && first.exposed <= 60, "%+v", first)
		assert.Assert(t, first.overGranted <= 0, "%+v", first)
	}
	good := runFleet(badCase(0.01), 1)
	assert.Assert(t, good.complete && !good.braked, "%+v", good)
}

func TestCascadeRunsAreReproducible(t *testing.T) {
	for _, p := range planners() {
		first, second := newCascadeRun(1, costRule, p.planner), newCascadeRun(1, costRule, p.planner)
		first.serve(600)
		second.serve(600)
		assert.Equal(t, first.total(), second.total())
		assert.Equal(t, first.total().requests, 600)
	}
}
