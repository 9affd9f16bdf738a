package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/placement"
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func TestStandardStepsPreferTheCheaperEndpoint(t *testing.T) {
	tuning := placement.Tuning{
		ServiceMillis: 1000,
		Distances:     placement.Distances{DefaultMillis: 5},
	}
	idle := placement.Candidate{ID: "a", Zone: "z1", Slots: 4}
	with := func(change func(*placement.Candidate)) placement.Candidate {
		other := idle
		other.ID = "b"
		change(&other)
		return other
	}
	tests := map[string]placement.Candidate{
		"reported load":    with(func(c *placement.Candidate) { c.Running, c.Queued = 4, 3 }),
		"own dispatches":   with(func(c *placement.Candidate) { c.InFlight, c.Sent = 6, 6 }),
		"peers dispatches": with(func(c *placement.Candidate) { c.PeerSent = 6 }),
		"other zone":       with(func(c *placement.Candidate) { c.Zone = "z2" }),
		"slow":             with(func(c *placement.Candidate) { c.FirstTokenMillis = 900 }),
		"failing":          with(func(c *placement.Candidate) { c.FailureRate = 0.9 }),
	}
	if idle.FirstTokenMillis == 0 {
		idle.FirstTokenMillis = 100
	}
	scheduler := placement.New(placement.Standard(tuning))
	for name, other := range tests {
		t.Run(name, func(t *testing.T) {
			request := placement.Request{Zone: "z1", PromptTokens: 100}
			got, err := scheduler.Pick(newRandom(1), request, []placement.Candidate{other, idle})
			assert.NilError(t, err)
			assert.Equal(t, got.ID, idle.ID)
		})
	}
}

func TestOwnRequestsInTheReportCountOnce(t *testing.T) {
	// All four requests reported are this instance's own, so the endpoint is
	// no busier than one that reports nothing while it holds four of them.
	reported := placement.Candidate{ID: "a", Slots: 8, Running: 4, InFlight: 4}
	fresh := placement.Candidate{ID: "b", Slots: 8, InFlight: 4, Sent: 4}
	scores := placement.Load{ServiceMillis: 1000}.Score(placement.Request{}, []placement.Candidate{reported, fresh})
	assert.Equal(t, scores[0], scores[1])
}

func TestPrefixAffinityGivesWayToLoad(t *testing.T) {
	scheduler := placement.New(placement.Standard(placement.Tuning{ServiceMillis: 1000, PrefillMillisPerToken: 0.1}))
	request := placement.Request{PromptTokens: 4000}
	warm := placement.Candidate{ID: "warm", Slots: 4, PrefixTokens: 4000}
	cold := placement.Candidate{ID: "cold", Slots: 4}
	got, err := scheduler.Pick(newRandom(1), request, []placement.Candidate{cold, warm})
	assert.NilError(t, err)
	assert.Equal(t, got.ID, warm.ID)

	warm.Running, warm.Queued = 4, 4
	got, err = scheduler.Pick(newRandom(1), request, []placement.Candidate{cold, warm})
	assert.NilError(t, err)
	assert.Equal(t, got.ID, cold.ID)
}

func TestPickKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(drawCandidate(), 0, 12).Draw(t, "candidates")
		for i := range candidates {
			candidates[i].ID = platform.EndpointID(fmt.Sprint(i))
		}
		avoided := rapid.SliceOfN(rapid.IntRange(0, 11), 0, 12).Draw(t, "avoided")
		request := placement.Request{PromptTokens: rapid.IntRange(-1, 1<<20).Draw(t, "prompt")}
		for _, i := range avoided {
			request.Avoid = append(request.Avoid, platform.EndpointID(fmt.Sprint(i)))
		}
		scheduler := placement.New(placement.Standard(placement.Tuning{}))
		got, err := scheduler.Pick(newRandom(1), request, candidates)
		allowed := 0
		for _, candidate := range candidates {
			if !contains(request.Avoid, candidate.ID) {
				allowed++
			}
		}
		if allowed == 0 {
			assert.Equal(t, err, placement.ErrNoCandidate)
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, !contains(request.Avoid, got.ID))
	})
}

func drawCandidate() *rapid.Generator[placement.Candidate] {
	return rapid.Custom(func(t *rapid.T) placement.Candidate {
		return placement.Candidate{
			Zone:         platform.Zone(rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone")),
			Slots:        rapid.IntRange(-1, 16).Draw(t, "slots"),
			Running:      rapid.IntRange(0, 50).Draw(t, "running"),
			Queued:       rapid.IntRange(0, 50).Draw(t, "queued"),
			ReportAge:    time.Duration(rapid.IntRange(0, 7200).Draw(t, "age")) * time.Second,
			Sent:         rapid.IntRange(0, 50).Draw(t, "sent"),
			Ended:        rapid.IntRange(0, 50).Draw(t, "ended"),
			InFlight:     rapid.IntRange(0, 50).Draw(t, "in flight"),
			PrefixTokens: rapid.IntRange(0, 1<<20).Draw(t, "prefix"),
			FailureRate:  rapid.Float64Range(0, 1).Draw(t, "failures"),
		}
	})
}

func contains(ids []platform.EndpointID, id platform.EndpointID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
