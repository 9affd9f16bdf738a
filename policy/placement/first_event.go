package placement

import "time"

// Work is the work until the first event of a request, at the usual pace.
type Work struct {
	// Start is the time to the first event at an endpoint that has free slots and holds the shared
	// parts of the prompt. Shared is the further time to read these parts where they are not held.
	Start, Shared time.Duration
}

// Situation is what is known of an endpoint when a request is about to be sent there.
type Situation struct {
	Slots int
	// Requests is the expected number of requests that run or wait there, without this one.
	Requests float64
	// Reading is the time until the prompts that it is known to read have been read.
	Reading time.Duration
	// Holds reports that it holds the shared parts of the request's prompt.
	Holds bool
	// Pace is what is known of its pace, and PoolPace the mean pace of all endpoints.
	Pace     *Pace
	PoolPace float64
}

// Use returns the part of the slots that is expected to be in use, above 1 if requests wait.
func (s *Situation) Use() float64 { return s.Requests / float64(max(1, s.Slots)) }

// ExpectFirstEvent estimates the time until an endpoint sends the first event of a request. duration is
// the usual duration of a request, at the usual pace and without delay, by which the delays of the curve
// are multiplied.
func ExpectFirstEvent(now time.Time, work Work, at *Situation, curve *Curve, duration time.Duration) time.Duration {
	delay := time.Duration(curve.Delay(at.Use()) * float64(duration))
	start := work.Start
	if !at.Holds {
		start += work.Shared
	}
	return scale(delay+start, at.Pace.Over(now, delay+start, at.PoolPace)) + at.Reading
}

func scale(d time.Duration, factor float64) time.Duration {
	// The bound keeps absurd figures of a peer from overflowing.
	return time.Duration(min(float64(time.Hour), float64(d)*factor))
}
