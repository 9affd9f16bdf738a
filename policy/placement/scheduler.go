package placement

import (
	"github.com/rotisserie/eris"
)

// ErrNoCandidate reports a request that no candidate may run.
var ErrNoCandidate = eris.New("placement: no candidate may run the request")

// Config lists the steps of a [Scheduler].
type Config struct {
	// Filters run in order, each on the output of the previous one.
	Filters []Filter
	// Scorers return the scores that are summed per candidate.
	Scorers []Scorer
	// Picker chooses by the sums. It defaults to [LeastScore].
	Picker Picker
}

// Scheduler runs the configured filters, scorers and picker. It has no state
// of its own, so goroutines may share it if each uses its own Random.
type Scheduler struct {
	filters []Filter
	scorers []Scorer
	picker  Picker
}

// New returns a scheduler with the configured steps.
func New(cfg Config) *Scheduler {
	picker := cfg.Picker
	if picker == nil {
		picker = LeastScore{}
	}
	return &Scheduler{filters: cfg.Filters, scorers: cfg.Scorers, picker: picker}
}

// Pick chooses the candidate that runs the request. The error is
// [ErrNoCandidate].
func (s *Scheduler) Pick(random Random, request Request, candidates []Candidate) (Candidate, error) {
	candidates = s.filter(request, candidates)
	if len(candidates) == 0 {
		return Candidate{}, ErrNoCandidate
	}
	return candidates[s.pick(random, request, candidates)], nil
}

func (s *Scheduler) pick(random Random, request Request, candidates []Candidate) int {
	return s.picker.Pick(random, candidates, s.sum(request, candidates))
}

func (s *Scheduler) filter(request Request, candidates []Candidate) []Candidate {
	for _, filter := range s.filters {
		candidates = filter.Filter(request, candidates)
	}
	return candidates
}

func (s *Scheduler) sum(request Request, candidates []Candidate) []float64 {
	sums := make([]float64, len(candidates))
	for _, scorer := range s.scorers {
		for i, score := range scorer.Score(request, candidates) {
			sums[i] += score
		}
	}
	return sums
}
