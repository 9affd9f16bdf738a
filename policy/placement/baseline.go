package placement

import "sync/atomic"

// RandomPick picks a candidate uniformly at random. It is a baseline.
type RandomPick struct{}

// Pick implements [Picker].
func (RandomPick) Pick(random Random, candidates []Candidate, _ []float64) int {
	return random.IntN(len(candidates))
}

// RoundRobin picks the candidates in turn. It is a baseline.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements [Picker].
func (p *RoundRobin) Pick(_ Random, candidates []Candidate, _ []float64) int {
	turn := p.next.Add(1) - 1
	return int(turn % uint64(len(candidates)))
}

// ReportedLoad scores candidates only by the requests per slot in their last
// report. It is a baseline.
type ReportedLoad struct{}

// Score implements [Scorer].
func (ReportedLoad) Score(_ Request, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	for i, candidate := range candidates {
		scores[i] = float64(candidate.Running+candidate.Queued) / float64(candidate.slots())
	}
	return scores
}

// RandomBaseline returns the steps of the random baseline.
func RandomBaseline() Config {
	return Config{Filters: []Filter{NotAvoided{}}, Picker: RandomPick{}}
}

// RoundRobinBaseline returns the steps of the round-robin baseline.
func RoundRobinBaseline() Config {
	return Config{Filters: []Filter{NotAvoided{}}, Picker: &RoundRobin{}}
}

// LeastReportedBaseline returns the steps of the baseline that picks the lowest
// reported load.
func LeastReportedBaseline() Config {
	return Config{Filters: []Filter{NotAvoided{}}, Scorers: []Scorer{ReportedLoad{}}, Picker: LeastScore{}}
}
