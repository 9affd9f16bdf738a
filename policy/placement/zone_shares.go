package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// maxZoneUse is the part of its slots up to which a zone takes requests of other zones. The rest is
	// for the noise of its own demand: with 12 slots an endpoint, requests wait above it.
	maxZoneUse = 1.0
	// minZoneUse is the part of its slots that a zone always uses itself, however small the price.
	minZoneUse = 0.5
	// maxShareRate bounds the change of the share of all other zones together, per second. It exceeds
	// the steepest change of demand in the waves to serve, 0.55 of the mean in 17 s: 0.2 per second.
	maxShareRate = 0.5
	// A share that has moved one way moves the other way only if its target is further away than
	// reverseBand, and than the demand is wrong by chance, up to maxReverseBand: with 0.15, shares came
	// too late for waves. Differences below stepBand are not followed at all.
	stepBand       = 0.01
	reverseBand    = 0.06
	maxReverseBand = 0.08
	// A zone begins to send requests out when its demand exceeds what it keeps by startBand of its
	// slots, and goes on until it is below.
	startBand = 0.04
	// demandMemory is the time over which the demand is measured.
	demandMemory = 1200 * time.Millisecond
	// maxLoadCorrection bounds the part of the slots by which the load corrects the demand.
	maxLoadCorrection = 0.4
	// What another zone has told counts in full until freshFor, and not at all after staleAfter: the
	// digests between zones bring news about each second.
	freshFor   = 2500 * time.Millisecond
	staleAfter = 6 * time.Second
	// The correction is the part of the zone's demand that leaves because first events outside are
	// measured to be earlier, though the demand does not tell why. It changes by correctionRate per
	// second and is at most maxCorrection. A gain counts if it exceeds the price by correctionMargin of
	// the time inside: estimates of one endpoint are wrong by about a quarter.
	correctionRate   = 0.05
	maxCorrection    = 0.5
	correctionMargin = 0.5
)

// ZoneState is what an instance knows of the endpoints of a service in one zone.
type ZoneState struct {
	Zone platform.Zone
	// Slots is the number of slots of the endpoints that can be used.
	Slots float64
	// Demand is the number of slots that the requests of the zone's own clients will use, wherever they
	// run, if they arrive at the present rate. Load is the number of requests that run or wait at the
	// endpoints of the zone, from whichever zone.
	Demand, Load float64
	// LoadLasts is the part of the load that still holds when it is known, in [0, 1]: calls of 50 ms have
	// ended before.
	LoadLasts float64
	// FirstEvent is the expected time to the first event of a typical request at the better half of
	// the endpoints; 0 if unknown.
	FirstEvent time.Duration
	// Wanted is the number of requests that the zone wants to have at endpoints of other zones. It is
	// not an input for the own zone.
	Wanted float64
	// Usable reports that requests may be sent to the zone.
	Usable bool
	// Age is that of the figures above.
	Age time.Duration
}

// RequestProfile describes the requests of a service.
type RequestProfile struct {
	// Duration is the mean time that a request takes at an endpoint.
	Duration time.Duration
	// Slots is the mean number of slots of an endpoint.
	Slots float64
	// KB is the mean number of bytes that a request moves, in thousands.
	KB float64
}

// ZonePrice is what a request must gain to leave its zone: Delay, the additional round trip, and PerKB
// for each thousand bytes that it moves.
type ZonePrice struct {
	Delay, PerKB time.Duration
}

// Of returns the price for a request that moves the given bytes, in thousands.
func (p ZonePrice) Of(kb float64) time.Duration {
	return p.Delay + time.Duration(max(0, kb)*float64(p.PerKB))
}

// ZoneShares decides which share of the requests of a zone's clients runs in each other zone. It addresses
// services whose endpoints are spread over zones and whose demand is not: a zone with more demand than it
// can serve in time, while others have room.
//
// Shares follow from demand and slots, which a request's placement does not change, rather than from
// queues: queues react seconds later, and shares that follow them swing. Instances of a zone know much the
// same figures and compute much the same shares; a hash of the request decides which ones leave. The room
// of a zone is divided by what each zone wants, so that all zones together send no more than the room. The
// zero value keeps all requests in the zone. It is not safe for concurrent use.
type ZoneShares struct {
	updated time.Time
	shares  []ZoneShare
	// leaving reports that the demand exceeds what the zone keeps.
	leaving    bool
	correction float64
	wanted     float64
	price      ZonePrice
}

// ZoneShare is the share of the requests that runs in another zone.
type ZoneShare struct {
	Zone platform.Zone
	// Share moves smoothly to Target. Spare is the share that the zone can take at once, if all zones
	// send as much.
	Share, Target, Spare float64
	// Gain is the time that a request is expected to gain by leaving while all others stay.
	Gain time.Duration
	// turns counts the changes of the direction in which Share moves, and rising is the last one.
	turns  int
	rising bool
}

// Shares returns the shares of all known zones.
func (s *ZoneShares) Shares() []ZoneShare { return slices.Clone(s.shares) }

// Wanted returns the number of requests that the zone wants to have at endpoints of other zones.
func (s *ZoneShares) Wanted() float64 { return s.wanted }

// Turns returns how often a share has changed its direction.
func (s *ZoneShares) Turns() int {
	turns := 0
	for _, share := range s.shares {
		turns += share.turns
	}
	return turns
}

// Total returns the share of the requests that leave the zone.
func (s *ZoneShares) Total() float64 {
	total := 0.0
	for _, share := range s.shares {
		total += share.Share
	}
	return total
}

// queueing returns the mean wait for a slot at endpoints of which the given part is in use, by the
// approximation of Sakasegawa for one endpoint. Above nearly all slots, the queue lasts as long as the
// excess takes to run.
func (p RequestProfile) queueing(use float64) time.Duration {
	const full = 0.98
	slots := max(1, p.Slots)
	below := min(full, max(0, use))
	wait := math.Pow(below, math.Sqrt(2*(slots+1))) / (slots * (1 - below))
	return time.Duration(min(100, wait+max(0, use-full)) * float64(p.Duration))
}

// kept returns the part of its slots that a zone uses before leaving it pays.
func (p RequestProfile) kept(price time.Duration) float64 {
	low, high := minZoneUse, maxZoneUse
	for range 20 {
		middle := (low + high) / 2
		if p.queueing(middle) < price {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Update decides anew, about every 200 ms. others holds all other zones that are known; one that is
// missing gets no requests any more.
func (s *ZoneShares) Update(now time.Time, own ZoneState, others []ZoneState, profile RequestProfile, price ZonePrice) {
	elapsed := min(1, max(0, now.Sub(s.updated).Seconds()))
	s.updated, s.price = now, price
	own = own.sane()
	level := s.level(own, others, profile)
	s.correct(elapsed, own, others, profile)
	s.wanted = s.want(own, level)
	grants := grant(s.wanted, others, level)
	demand := own.Demand
	for _, other := range others {
		demand += other.sane().Demand
	}
	previous := s.shares
	s.shares = make([]ZoneShare, 0, len(others))
	for i, other := range others {
		share := ZoneShare{Zone: other.Zone}
		if at := slices.IndexFunc(previous, func(p ZoneShare) bool { return p.Zone == other.Zone }); at >= 0 {
			share = previous[at]
		}
		share.Target, share.Spare = 0, min(1, other.room(math.Inf(1))/max(1, demand))
		if own.Demand > 0 {
			share.Target = min(1, grants[i]/own.Demand)
		}
		share.Gain = profile.queueing(use(own)) - profile.queueing(use(other.sane()))
		if own.FirstEvent > 0 && other.FirstEvent > 0 {
			share.Gain = max(share.Gain, own.FirstEvent-other.FirstEvent)
		}
		if !other.takesRequests() {
			share.Share, share.Target, share.Spare = 0, 0, 0 // at once, without a bound
		}
		s.shares = append(s.shares, share)
	}
	slices.SortFunc(s.shares, func(a, b ZoneShare) int { return cmp.Compare(a.Zone, b.Zone) })
	s.move(elapsed, max(reverseBand, min(maxReverseBand, own.noise(profile))))
}

// sane returns the state without impossible figures, which a peer may have told.
func (z ZoneState) sane() ZoneState {
	const most = 1e6
	for _, figure := range []*float64{&z.Slots, &z.Demand, &z.Load, &z.Wanted} {
		if !(*figure >= 0 && *figure <= most) {
			*figure, z.Usable = 0, false
		}
	}
	return z
}

func (z ZoneState) takesRequests() bool {
	z = z.sane()
	return z.Usable && z.Slots > 0 && z.Age < staleAfter
}

// even returns the slots by which the demand is divided: the smaller a zone is, the more of its slots are
// needed for the variation of its load, which is about the square root of it.
func (z ZoneState) even() float64 { return z.Slots - math.Sqrt(z.Slots) }

func use(z ZoneState) float64 { return max(z.Demand, z.Load) / max(1, z.Slots) }

// demand returns the number of slots that the requests of the zone's clients should use for its load to
// reach the level within about the duration of a request: a zone that has more load than that still has to
// work it off, also that of other zones.
func (z ZoneState) demand(level float64) float64 {
	most := maxLoadCorrection * z.Slots
	lasting := max(0, min(1, z.LoadLasts))
	return max(0, z.Demand+lasting*max(-most, min(most, z.Load-level*z.even())))
}

// level returns the part of [ZoneState.even] that each zone uses if the demand is divided as well as the price
// allows: what a zone keeps or, with more demand, the same part everywhere.
func (s *ZoneShares) level(own ZoneState, others []ZoneState, profile RequestProfile) float64 {
	used, slots := (own.Demand+own.Load)/2, own.even()
	for _, other := range others {
		if other = other.sane(); other.takesRequests() {
			used, slots = used+(other.Demand+other.Load)/2, slots+other.even()
		}
	}
	return max(profile.kept(s.price.Of(profile.KB))*own.Slots/max(1, own.even()), used/max(1, slots))
}

// want returns the number of requests that the zone wants to have at endpoints of other zones.
func (s *ZoneShares) want(own ZoneState, level float64) float64 {
	excess := own.demand(level) - level*own.even()
	band := startBand * own.Slots
	if s.leaving {
		band = 0
	}
	s.leaving = excess > band
	if !s.leaving {
		excess = 0
	}
	return min(own.Demand, excess+s.correction*own.Demand)
}

// correct updates the correction from the measured times to the first event.
func (s *ZoneShares) correct(elapsed float64, own ZoneState, others []ZoneState, profile RequestProfile) {
	gain := time.Duration(0)
	for _, other := range others {
		if other.takesRequests() && other.FirstEvent > 0 && own.FirstEvent > 0 {
			gain = max(gain, own.FirstEvent-other.FirstEvent)
		}
	}
	price := s.price.Of(profile.KB) + time.Duration(correctionMargin*float64(own.FirstEvent))
	switch {
	case gain > price:
		s.correction = min(maxCorrection, s.correction+correctionRate*elapsed)
	case gain < price/2:
		s.correction = max(0, s.correction-correctionRate*elapsed)
	}
}

// noise returns the standard deviation of the demand as a part of it: it follows from the number of requests
// that arrive in demandMemory.
func (z ZoneState) noise(profile RequestProfile) float64 {
	arrivals := z.Demand / max(1e-3, profile.Duration.Seconds()) * demandMemory.Seconds()
	return min(0.5, 1/math.Sqrt(max(1, arrivals)))
}

// room returns how many requests of other zones the zone takes up to a level.
func (z ZoneState) room(level float64) float64 {
	if !z.takesRequests() {
		return 0
	}
	fresh := 1 - max(0, (z.Age-freshFor).Seconds())/(staleAfter-freshFor).Seconds()
	return max(0, min(level*z.even(), maxZoneUse*z.Slots)-max(z.Demand, z.demand(min(1, level)))) * fresh
}

// grant divides what a zone wants among the other zones by their room, and each zone's room by what all
// zones want.
func grant(wanted float64, others []ZoneState, level float64) []float64 {
	rooms, room, wantedByAll := make([]float64, len(others)), 0.0, wanted
	for i, other := range others {
		other = other.sane()
		wantedByAll += other.Wanted
		rooms[i] = other.room(level)
		room += rooms[i]
	}
	grants := make([]float64, len(others))
	if room <= 0 || wanted <= 0 {
		return grants
	}
	granted := wanted * min(1, room/wantedByAll)
	for i := range grants {
		grants[i] = granted * rooms[i] / room
	}
	return grants
}

// move moves the shares to their targets, together by at most the rate. reverse is the band within which they
// don't change their direction.
func (s *ZoneShares) move(elapsed, reverse float64) {
	total := 0.0
	steps := make([]float64, len(s.shares))
	for i, share := range s.shares {
		steps[i] = share.Target - share.Share
		rising := steps[i] > 0
		ends := share.Target == 0 && share.Share > 0
		switch {
		case math.Abs(steps[i]) < stepBand && !ends, rising != share.rising && math.Abs(steps[i]) < reverse && !ends:
			steps[i] = 0
		}
		total += math.Abs(steps[i])
	}
	factor := 1.0
	if total > 0 {
		factor = min(1, maxShareRate*elapsed/total)
	}
	for i := range s.shares {
		share := &s.shares[i]
		if steps[i] == 0 {
			continue
		}
		if rising := steps[i] > 0; rising != share.rising {
			share.rising = rising
			share.turns++
		}
		share.Share += steps[i] * factor
	}
}

// Choose returns the zone to which a request goes, by its point in [0, 1), and the bytes that it moves, in
// thousands. It reports false if the request stays. Requests with the same point go to the same zone, and
// those that leave at a smaller share leave at a larger one too.
func (s *ZoneShares) Choose(point, kb float64) (platform.Zone, bool) {
	zone, gain, ok := s.choose(point, func(share ZoneShare) float64 { return share.Share })
	return zone, ok && gain >= s.price.Of(kb)
}

// ChooseAtOnce is Choose for a request that would wait for a slot inside: it need not wait until the shares
// have moved, but the room of the other zones bounds such requests too.
func (s *ZoneShares) ChooseAtOnce(point float64) (platform.Zone, bool) {
	zone, _, ok := s.choose(point, func(share ZoneShare) float64 { return max(share.Share, share.Target, share.Spare) })
	return zone, ok
}

func (s *ZoneShares) choose(point float64, weigh func(ZoneShare) float64) (chosen platform.Zone, gain time.Duration, ok bool) {
	total, best := 0.0, math.Inf(1)
	for _, share := range s.shares {
		weight := weigh(share)
		if weight <= 0 {
			continue
		}
		total += weight
		// The zone with the least exponentially distributed key is drawn with a probability
		// proportional to its weight, and a change of one weight moves few requests.
		draw := xxhash.Sum64String(string(share.Zone) + "\x00" + string(pointBytes(point)))
		key := -math.Log((float64(draw>>11)+0.5)/(1<<53)) / weight
		if key < best {
			best, chosen, gain = key, share.Zone, share.Gain
		}
	}
	return chosen, gain, point < total
}

func pointBytes(point float64) []byte {
	bits := math.Float64bits(point)
	return []byte{byte(bits), byte(bits >> 8), byte(bits >> 16), byte(bits >> 24), byte(bits >> 32), byte(bits >> 40), byte(bits >> 48), byte(bits >> 56)}
}
