package fleetlimit

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// Window is the time over which endpoints count the requests of all instances.
	Window = 4 * time.Second
	// seatFraction and seatExtra bound the requests that the seats allow in a window, by
	// the requests that the limit allows. The tolerance of a limit is half of what it
	// allows and 5 requests: it covers twice as many seats, rounded up.
	seatFraction = 0.75
	seatExtra    = 1.5
	// probeInterval is the interval of the only seat if the limit is lower, or 0: only an
	// answer shows that the limit has ended.
	probeInterval = 10 * time.Second

	// ArrivalWindow is the time over which endpoints count arrivals, and ArrivalSpread the
	// difference of the times that requests take from their permission to their arrival: 200 ms
	// on the way, and 50 ms until they are written.
	ArrivalWindow = time.Second
	ArrivalSpread = 250 * time.Millisecond
	// arrivalOverage and arrivalSlack are the tolerance of a limit on arrivals.
	arrivalOverage = 1.5
	arrivalSlack   = 5
	// seatHolders is the number of instances that may hold a seat at the same time.
	seatHolders = 2
)

// MostArrivals returns the number of requests that an endpoint bears in each
// [ArrivalWindow] under a limit.
func MostArrivals(perSecond float64) float64 {
	return arrivalOverage*perSecond*ArrivalWindow.Seconds() + arrivalSlack
}

// planArrivals is like [plan] for limits on arrivals. Requests of one holder of a seat are
// so far apart that no two of them arrive within a window.
func planArrivals(perSecond float64) (seats int, interval time.Duration) {
	seats = int(MostArrivals(perSecond) / seatHolders)
	atLimit := time.Duration(min(forgetAfter.Seconds(), float64(seats)/perSecond) * float64(time.Second))
	return seats, max(ArrivalWindow+ArrivalSpread, atLimit)
}

// Group is what an instance knows of the instances that share the limits.
type Group struct {
	Self platform.InstanceID
	Zone platform.Zone
	// Members are the live instances of the instance's zone, with itself.
	Members []platform.InstanceID
	// Zones are the zones of all instances that are alive or were so lately.
	Zones []platform.Zone
}

// Equal reports whether the groups are the same.
func (g Group) Equal(other Group) bool {
	return g.Self == other.Self && g.Zone == other.Zone && slices.Equal(g.Members, other.Members) && slices.Equal(g.Zones, other.Zones)
}

// Key identifies a lifetime of an endpoint. An endpoint that starts again has no limit
// until it names one.
type Key struct {
	Endpoint platform.EndpointID
	Born     int64
}

func (k Key) String() string { return string(k.Endpoint) + "/" + strconv.FormatInt(k.Born, 10) }

// plan returns the number of seats of a limit, and the interval in which each of them
// allows one request.
func plan(perSecond float64) (seats int, interval time.Duration) {
	allowed := perSecond * Window.Seconds()
	target := min(allowed, seatFraction*allowed+seatExtra)
	target = max(target, Window.Seconds()/probeInterval.Seconds())
	seats = int(math.Ceil(target))
	return seats, time.Duration(float64(seats) / target * float64(Window))
}

// SeatsOf returns how many of the given number of seats the instance has.
func (g Group) SeatsOf(key Key, seats int) int {
	name := key.String()
	inZone := dealt(seats, len(g.Zones), rankOf(name, g.Zones, g.Zone))
	return dealt(inZone, len(g.Members), rankOf(name, g.Members, g.Self))
}

// dealt returns how many of the seats the holder of the given rank gets if they are dealt
// in turn, in the order of rank.
func dealt(seats, holders, rank int) int {
	if rank < 0 || rank >= seats {
		return 0
	}
	return (seats-rank-1)/holders + 1
}

// rankOf returns the position of the member in the order of rendezvous scores for the
// key, -1 if it is none of them.
func rankOf[T ~string](key string, members []T, member T) int {
	if !slices.Contains(members, member) {
		return -1
	}
	rank := 0
	for _, other := range members {
		if membership.CompareScores(key, string(other), string(member)) < 0 {
			rank++
		}
	}
	return rank
}
