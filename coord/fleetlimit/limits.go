package fleetlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// forgetAfter is how long a limit holds without news of it: for the instance that
	// would get the first seat, and forgetStep longer for each one behind it, so that the
	// instances do not all send at once to an endpoint of which none has heard.
	forgetAfter = time.Minute
	forgetStep  = 2 * time.Second
	// maxEndpoints bounds the endpoints whose limits are known.
	maxEndpoints = 4096
	// maxPerSecond is the highest limit that a report of a peer may have.
	maxPerSecond = 1e6
)

// Statement is what an answer of an endpoint says about its limit.
type Statement struct {
	// Named reports that the endpoint names a limit. An answer without one ends it.
	Named bool
	// PerSecond is the number of requests a second that the endpoint takes from all
	// instances together.
	PerSecond float64
}

// Report is what an instance tells its peers about the limit of an endpoint.
type Report struct {
	Key       Key
	Statement Statement
	// Age is the time since the endpoint was last known to say so.
	Age time.Duration
}

// Limits holds the limits of endpoints and one instance's requests under them. It is not
// safe for concurrent use. The zero value is not usable, see [New].
type Limits struct {
	// plan returns the seats of a limit, and the interval in which each allows one request.
	plan      func(perSecond float64) (seats int, interval time.Duration)
	group     Group
	changedAt time.Time
	limited   map[Key]*limited
	// keys are the keys of limited in the order in which they are reported, from next on.
	keys []Key
	next int
}

// limited is the state of an endpoint that names a limit or did so lately.
type limited struct {
	statement Statement
	// observedAt is when the endpoint was last known to say so.
	observedAt time.Time
	// share is the number of seats that the current group gives this instance, and interval
	// the time in which each allows one request. Both are valid if isPlanned is set.
	share     int
	interval  time.Duration
	isPlanned bool
	// seats is the number of seats that the instance uses.
	seats int
	// sends are the times of the requests within the last interval.
	sends []time.Time
}

// New returns limits without any endpoint. Until the first call of SetGroup, the instance
// has no seat.
func New() *Limits { return &Limits{plan: plan, limited: make(map[Key]*limited)} }

// NewForArrivals returns limits of endpoints that count the arrivals of each second, as
// [New] does: in no second more arrive than [MostArrivals] allows, though the time on the
// way differs by up to [ArrivalSpread].
func NewForArrivals() *Limits {
	return &Limits{plan: planArrivals, limited: make(map[Key]*limited)}
}

// Len returns the number of endpoints that name a limit or did so lately.
func (l *Limits) Len() int { return len(l.limited) }

// SetGroup sets the instances that share the limits, in any order.
func (l *Limits) SetGroup(now time.Time, group Group) {
	group.Members, group.Zones = slices.Sorted(slices.Values(group.Members)), slices.Sorted(slices.Values(group.Zones))
	if group.Equal(l.group) {
		return
	}
	l.group, l.changedAt = group, now
	for _, known := range l.limited {
		known.isPlanned = false
	}
}

// Observe records what an answer says, to a request that was sent at the given time. It
// reports whether the known limit has changed. An answer without a limit ends it only if
// its request was sent after the last answer with one: answers may overtake each other.
func (l *Limits) Observe(now time.Time, key Key, statement Statement, sent time.Time) bool {
	if !statement.Named {
		return l.apply(key, statement, sent)
	}
	return l.apply(key, statement, now)
}

// Merge records the report of a peer, and reports whether the known limit has changed.
// Reports that are older than what is known, or invalid, are ignored.
func (l *Limits) Merge(now time.Time, report Report) bool {
	limit := report.Statement.PerSecond
	if math.IsNaN(limit) || limit < 0 || limit > maxPerSecond || report.Age >= forgetAfter {
		return false
	}
	return l.apply(report.Key, report.Statement, now.Add(-max(0, report.Age)))
}

func (l *Limits) apply(key Key, statement Statement, at time.Time) bool {
	known := l.limited[key]
	if known == nil {
		if !statement.Named || len(l.limited) >= maxEndpoints {
			return false
		}
		known = &limited{}
		l.limited[key] = known
		l.keys = append(l.keys, key)
	}
	if !at.After(known.observedAt) {
		return false
	}
	changed := known.statement != statement
	known.statement, known.observedAt = statement, at
	known.isPlanned = known.isPlanned && !changed
	return changed
}

// Allows reports whether the instance may send a request to the endpoint now.
func (l *Limits) Allows(now time.Time, key Key) bool {
	known := l.limited[key]
	if known == nil || !known.statement.Named {
		return true
	}
	l.update(now, key, known)
	return len(known.sends) < known.seats
}

// Take counts a request that is about to be sent, and reports whether it is allowed.
func (l *Limits) Take(now time.Time, key Key) bool {
	if !l.Allows(now, key) {
		return false
	}
	if known := l.limited[key]; known != nil && known.statement.Named {
		known.sends = append(known.sends, now)
	}
	return true
}

// Wait returns the time until the instance expects to be allowed a request, 0 if it is
// allowed one now. Without a seat it is the time in which each seat allows one.
func (l *Limits) Wait(now time.Time, key Key) time.Duration {
	if l.Allows(now, key) {
		return 0
	}
	known := l.limited[key]
	if known.seats == 0 {
		return known.interval
	}
	return known.sends[len(known.sends)-known.seats].Add(known.interval).Sub(now)
}

// update brings the seats and the sends of an endpoint up to date. Fewer seats count at
// once; more count only after the group has been unchanged for an interval, within which
// the instance that had the seat may have used it.
func (l *Limits) update(now time.Time, key Key, known *limited) {
	if !known.isPlanned {
		var seats int
		seats, known.interval = l.plan(known.statement.PerSecond)
		known.share, known.isPlanned = l.group.SeatsOf(key, seats), true
	}
	if known.share < known.seats || now.Sub(l.changedAt) >= known.interval {
		known.seats = known.share
	}
	expired := 0
	for expired < len(known.sends) && now.Sub(known.sends[expired]) >= known.interval {
		expired++
	}
	known.sends = slices.Delete(known.sends, 0, expired)
}

// Reports returns up to the given number of reports. Further calls return the others in
// turn.
func (l *Limits) Reports(now time.Time, most int) []Report {
	var reports []Report
	for range min(most, len(l.keys)) {
		l.next %= len(l.keys)
		key := l.keys[l.next]
		l.next++
		known := l.limited[key]
		reports = append(reports, Report{Key: key, Statement: known.statement, Age: max(0, now.Sub(known.observedAt))})
	}
	return reports
}

// Expire forgets the endpoints of which nothing was heard for long.
func (l *Limits) Expire(now time.Time) {
	l.keys = slices.DeleteFunc(l.keys, func(key Key) bool {
		after := forgetAfter + time.Duration(l.position(key))*forgetStep
		expired := now.Sub(l.limited[key].observedAt) >= after
		if expired {
			delete(l.limited, key)
		}
		return expired
	})
}

// position returns the position of the instance in the order in which seats are dealt.
func (l *Limits) position(key Key) int {
	name := key.String()
	zone, member := rankOf(name, l.group.Zones, l.group.Zone), rankOf(name, l.group.Members, l.group.Self)
	return max(0, member)*len(l.group.Zones) + max(0, zone)
}
