package admission

import (
	"time"
)

const (
	// minEpoch and maxEpoch bound the time for which the draw of a request stays the same, and
	// epochsOfTimeout is how many there are in the time that the route grants it. There are thus
	// about four in the longest Retry-After.
	minEpoch        = 100 * time.Millisecond
	maxEpoch        = time.Second
	epochsOfTimeout = 16
	// retryAfterDivisor bounds Retry-After to 1/4 of the client's remaining time: a client that is
	// told to wait longer than a third of it does not retry.
	retryAfterDivisor = 4
	// minFleetRetryAfter is the shortest Retry-After.
	minFleetRetryAfter = 50 * time.Millisecond
	// bookedPart is the part of the admitted fraction that may be booked for clients that return.
	// With all of it, newcomers were hardly served at once any more.
	bookedPart = 0.5
	// earlySlack is how much earlier than told a client may return: Retry-After has two decimals.
	earlySlack = 10 * time.Millisecond
	// placeSlack is how much later than the end of its epoch it may return.
	placeSlack = 250 * time.Millisecond
	// maxEarly is how often a client is expected to return before its time: the clients that retry
	// at once do so three times over.
	maxEarly = 3
	// maxPlaces bounds the requests whose return is remembered.
	maxPlaces = 4096
)

// place is what is remembered of a refused request until it returns.
type place struct {
	due, until time.Time
	// booked reports that the request is admitted when it returns.
	booked bool
	reason Reason
	// early counts the returns before the time.
	early int
}

func (p place) isEarly(now time.Time) bool { return now.Before(p.due.Add(-earlySlack)) }

// places holds those of this instance, by the key of the request. Another instance that the request
// returns to admits it too, because it makes the same draw.
type places struct {
	byKey   map[uint64]place
	sweptAt time.Time
}

func newPlaces() places { return places{byKey: make(map[uint64]place)} }

func (p *places) find(now time.Time, key uint64) (place, bool) {
	found, ok := p.byKey[key]
	if !ok || now.After(found.until) {
		return place{}, false
	}
	return found, true
}

// countEarly counts an early return. It reports false if there were more than one client makes: then
// others send the same request.
func (p *places) countEarly(key uint64) bool {
	held := p.byKey[key]
	held.early++
	p.byKey[key] = held
	return held.early <= maxEarly
}

func (p *places) remove(key uint64) { delete(p.byKey, key) }

func (p *places) add(now time.Time, key uint64, added place) {
	if now.Sub(p.sweptAt) >= time.Second {
		p.sweptAt = now
		for known, place := range p.byKey {
			if now.After(place.until) {
				delete(p.byKey, known)
			}
		}
	}
	if _, known := p.byKey[key]; known || len(p.byKey) < maxPlaces {
		p.byKey[key] = added
	}
}

func epochOf(request FleetRequest) time.Duration {
	return min(maxEpoch, max(minEpoch, request.Timeout/epochsOfTimeout))
}

// epochNumber returns the number of the request's epoch and the time until its end. The epochs of
// different requests begin at different times, so that their returns do not bunch.
func epochNumber(now time.Time, request FleetRequest) (int64, time.Duration) {
	epoch := int64(epochOf(request))
	phase := int64(mix(request.Key) % uint64(epoch))
	shifted := now.UnixNano() + phase
	return shifted / epoch, time.Duration(epoch - shifted%epoch)
}

// draw returns a number in [0, 1) that all instances compute alike from the request and its epoch,
// the given number of epochs from now. A client that retries within the epoch, at whatever
// instance, gets the same decision.
func draw(now time.Time, request FleetRequest, ahead int64) float64 {
	number, _ := epochNumber(now, request)
	return float64(mix(request.Key^mix(uint64(number+ahead)))>>11) / (1 << 53)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// maxRetryAfter returns the longest Retry-After that the client obeys.
func maxRetryAfter(request FleetRequest) time.Duration {
	remaining := request.Remaining
	if remaining <= 0 {
		remaining = request.Timeout
	}
	return max(minFleetRetryAfter, remaining/retryAfterDivisor)
}

// book returns when a refused request should return: in the first of its epochs in which it will be
// admitted, or at a random time if there is none before the client gives up.
func book(now time.Time, request FleetRequest, fraction float64) (retryAfter time.Duration, booked bool) {
	longest := maxRetryAfter(request)
	epoch := epochOf(request)
	_, untilNext := epochNumber(now, request)
	spread := time.Duration(float64(epoch/2) * draw(now, request, 0))
	for ahead := int64(1); ; ahead++ {
		begin := untilNext + time.Duration(ahead-1)*epoch
		if begin+epoch/8 > longest {
			break
		}
		if begin >= minFleetRetryAfter && draw(now, request, ahead) < bookedPart*fraction {
			return min(longest, begin+spread), true
		}
	}
	share := 0.5 + 0.5*draw(now, request, -1)
	return max(minFleetRetryAfter, scale(longest, share)), false
}
