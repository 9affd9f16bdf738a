package rollout

import "math"

// The alternative hypotheses of the test are all pairs of an incumbent's
// failure rate and an excess of the candidate's rate over it.
var (
	incumbentRates = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.25}
	excessRates    = []float64{0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.6}

	levelRates       = []float64{0.03, 0.1, 0.2, 0.35, 0.5, 0.65}
	levelExcessRates = []float64{0.15, 0.3, 0.48}
)

// answersPerRestart is the number of the candidate's answers after which the
// test adds a further component that starts there, so that it also detects a
// candidate that becomes worse later.
const answersPerRestart = 50

// SequentialTest is an e-process against the hypothesis that the candidate fails
// no more often than the incumbent. While the hypothesis holds, the probability
// that [SequentialTest.LogEValue] ever exceeds ln(1/a) is at most a, however often it
// is evaluated.
//
// For one block of n_c answers of the candidate and n_i of the incumbent, and
// for one alternative (q_c, q_i), the factor is the likelihood of the answers
// under the alternative, divided by their likelihood under the common rate
// (n_c q_c + n_i q_i)/(n_c + n_i). Its expectation is at most 1 for all true
// rates, if the candidate's is not above the incumbent's in that block.
// Products over blocks and mixtures over alternatives keep that property. So
// do components added at a later block, because the initial weights of all
// components sum to at most 1.
//
// A SequentialTest is not safe for concurrent use. The zero value is not ready;
// see [NewSequentialTest].
type SequentialTest struct {
	alternatives []alternative
	// logWealth holds, for each alternative, the logarithm of the weighted sum
	// of the components. A component is the product of the factors of all
	// blocks since it was added.
	logWealth []float64
	answers   int
	restarts  int
}

type alternative struct{ incumbent, candidate float64 }

// NewSequentialTest returns a test of failures, which are rare, without observations.
func NewSequentialTest() *SequentialTest { return newTest(incumbentRates, excessRates) }

// NewLevelTest returns a test without observations of how often a quantity exceeds a level,
// which it may do in any part of the answers.
func NewLevelTest() *SequentialTest { return newTest(levelRates, levelExcessRates) }

func newTest(incumbentRates, excessRates []float64) *SequentialTest {
	t := &SequentialTest{}
	for _, rate := range incumbentRates {
		for _, excess := range excessRates {
			if candidate := rate + excess; candidate < 1 {
				t.alternatives = append(t.alternatives, alternative{incumbent: rate, candidate: candidate})
			}
		}
	}
	t.logWealth = make([]float64, len(t.alternatives))
	for i := range t.logWealth {
		t.logWealth[i] = math.Log(0.5 / float64(len(t.alternatives)))
	}
	return t
}

// Observe adds one block of new answers. A block without answers of one of the
// versions is ignored.
func (t *SequentialTest) Observe(block Evidence) {
	if block.Candidate() == 0 || block.Incumbent() == 0 {
		return
	}
	t.answers += block.Candidate()
	for i, alternative := range t.alternatives {
		t.logWealth[i] += alternative.logFactor(block)
	}
	for t.answers >= (t.restarts+1)*answersPerRestart {
		t.restart()
	}
}

// LogEValue returns the natural logarithm of the e-value against the candidate.
func (t *SequentialTest) LogEValue() float64 {
	sum := math.Inf(-1)
	for _, wealth := range t.logWealth {
		sum = logAdd(sum, wealth)
	}
	return sum
}

// restart adds a component of initial weight 1/(2k(k+1)) at the k-th restart.
// The weights of all restarts sum to less than one half.
func (t *SequentialTest) restart() {
	t.restarts++
	k := float64(t.restarts)
	logWeight := math.Log(0.5 / (k * (k + 1)) / float64(len(t.alternatives)))
	for i := range t.logWealth {
		t.logWealth[i] = logAdd(t.logWealth[i], logWeight)
	}
}

func (a alternative) logFactor(block Evidence) float64 {
	candidates, incumbents := float64(block.Candidate()), float64(block.Incumbent())
	common := (candidates*a.candidate + incumbents*a.incumbent) / (candidates + incumbents)
	return logLikelihood(block.CandidateBad, block.CandidateGood, a.candidate) +
		logLikelihood(block.IncumbentBad, block.IncumbentGood, a.incumbent) -
		logLikelihood(block.CandidateBad+block.IncumbentBad, block.CandidateGood+block.IncumbentGood, common)
}

func logLikelihood(bad, good int, rate float64) float64 {
	return float64(bad)*math.Log(rate) + float64(good)*math.Log1p(-rate)
}

func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// probabilityAbove returns the posterior probability that the candidate's
// failure rate exceeds the incumbent's by more than the margin. It uses a
// normal approximation of Beta posteriors with the prior Beta(1/2, 1/2).
func (e Evidence) probabilityAbove(margin float64) float64 {
	candidateMean, candidateVariance := betaMoments(e.CandidateBad, e.CandidateGood)
	incumbentMean, incumbentVariance := betaMoments(e.IncumbentBad, e.IncumbentGood)
	deviation := math.Sqrt(candidateVariance + incumbentVariance)
	z := (margin - (candidateMean - incumbentMean)) / deviation
	return 0.5 * math.Erfc(z/math.Sqrt2)
}

func betaMoments(bad, good int) (mean, variance float64) {
	a, b := float64(bad)+0.5, float64(good)+0.5
	n := a + b
	mean = a / n
	return mean, mean * (1 - mean) / (n + 1)
}
