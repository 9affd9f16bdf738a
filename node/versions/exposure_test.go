package versions_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/canary"
)

// spend uses up what the new version may get.
func (f *fixture) spend() {
	for range 1000 {
		f.versions.RecordSend(order.Service, order.Target)
	}
}

func TestSpentExposureAdmitsNoNewSession(t *testing.T) {
	for _, phase := range []canary.Phase{canary.Canary, canary.Full} {
		f := newFixture()
		f.versions.Order(order)
		f.agree(phase)
		session := chosenSession(t)
		f.choose(session, "1")
		f.spend()
		candidate, incumbent := f.choose(session, "2")
		assert.Assert(t, candidate && !incumbent, "%s: a session keeps its version", phase)
		for _, other := range []string{"", "another"} {
			candidate, incumbent = f.choose(other, "3")
			assert.Assert(t, !candidate && incumbent, "%s: session %q", phase, other)
		}
	}
}

// A session that moved at another instance must not move back because this one has spent its
// exposure.
func TestSessionThatMovedAtAPeerStaysWithoutExposure(t *testing.T) {
	f := newFixture()
	f.versions.Order(order)
	f.agree(canary.Full)
	f.spend()
	f.peers["moved"] = true
	candidate, _ := f.choose("moved", "1")
	assert.Assert(t, candidate)
}

// Requests of the old version must not overflow to the new one while its endpoints are busy or
// down: that would be exposure that no one has decided.
func TestOldVersionWithoutRoomDoesNotOverflowBeyondTheExposure(t *testing.T) {
	for _, phase := range []canary.Phase{canary.Canary, canary.Full} {
		f := newFixture()
		picker := f.newPicker("v1", "v2")
		f.versions = f.newVersions(picker.Pools)
		f.versions.Order(order)
		f.agree(phase)
		allowed := func() bool {
			choice := f.versions.Choose(context.Background(), order.Service, "", "x")
			return choice.Allowed("v2")
		}
		assert.Assert(t, allowed(), "%s: exposure is left", phase)
		f.spend()
		assert.Assert(t, !allowed(), "%s: exposure is spent", phase)
	}
}

func TestNewVersionServesIfNoOtherIsListed(t *testing.T) {
	f := newFixture()
	f.versions = f.newVersions(f.newPicker("v2").Pools)
	f.versions.Order(order)
	f.agree(canary.Canary)
	f.spend()
	assert.Assert(t, f.versions.Choose(context.Background(), order.Service, "", "x").Allowed("v2"))
}

// An attempt that was not sent reached nothing, and one that an endpoint answers earns exposure.
func TestOnlyAttemptsThatWereSentCountAsExposure(t *testing.T) {
	f := newFixture()
	f.versions.Order(order)
	f.agree(canary.Full)
	for range 1000 {
		f.versions.RecordSend(order.Service, order.Target)
		f.versions.RecordUnsent(order.Service, order.Target)
	}
	candidate, _ := f.choose("", "1")
	assert.Assert(t, candidate)
}
