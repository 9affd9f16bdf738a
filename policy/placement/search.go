package placement

import (
	"cmp"
	"slices"
)

// Search picks the endpoint of one request by asking the owners of the best
// endpoints for their current load. It asks the owner of one endpoint at a time,
// until an endpoint has a free slot or the limit on queries is reached.
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
// A Search is for one request and is not safe for concurrent use.
type Search struct {
	scheduler     *Scheduler
	random        Random
	request       Request
	unasked       []Candidate
	asked         []Candidate
	asksRemaining int
	foundFreeSlot bool
}

// Search starts the search for the endpoint of a request. The argument asks
// bounds the number of queries to owners; with 0, the search is equivalent to
// [Scheduler.Pick]. The error is [ErrNoCandidate].
func (s *Scheduler) Search(random Random, request Request, candidates []Candidate, asks int) (*Search, error) {
	candidates = s.filter(request, candidates)
	if len(candidates) == 0 {
		return nil, ErrNoCandidate
	}
	return &Search{
		scheduler:     s,
		random:        random,
		request:       request,
		unasked:       slices.Clone(candidates),
		asksRemaining: asks,
	}, nil
}

// Next returns the next candidate, whose owner the caller should ask, or, if ask
// is false, the candidate that runs the request.
func (s *Search) Next() (candidate Candidate, ask bool) {
	if s.foundFreeSlot {
		return s.asked[len(s.asked)-1], false
	}
	if s.asksRemaining <= 0 || len(s.unasked) == 0 {
		return s.bestCandidate(), false
	}
	s.asksRemaining--
	if warm, ok := s.warmestCandidate(); ok {
		return warm, true
	}
	return s.lowestScore(s.unasked), true
}

// warmestCandidate returns the unasked candidate that saves the most prefill,
// and whether it saves enough to be asked regardless of its estimated load.
func (s *Search) warmestCandidate() (Candidate, bool) {
	best := slices.MaxFunc(s.unasked, func(a, b Candidate) int {
		return cmp.Compare(a.PrefixTokens, b.PrefixTokens)
	})
	saved := float64(best.PrefixTokens)
	return best, saved > 0 && saved >= minWarmShare*float64(s.request.PromptTokens)
}

// minWarmShare is the minimum share of the prompt in a cached prefix for which
// the owner is asked regardless of the load.
const minWarmShare = 0.25

// Answer records the current load of an endpoint, as its owner reported it.
func (s *Search) Answer(candidate Candidate, running, queued int) {
	s.remove(candidate)
	candidate.Running = running
	candidate.Queued = queued
	candidate.ReportAge = 0
	candidate.InFlight, candidate.Sent, candidate.Ended = 0, 0, 0
	candidate.PeerSent, candidate.PeerInFlight, candidate.PeerAge = 0, 0, NoReportAge
	s.asked = append(s.asked, candidate)
	s.foundFreeSlot = running+queued < candidate.slots()
}

// Unanswered records that the owner of an endpoint did not answer. The
// endpoint's previous load estimate is kept.
func (s *Search) Unanswered(candidate Candidate) {
	s.remove(candidate)
	s.asked = append(s.asked, candidate)
}

func (s *Search) bestCandidate() Candidate {
	if len(s.asked) == 0 {
		return s.unasked[s.scheduler.pick(s.random, s.request, s.unasked)]
	}
	return s.lowestScore(s.asked)
}

func (s *Search) lowestScore(candidates []Candidate) Candidate {
	scores := s.scheduler.sum(s.request, candidates)
	return candidates[LeastScore{}.Pick(s.random, candidates, scores)]
}

func (s *Search) remove(candidate Candidate) {
	s.unasked = slices.DeleteFunc(s.unasked, func(other Candidate) bool { return other.ID == candidate.ID })
}
