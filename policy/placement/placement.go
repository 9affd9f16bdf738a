package placement

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Candidate is an endpoint that may run the request.
type Candidate struct {
	ID      platform.EndpointID
	Zone    platform.Zone
	Address string
	Slots   int
	// Running and Queued are the endpoint's last report, ReportAge old.
	Running   int
	Queued    int
	ReportAge time.Duration
	// Sent counts this instance's dispatches since that report, and PeerSent
	// those of peers.
	Sent     int
	PeerSent int
	// InFlight counts this instance's dispatches that have not ended.
	InFlight int
	// Ended counts this instance's dispatches that ended since the report.
	Ended int
	// PeerInFlight sums the peers' counts of dispatches in flight. PeerAge is
	// the mean age of the counts, or [NoReportAge] if there is no recent one.
	PeerInFlight int
	PeerAge      time.Duration
	// PrefixTokens estimates how many tokens of the prompt the endpoint holds
	// in its prefix cache.
	PrefixTokens int
	// FirstTokenMillis is the moving average of the time to the first token, in
	// milliseconds, or 0 if there is no recent one.
	FirstTokenMillis float64
	// FailureRate is the moving average of the share of failed dispatches, in
	// [0, 1].
	FailureRate float64
}

// Request holds the properties of a request that placement uses.
type Request struct {
	Ref          document.Ref
	Zone         platform.Zone
	PromptTokens int
	// Avoid lists endpoints that must not run the request.
	Avoid []platform.EndpointID
}

// Filter drops candidates that must not or should not run the request.
type Filter interface {
	// Filter returns the remaining candidates. It must not modify its input.
	Filter(request Request, candidates []Candidate) []Candidate
}

// Scorer scores candidates.
type Scorer interface {
	// Score returns one cost per candidate, in milliseconds of expected wait
	// and work; lower is better.
	Score(request Request, candidates []Candidate) []float64
}

// Random is the source of random numbers in [0, n).
type Random interface {
	IntN(n int) int
}

// Picker chooses one of the candidates by their summed scores.
type Picker interface {
	// Pick returns the index of the chosen candidate; candidates is not empty.
	Pick(random Random, candidates []Candidate, scores []float64) int
}
