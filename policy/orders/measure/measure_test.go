package measure_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/orders/measure"
)

// TestFigures prints the figures of the design note.
func TestFigures(t *testing.T) {
	for _, engines := range []int{12, 88} {
		planned, everywhere := measure.Planned(engines), measure.Everywhere(engines)
		t.Logf("%d engines, planned: %+v", engines, planned)
		t.Logf("%d engines, everywhere: %+v", engines, everywhere)
		assert.Assert(t, planned.Ready[0] > 0 && planned.Ready[0] < 10*time.Minute, "the first step began too early")
		assert.Assert(t, planned.Ready[1] > 0 && planned.Ready[1] < 20*time.Minute, "the second step began too early")
		assert.Assert(t, planned.Slots < everywhere.Slots)
		assert.Assert(t, planned.OtherWait < everywhere.OtherWait)
	}
}
