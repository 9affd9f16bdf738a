package admission

import (
	"math"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Reasons of a refusal by a [Fleet].
const (
	// OverShare refuses a request of an account that asks for more than its share of the room.
	OverShare Reason = "account_share"
	// NoRoom refuses a request because the room does not suffice for any account's demand.
	NoRoom Reason = "no_room"
	// Hopeless refuses a request that would still wait for a slot at its deadline.
	Hopeless Reason = "hopeless"
)

const (
	// scarceFrom and scarceUntil are the parts of the slots in use at which room becomes scarce
	// and no longer is. A report is up to a second old, so the first is below [targetUse].
	scarceFrom  = 0.85
	scarceUntil = 0.7
	// targetUse is the part of the slots that admitted requests may take, less targetSpare times
	// the root of their number: the requests at few slots vary more, and wait more often.
	targetUse   = 1.0
	targetSpare = 0.4
	// tellFrom and tellUntil are the parts of the slots in use at which peers begin to be told the
	// usage, so that they know it when room becomes scarce, and no longer are.
	tellFrom  = 0.75
	tellUntil = 0.6
	// neverRefuseBelow is the part of all slots of a service below which no request is refused
	// while none waits.
	neverRefuseBelow = 0.5
	// minDrain and maxFill bound by how much the allowed usage is changed because more or fewer
	// slots than intended are in use.
	minDrain = 0.2
	maxFill  = 1.25
	// planInterval is the time between two computations of the shares.
	planInterval = 250 * time.Millisecond
	// roomWindow is the time constant of the average of the slots in use.
	roomWindow = 500 * time.Millisecond
	// roomLifetime is how long an observation of the room counts. While no endpoint of a service is
	// listed, its room is not observed.
	roomLifetime = 5 * time.Second
	// occupancyWindow is the time constant with which the slots in use are compared with the
	// admitted usage, and occupancyWarmUp the time after which that begins: peers are told the
	// usage within about two seconds.
	occupancyWindow = 5 * time.Second
	occupancyWarmUp = 4 * time.Second
	// minOccupancy and maxOccupancy bound the slots in use per admitted endpoint second a second.
	minOccupancy = 0.1
	maxOccupancy = 10
	// correctionRate is the part by which what is divided is changed a second if twice of it is
	// admitted. Clients that return, and demand that has not been told yet, are admitted in
	// addition: about a quarter at twice the capacity.
	correctionRate = 0.2
	minCorrection  = 0.5
	maxCorrection  = 1.1
	// maxFleetServices bounds the services of a [Fleet].
	maxFleetServices = 16
)

// Ranks is the number of ranks of urgency within an account; rank 0 is the most urgent.
const Ranks = 8

// Room is the capacity that the endpoints of a service have now.
type Room struct {
	// Slots are those of the endpoints that take requests, and AllSlots those of all
	// endpoints that are registered and not leaving.
	Slots, AllSlots float64
	// Busy is the estimated number of requests at the endpoints that take requests, with those
	// that wait there.
	Busy float64
	// Waiting is the number of requests that wait there by recent reports.
	Waiting float64
}

// FleetRequest describes a request to a [Fleet].
type FleetRequest struct {
	Service string
	Account string
	// Rank is the urgency, from 0 to [Ranks]-1.
	Rank int
	// Class groups requests that take about the same time at an endpoint.
	Class document.TaskClass
	// Key identifies the request. It is the same in each try of the client, whatever instance
	// gets it.
	Key uint64
	// Timeout is the time that the route grants the request, the same in each try.
	Timeout time.Duration
	// Remaining is how long the client still waits, Objective the latency objective and
	// FirstEvent the usual time to the first event; 0 if unknown.
	Remaining, Objective, FirstEvent time.Duration
}

// Admission is the decision on an offered request.
type Admission struct {
	// Refusal is nil if the request is admitted.
	Refusal *Refusal
	// Scarce reports that room was scarce.
	Scarce bool
	// Kept reports that the request was admitted because it has returned at its time. Booked
	// reports that the refusal names a time at which the request will be admitted.
	Kept, Booked bool
}

// Fleet decides which requests this instance may send while the endpoints of a service have little
// room for the whole fleet. It is not safe for concurrent use.
type Fleet struct {
	services map[string]*fleetService
	places   places
}

// NewFleet returns a fleet of which nothing is known.
func NewFleet() *Fleet {
	return &Fleet{services: make(map[string]*fleetService), places: newPlaces()}
}

// fleetService is the state of one service.
type fleetService struct {
	room Room
	// observedAt is when the room was last observed, and busy the average of the slots in use.
	observedAt time.Time
	busy       float64
	scarce     bool
	// toldSince is when the usage began to be told to peers, the zero time if it is not told.
	toldSince time.Time
	usage     usageTable
	work      fleetWork
	// expected averages the admitted usage of the fleet over the time that requests take.
	// occupancy is the number of slots in use per admitted endpoint second a second: requests
	// may take longer than learned, and be sent twice.
	expected  float64
	occupancy float64
	// correction is a factor of what is divided, so that what is admitted is what is allowed.
	correction float64
	// plannedBusy is busy at the last plan, and trend the average of its change a second.
	plannedBusy, trend float64
	plannedAt          time.Time
	plan               plan
}

func (f *Fleet) service(name string) *fleetService {
	s := f.services[name]
	if s == nil {
		if len(f.services) >= maxFleetServices {
			return nil
		}
		s = &fleetService{usage: newUsageTable(), work: newFleetWork(), occupancy: 1, correction: 1}
		f.services[name] = s
	}
	return s
}

// Observe records the room of a service. It should be called several times a second.
func (f *Fleet) Observe(now time.Time, service string, room Room) {
	s := f.service(service)
	if s == nil || !room.isValid() {
		return
	}
	weight := 1.0
	if !s.observedAt.IsZero() {
		weight = -math.Expm1(-float64(now.Sub(s.observedAt)) / float64(roomWindow))
	}
	s.busy += weight * (room.Busy - s.busy)
	s.room, s.observedAt = room, now
	s.updateScarce(now)
	if now.Sub(s.plannedAt) >= planInterval {
		s.computePlan(now)
	}
}

func (r Room) isValid() bool {
	for _, figure := range []float64{r.Slots, r.AllSlots, r.Busy, r.Waiting} {
		if !(figure >= 0 && figure < maxFigure) {
			return false
		}
	}
	return true
}

func (s *fleetService) updateScarce(now time.Time) {
	switch {
	case s.busy >= scarceFrom*s.room.Slots && s.room.AllSlots > 0:
		s.scarce = true
	case s.busy < scarceUntil*s.room.Slots && !s.plan.exceeded:
		s.scarce = false
	}
	switch {
	case s.scarce || s.busy >= tellFrom*s.room.Slots && s.busy > 0:
		if s.toldSince.IsZero() {
			s.toldSince = now
		}
	case s.busy < tellUntil*s.room.Slots:
		s.toldSince = time.Time{}
	}
}

// mayRefuse reports whether room is known to be scarce and a refusal would not leave endpoints idle. The
// average decides: after one low report, all instances would admit everything until the next.
func (s *fleetService) mayRefuse(now time.Time) bool {
	return s.scarce && now.Sub(s.observedAt) < roomLifetime && (s.room.Waiting > 0 || s.busy >= neverRefuseBelow*s.room.AllSlots)
}

// computePlan learns how many slots the admitted usage takes and divides what may be admitted.
func (s *fleetService) computePlan(now time.Time) {
	elapsed := now.Sub(s.plannedAt)
	if s.plannedAt.IsZero() || elapsed > time.Second {
		elapsed = planInterval
	}
	s.plannedAt = now
	if s.toldSince.IsZero() {
		s.expected, s.trend, s.plannedBusy, s.plan = 0, 0, s.busy, plan{}
		return
	}
	fleet := s.usage.total(now)
	// The averages of the room and of the rates lag, so the comparison lags as much.
	lag := max(rateWindow, min(s.work.mean(), maxWorkLag))
	s.trend += -math.Expm1(-float64(elapsed)/float64(rateWindow)) * ((s.busy-s.plannedBusy)/elapsed.Seconds() - s.trend)
	s.plannedBusy = s.busy
	s.expected += -math.Expm1(-float64(elapsed)/float64(lag)) * (fleet.admitted - s.expected)
	if now.Sub(s.toldSince) >= occupancyWarmUp && s.expected > 0 {
		ratio := min(maxOccupancy, max(minOccupancy, s.observeOccupancy(fleet.admitted)))
		s.occupancy += -math.Expm1(-float64(elapsed)/float64(occupancyWindow)) * (ratio - s.occupancy)
	}
	if !s.scarce {
		s.plan = plan{}
		return
	}
	allowed := s.allowed()
	if s.plan.exceeded && allowed > 0 {
		surplus := min(1, fleet.admitted/allowed-1)
		s.correction *= math.Exp(-correctionRate * elapsed.Seconds() * surplus)
		s.correction = min(maxCorrection, max(minCorrection, s.correction))
	} else {
		s.correction = 1
	}
	s.plan = newPlan(fleet.demands, allowed*s.correction, s.work.mean().Seconds())
}

// allowed returns the usage that may be admitted now, in endpoint seconds a second.
func (s *fleetService) allowed() float64 {
	deviation := math.Sqrt(s.room.Slots)
	wanted := max(0, targetUse*s.room.Slots-targetSpare*deviation)
	// The number of requests varies by about its root, which is no reason to admit fewer.
	surplus := s.busy - deviation
	switch {
	case s.busy < wanted:
		return wanted / s.occupancy * min(maxFill, math.Sqrt(wanted/max(s.busy, 1)))
	case surplus <= wanted:
		return wanted / s.occupancy
	default:
		// The root keeps a service of short requests, whose queues change faster than reports
		// arrive, from alternating between a queue and idle slots. At twice the requests,
		// objectives are missed in the queue, so from there on it is drained faster.
		drain := min(math.Sqrt(wanted/surplus), math.Sqrt2*wanted/surplus)
		return wanted / s.occupancy * max(minDrain, drain)
	}
}

// observeOccupancy returns the slots in use per admitted endpoint second a second. While requests
// wait, the slots are in use whatever is admitted: then what ends is what is admitted, less what the
// queues grow by.
func (s *fleetService) observeOccupancy(admitted float64) float64 {
	if s.room.Slots <= 0 {
		return s.occupancy // nothing can be admitted, so nothing is learned
	}
	if s.busy <= s.room.Slots {
		return s.busy / s.expected
	}
	ended := admitted - s.trend*s.work.mean().Seconds()
	return s.room.Slots / max(s.room.Slots/maxOccupancy, ended)
}

// maxWorkLag bounds the mean time that requests take, as far as it delays what is seen of the room.
const maxWorkLag = 10 * time.Second

// Offer decides on the first attempt of a request. Each request that is admitted must be offered
// once; one that is refused never runs.
func (f *Fleet) Offer(now time.Time, request FleetRequest) Admission {
	s := f.service(request.Service)
	if s == nil {
		return Admission{}
	}
	request.Rank = min(Ranks-1, max(0, request.Rank))
	cost := s.work.estimate(request.Class)
	entry := UsageEntry{Account: AccountHash(request.Account), Rank: uint8(request.Rank)}
	if !s.mayRefuse(now) {
		s.usage.own.add(now, entry, cost, true, false)
		return Admission{Scarce: s.scarce}
	}
	held, returned := f.places.find(now, request.Key)
	switch {
	case returned && held.isEarly(now) && f.places.countEarly(request.Key):
		// It does not count as demand again: a client that retries at once gains nothing.
		return Admission{Scarce: true, Refusal: &Refusal{
			Reason: held.reason, RetryAfter: min(maxRetryAfter(request), max(minFleetRetryAfter, held.due.Sub(now))),
		}}
	case returned && held.booked:
		f.places.remove(request.Key)
		s.usage.own.add(now, entry, cost, true, true)
		return Admission{Scarce: true, Kept: true}
	}
	fraction := s.plan.fraction(entry)
	reason := s.plan.reason
	admitted := draw(now, request, 0) < fraction
	if admitted && s.isHopeless(request) {
		admitted, reason = false, Hopeless
	}
	s.usage.own.add(now, entry, cost, admitted, false)
	if admitted {
		f.places.remove(request.Key)
		return Admission{Scarce: true}
	}
	retryAfter, booked := book(now, request, fraction)
	booked = booked && reason != Hopeless
	f.places.add(now, request.Key, place{
		due: now.Add(retryAfter), until: now.Add(retryAfter + epochOf(request) + placeSlack), booked: booked, reason: reason,
	})
	return Admission{Scarce: true, Booked: booked, Refusal: &Refusal{Reason: reason, RetryAfter: retryAfter}}
}

// isHopeless reports whether the request would miss its objective and its deadline in the queues
// of the endpoints, which drain at the rate at which requests end.
func (s *fleetService) isHopeless(request FleetRequest) bool {
	queued := s.busy - s.room.Slots
	if queued <= 0 || s.room.Waiting <= 0 || request.Remaining <= 0 {
		return false
	}
	wait := scale(s.work.mean(), queued/max(1, s.room.Slots)) + request.FirstEvent
	return wait > request.Objective && wait > request.Remaining
}

// Ended records how long an admitted request took at its endpoint. By Little's law, the part of it
// that it spent in a slot is that of the requests at the endpoints that hold one.
func (f *Fleet) Ended(service string, class document.TaskClass, took time.Duration) {
	s := f.services[service]
	if s == nil {
		return
	}
	if s.busy > s.room.Slots {
		took = scale(took, s.room.Slots/s.busy)
	}
	s.work.observe(class, took)
}

// IsScarce reports whether the room of a service is scarce.
func (f *Fleet) IsScarce(service string) bool {
	s := f.services[service]
	return s != nil && s.scarce
}

// State describes what a [Fleet] knows of a service.
type State struct {
	Service string `json:"service"`
	Scarce  bool   `json:"scarce"`
	// Slots are those that take requests, and Busy the requests there.
	Slots   float64 `json:"slots"`
	Busy    float64 `json:"busy"`
	Waiting float64 `json:"waiting"`
	// Offered and Admitted are the fleet's, in endpoint seconds a second, and Allowed is what
	// may be admitted while room is scarce; 0 otherwise.
	Offered  float64 `json:"offered"`
	Admitted float64 `json:"admitted"`
	Allowed  float64 `json:"allowed"`
	// Tellers is the number of instances and zones whose usage is known.
	Tellers int `json:"tellers"`
	// Occupancy is the number of slots in use per admitted endpoint second a second, and Work the
	// mean endpoint time of a request in seconds.
	Occupancy float64 `json:"occupancy"`
	Work      float64 `json:"work_s"`
}

// States returns what is known of each service.
func (f *Fleet) States(now time.Time) []State {
	var states []State
	for name, s := range f.services {
		fleet := s.usage.total(now)
		state := State{
			Service: name, Scarce: s.scarce, Slots: s.room.Slots, Busy: s.busy, Waiting: s.room.Waiting,
			Admitted: fleet.admitted, Allowed: s.plan.allowed, Tellers: fleet.tellers,
			Occupancy: s.occupancy, Work: s.work.mean().Seconds(),
		}
		for _, demand := range fleet.demands {
			state.Offered += demand.total()
		}
		states = append(states, state)
	}
	return states
}
