package caller

import (
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Estimates for versions that have not answered yet.
const (
	defaultFirstToken = 300 * time.Millisecond
	defaultPerToken   = 30 * time.Millisecond
	// speedWeight is the weight of a new answer in the moving averages.
	speedWeight = 0.1
)

// speed holds the moving averages of one version's time to the first token and
// time per token.
type speed struct {
	firstToken time.Duration
	perToken   time.Duration
}

// speeds holds the speed of each version as measured by this instance.
type speeds struct {
	mu    sync.Mutex
	byRef map[document.Ref]speed
}

func newSpeeds() *speeds { return &speeds{byRef: map[document.Ref]speed{}} }

// estimate returns the speed of a version.
func (s *speeds) estimate(ref document.Ref) speed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.byRef[ref]; ok {
		return known
	}
	return speed{firstToken: defaultFirstToken, perToken: defaultPerToken}
}

// record adds a complete answer to the averages of a version.
func (s *speeds) record(ref document.Ref, firstToken, took time.Duration, tokens int) {
	perToken := (took - firstToken) / time.Duration(max(1, tokens))
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.byRef[ref]
	if !ok {
		known = speed{firstToken: firstToken, perToken: perToken}
	}
	known.firstToken = smooth(known.firstToken, firstToken)
	known.perToken = smooth(known.perToken, perToken)
	s.byRef[ref] = known
}

func smooth(previous, sample time.Duration) time.Duration {
	return previous + time.Duration(speedWeight*float64(sample-previous))
}
