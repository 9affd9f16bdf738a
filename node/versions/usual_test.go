package versions

import (
	"io"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/canary"
)

// In the simulation, one instance observes the answers of the whole fleet.
const (
	simulatedAnswers = 2500
	candidateShare   = 0.09
)

// simulation draws the answers of both versions.
type simulation struct {
	// slow returns by what the time of a candidate's answer is multiplied.
	slow func(random *rand.Rand) float64
	// load returns the load of an endpoint at the given part of the simulation.
	load func(random *rand.Rand, candidate bool, part float64) int
	// far is added to the time of a candidate's answer, and plain makes the service a plain
	// one. cold is the number of candidate's answers from endpoints that have just started,
	// which take twice as long.
	far   time.Duration
	plain bool
	cold  int
}

func usualLoad(random *rand.Rand, candidate bool, _ float64) int {
	if candidate {
		return 1 + random.IntN(4)
	}
	return 3 + random.IntN(20)
}

// run returns the number of the candidate's answers at the verdict that it is bad, and
// false if there was none.
func (s simulation) run(seed uint64) (int, bool) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	random := rand.New(rand.NewPCG(seed, 3))
	v := New(Tuning{Share: candidateShare, SessionGap: time.Second}, Config{Logger: logrus.NewEntry(logger)})
	for range 200 {
		v.Observe("s", "v1", s.outcome(random, false, 0, false))
	}
	v.Order(canary.Order{Service: "s", Target: "v2", Duration: time.Hour})
	current := v.services["s"].rollout
	current.ApplyStatus(canary.Status{Service: "s", Target: "v2", Phase: canary.Canary})
	candidates := 0
	for n := range simulatedAnswers {
		candidate := random.Float64() < candidateShare
		version := "v1"
		if candidate {
			candidates++
			version = "v2"
		}
		v.Observe("s", version, s.outcome(random, candidate, float64(n)/simulatedAnswers, candidate && candidates <= s.cold))
		if current.NextPhase(time.Second, true) == canary.RolledBack {
			return candidates, true
		}
	}
	return candidates, false
}

func (s simulation) outcome(random *rand.Rand, candidate bool, part float64, cold bool) relay.VersionOutcome {
	load := s.load(random, candidate, part)
	took := (30 + 1.2*float64(load)) * math.Exp(0.35*random.NormFloat64())
	outcome := relay.VersionOutcome{Model: "m", Load: load, Cold: cold}
	if s.plain {
		outcome.Model = ""
	}
	if candidate {
		took *= s.slow(random)
	}
	if cold {
		took *= 2
	}
	measured := time.Duration(took * float64(time.Millisecond))
	if candidate {
		measured += s.far
	}
	if s.plain {
		outcome.FirstEvent = measured
	} else {
		outcome.Pace = measured
	}
	return outcome
}

func times(x, share float64) func(*rand.Rand) float64 {
	return func(random *rand.Rand) float64 {
		if random.Float64() < share {
			return x
		}
		return 1
	}
}

// A version may be slow by any factor, in all or a part of its answers, and have less load
// than the old one.
func TestVersionThatIsSlowAtEqualLoadIsFound(t *testing.T) {
	for name, slow := range map[string]func(*rand.Rand) float64{
		"1.75 times": times(1.75, 1), "twice": times(2, 1), "2.5 times": times(2.5, 1), "four times": times(4, 1),
		"four times, half of the answers": times(4, 0.5), "eight times, a third": times(8, 0.35),
	} {
		for _, plain := range []bool{false, true} {
			for seed := range uint64(20) {
				candidates, found := simulation{slow: slow, load: usualLoad, plain: plain}.run(seed)
				assert.Assert(t, found, "%s, seed %d: not found", name, seed)
				assert.Assert(t, candidates <= 100, "%s, seed %d: found after %d answers", name, seed, candidates)
			}
		}
	}
}

// Each of the three tests rejects a good version with a probability of at most e^-5, which
// are 2 in 100 together.
func TestGoodVersionIsNotRolledBackForItsTimes(t *testing.T) {
	good := times(1, 1)
	burst := func(random *rand.Rand, candidate bool, part float64) int {
		load := usualLoad(random, candidate, part)
		if part > 0.3 && part < 0.6 {
			load *= 4
		}
		return load
	}
	for name, s := range map[string]simulation{
		"less load":                     {slow: good, load: usualLoad},
		"equal load":                    {slow: good, load: func(random *rand.Rand, _ bool, part float64) int { return usualLoad(random, false, part) }},
		"a burst":                       {slow: good, load: burst},
		"plain service":                 {slow: good, load: usualLoad, plain: true},
		"plain service in another zone": {slow: good, load: usualLoad, plain: true, far: 4 * time.Millisecond},
		"endpoints that have started":   {slow: good, load: usualLoad, cold: 60},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const trials = 100
			wrong := 0
			for seed := range uint64(trials) {
				if _, found := s.run(seed); found {
					wrong++
				}
			}
			assert.Assert(t, wrong <= trials*2/100, "%d of %d good versions rolled back", wrong, trials)
		})
	}
}
