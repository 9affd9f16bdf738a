package relay

import "time"

// Tuning holds the bounds that the core path works with.
type Tuning struct {
	// ConfigMaxAge is the greatest age at which a table may still permit a
	// request that needs a key; 0 means any.
	ConfigMaxAge time.Duration
	// Dial bounds the time to connect to an endpoint.
	Dial time.Duration
	// AcceptConfidence is the least confidence, in [0, 1], at which an answer
	// of a model that is not the largest is passed on, by the rank of the
	// request from 0, the most urgent. The last holds for all further ranks.
	AcceptConfidence []float64
}

func (t *Tuning) accept(rank int) float64 {
	if len(t.AcceptConfidence) == 0 {
		return 0
	}
	return t.AcceptConfidence[min(max(0, rank), len(t.AcceptConfidence)-1)]
}

const (
	// leastPatience is the least time that a silent endpoint gets.
	leastPatience = 400 * time.Millisecond
	// defaultRetryAfter is when to come back if nothing better is known.
	defaultRetryAfter = 500 * time.Millisecond
	// returnPart is the part of its time left after which a client returns at
	// the latest: one that is told to wait longer than a third does not.
	returnPart = 4
	// leastRetryAfter is the least time to come back.
	leastRetryAfter = 50 * time.Millisecond
	// leastLeft is the time left below which no attempt is worth starting.
	leastLeft = 20 * time.Millisecond
	// escalationReserve is the part of the retry budget, in retries, that is
	// left for requests under way.
	escalationReserve = 1
	// maxArrivals bounds the endpoints that one request may arrive at,
	// refusals included.
	maxArrivals = 6
	// leastPaceEvents is the number of events from which on a stream's pace is
	// told.
	leastPaceEvents = 5
	// maxAnswerBytes bounds an answer that is not a stream, which is kept until
	// it is whole.
	maxAnswerBytes = 8 << 20
)
