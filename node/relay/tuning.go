package relay

import "time"

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
