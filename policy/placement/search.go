package placement

import (
	"cmp"
	"slices"
)

// Search picks the endpoint of one request by asking the instances that own
// the likeliest endpoints for their load as it is. It asks for one endpoint
// after the other, until one has a free slot or the asks are used up.
//
//	for {
//		candidate, ask := search.Next()
//		if !ask {
//			return candidate // dispatch here
//		}
//		running, queued, err := askOwner(candidate.ID)
//		if err != nil {
//			search.Unanswered(candidate)
//			continue
//		}
//		search.Answer(candidate, running, queued)
//	}
//
// A Search serves one request and one goroutine.
type Search struct {
	scheduler *Scheduler
	random    Random
	request   Request
	open      []Candidate
	answered  []Candidate
	asksLeft  int
	free      bool
}

// Search begins the search for the endpoint of a request with at most the
// given number of asks; with none, it is a Pick. The error is [ErrNoCandidate].
func (s *Scheduler) Search(random Random, request Request, candidates []Candidate, asks int) (*Search, error) {
	candidates = s.filter(request, candidates)
	if len(candidates) == 0 {
		return nil, ErrNoCandidate
	}
	return &Search{
		scheduler: s,
		random:    random,
		request:   request,
		open:      slices.Clone(candidates),
		asksLeft:  asks,
	}, nil
}

// Next returns the candidate to ask for next, or, if ask is false, the one that
// runs the request.
func (s *Search) Next() (candidate Candidate, ask bool) {
	if s.free {
		return s.answered[len(s.answered)-1], false
	}
	if s.asksLeft <= 0 || len(s.open) == 0 {
		return s.best(), false
	}
	s.asksLeft--
	if warm, ok := s.warmest(); ok {
		return warm, true
	}
	return s.choose(s.open), true
}

// warmest returns the open candidate that saves the most prefill, if it saves
// enough to be asked whatever its load is believed to be.
func (s *Search) warmest() (Candidate, bool) {
	best := slices.MaxFunc(s.open, func(a, b Candidate) int {
		return cmp.Compare(a.PrefixTokens, b.PrefixTokens)
	})
	saved := float64(best.PrefixTokens)
	return best, saved > 0 && saved >= warmShare*float64(s.request.PromptTokens)
}

// warmShare is the share of the prompt from which on a cached prefix is worth
// asking for.
const warmShare = 0.25

// Answer takes the load of an endpoint as it is.
func (s *Search) Answer(candidate Candidate, running, queued int) {
	s.remove(candidate)
	candidate.Running = running
	candidate.Queued = queued
	candidate.ReportAge = 0
	candidate.InFlight, candidate.Sent, candidate.Ended = 0, 0, 0
	candidate.PeerSent, candidate.PeerInFlight, candidate.PeerAge = 0, 0, NoReportAge
	s.answered = append(s.answered, candidate)
	s.free = running+queued < candidate.slots()
}

// Unanswered notes that the owner of an endpoint did not answer. What was
// believed of the endpoint stays.
func (s *Search) Unanswered(candidate Candidate) {
	s.remove(candidate)
	s.answered = append(s.answered, candidate)
}

func (s *Search) best() Candidate {
	if len(s.answered) == 0 {
		return s.open[s.scheduler.pick(s.random, s.request, s.open)]
	}
	return s.choose(s.answered)
}

func (s *Search) choose(candidates []Candidate) Candidate {
	scores := s.scheduler.sum(s.request, candidates)
	return candidates[LeastScore{}.Pick(s.random, candidates, scores)]
}

func (s *Search) remove(candidate Candidate) {
	s.open = slices.DeleteFunc(s.open, func(other Candidate) bool { return other.ID == candidate.ID })
}
