package relay

import "time"

const (
	// minPatience is the shortest silence after which an endpoint that can be
	// reached is given up, and the time limit for reading the body of a failure.
	minPatience = 400 * time.Millisecond
	// defaultRetryAfter is the base of the retry delay sent to refused clients.
	defaultRetryAfter = 500 * time.Millisecond
	// retryAfterDivisor limits the retry delay to 1/4 of the client's remaining time:
	// a client that is told to wait longer than a third of that time does not retry.
	retryAfterDivisor = 4
	// minRetryAfter is the shortest retry delay.
	minRetryAfter = 50 * time.Millisecond
	// minRemaining is the remaining time below which no attempt is started.
	minRemaining = 20 * time.Millisecond
	// escalationReserve is the number of retries in the budget that new requests
	// leave to requests in progress.
	escalationReserve = 1
	// maxTries bounds the calls of one request that reach an endpoint, including
	// those that the endpoint rejects. It also bounds the calls that could not be sent,
	// counted separately, if no untried endpoint is usable and the request does not wait
	// for one.
	maxTries = 6
	// maxUnsent bounds the calls of one request that could not be sent, so that an
	// outage of many endpoints causes no storm of connection attempts.
	maxUnsent = 50
	// maxBrittleRejections bounds the brittle endpoints that may reject one request whose answer
	// has not begun.
	maxBrittleRejections = 2
	// minPaceEvents is the least number of events for which a stream's pace is
	// computed.
	minPaceEvents = 5
	// maxBufferedBytes bounds how much of an answer that is not a stream is buffered
	// until it is complete.
	maxBufferedBytes = 2 << 20
	// maxEventBytes bounds an event of a stream, and maxUnmeasuredBytes an answer that is
	// not a stream and has no length: an endpoint in trouble may send bytes without end.
	maxEventBytes      = 1 << 20
	maxUnmeasuredBytes = 16 << 20
)
