package admit

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

const (
	// ObserveInterval is the time between two observations of the room.
	ObserveInterval = 250 * time.Millisecond
	// usageInterval is how long the usage for peers is used again: there is one digest a second for
	// each of them.
	usageInterval = 250 * time.Millisecond
	// relayFor is how long the sum of another zone is passed on after a peer there has told it: for
	// one digest to each peer of the zone. relayPause is how long it is not, after a peer has passed
	// on another one, and maxRelayed bounds the sums in one digest.
	relayFor   = 1250 * time.Millisecond
	relayPause = 2 * time.Second
	maxRelayed = 2
	// maxZoneSums bounds the sums that are passed on, one for each zone and service: 16 services of
	// 17 zones fit.
	maxZoneSums = 272
	// maxAccountLabels bounds the accounts that metrics tell apart.
	maxAccountLabels = 32
)

// Fleet admits requests while the endpoints have little room for the whole fleet, see
// [admission.Fleet]. Its methods may be called from several goroutines.
type Fleet struct {
	pools   *pool.Pools
	log     *logrus.Entry
	count   func(name string)
	enabled atomic.Bool

	mu     sync.Mutex
	fleet  *admission.Fleet
	scarce map[string]bool
	labels map[string]struct{}
	// usage and zoneUsage were computed at usageAt and zoneUsageAt.
	usage, zoneUsage     []admission.Usage
	usageAt, zoneUsageAt time.Time
	zones                map[zoneService]*zoneSum
}

// zoneService names the sum of a zone's usage of a service.
type zoneService struct{ zone, service string }

// zoneSum is the newest known sum of a zone.
type zoneSum struct {
	usage admission.Usage
	at    time.Time
	// toldAt is when a peer of that zone told it to this instance, and relayedAt when a peer of this
	// zone last passed one on.
	toldAt, relayedAt time.Time
}

// RelayedUsage is the sum of another zone that is passed on.
type RelayedUsage struct {
	Zone  string
	Age   time.Duration
	Usage admission.Usage
}

// NewFleet returns a disabled fleet.
//
// The function count increments the counter of the given name.
func NewFleet(pools *pool.Pools, log *logrus.Entry, count func(name string)) *Fleet {
	f := &Fleet{pools: pools, log: log, count: count, labels: make(map[string]struct{})}
	f.reset()
	return f
}

func (f *Fleet) reset() {
	f.fleet, f.scarce, f.zones = admission.NewFleet(), make(map[string]bool), make(map[zoneService]*zoneSum)
	f.usage, f.zoneUsage, f.usageAt, f.zoneUsageAt = nil, nil, time.Time{}, time.Time{}
}

// SetEnabled turns the decision on or off. It starts without knowledge.
func (f *Fleet) SetEnabled(enabled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.enabled.Swap(enabled) != enabled {
		f.reset()
	}
}

// Enabled implements [relay.Admission].
func (f *Fleet) Enabled() bool { return f.enabled.Load() }

// Offer implements [relay.Admission].
func (f *Fleet) Offer(request admission.FleetRequest) admission.Admission {
	f.mu.Lock()
	defer f.mu.Unlock()
	decision := f.fleet.Offer(time.Now(), request)
	if decision.Kept {
		f.count(`wigeonusher_admission_places_kept_total`)
	}
	if decision.Refusal != nil {
		f.count(fmt.Sprintf(`wigeonusher_admission_refusals_total{service=%q,reason=%q}`, request.Service, decision.Refusal.Reason))
		f.count(fmt.Sprintf(`wigeonusher_admission_account_refusals_total{account=%q}`, f.label(request.Account)))
	}
	if decision.Booked {
		f.count(`wigeonusher_admission_places_booked_total`)
	}
	return decision
}

// label returns the account's name for metrics.
func (f *Fleet) label(account string) string {
	if _, known := f.labels[account]; !known {
		if len(f.labels) >= maxAccountLabels {
			return "other"
		}
		f.labels[account] = struct{}{}
	}
	return account
}

// Ended implements [relay.Admission].
func (f *Fleet) Ended(service route.ServiceName, class document.TaskClass, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.Ended(string(service), class, took)
}

// UsualFirstEvent implements [relay.Admission].
func (f *Fleet) UsualFirstEvent(service route.ServiceName, model route.ModelName, tokens int) time.Duration {
	return f.pools.Service(service).UsualFirstEvent(model, tokens)
}

// Observe updates the room of all services. It does nothing while the decision is off.
func (f *Fleet) Observe(now time.Time) {
	if !f.Enabled() {
		return
	}
	rooms := f.pools.Rooms(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, room := range rooms {
		f.fleet.Observe(now, string(service), admission.Room{
			Slots: float64(room.Slots), AllSlots: float64(room.AllSlots), Busy: room.Busy, Waiting: float64(room.Waiting),
		})
		if scarce := f.fleet.IsScarce(string(service)); scarce != f.scarce[string(service)] {
			f.scarce[string(service)] = scarce
			f.log.WithFields(logrus.Fields{
				"service": service, "scarce": scarce, "slots": room.Slots, "busy": int(room.Busy), "waiting": room.Waiting,
			}).Info("room of a service has changed")
		}
	}
}

// States returns what is known of each service, by name; nil while the decision is off.
func (f *Fleet) States() []admission.State {
	if !f.Enabled() {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	states := f.fleet.States(time.Now())
	slices.SortFunc(states, func(a, b admission.State) int { return cmp.Compare(a.Service, b.Service) })
	return states
}

// Preview returns what would be decided on a request, without offering it.
func (f *Fleet) Preview(request admission.FleetRequest) admission.Preview {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.Preview(time.Now(), request)
}

// Usage returns what a peer of the zone should know: the usage of this instance, and the sums of
// other zones that it should know of from this instance.
func (f *Fleet) Usage(now time.Time) ([]admission.Usage, []RelayedUsage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.usageAt) >= usageInterval {
		f.usage, f.usageAt = f.fleet.Usage(now), now
	}
	var relayed []RelayedUsage
	for key, sum := range f.zones {
		if len(relayed) < maxRelayed && now.Sub(sum.toldAt) <= relayFor && now.Sub(sum.relayedAt) >= relayPause {
			relayed = append(relayed, RelayedUsage{Zone: key.zone, Age: now.Sub(sum.at), Usage: sum.usage})
		}
	}
	return f.usage, relayed
}

// ZoneUsage returns what other zones should know: the sum of this zone.
func (f *Fleet) ZoneUsage(now time.Time) []admission.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.zoneUsageAt) >= usageInterval {
		f.zoneUsage, f.zoneUsageAt = f.fleet.ZoneUsage(now), now
	}
	return f.zoneUsage
}

// Merge records the usage of a peer of the zone. It reports whether the usage is well-formed.
func (f *Fleet) Merge(now time.Time, peer string, usage admission.Usage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.Merge(now, peer, usage)
}

// MergeZone records the sum of another zone. relayed reports that a peer of this zone has passed it
// on. It reports whether the usage is well-formed.
func (f *Fleet) MergeZone(now time.Time, told RelayedUsage, relayed bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isNew, valid := f.fleet.MergeZone(now, told.Zone, told.Usage, told.Age)
	if !isNew {
		return valid
	}
	key := zoneService{told.Zone, told.Usage.Service}
	sum := f.zones[key]
	if sum == nil {
		if len(f.zones) >= maxZoneSums {
			return valid
		}
		sum = &zoneSum{}
		f.zones[key] = sum
	}
	sum.usage, sum.at = told.Usage, now.Add(-told.Age)
	if relayed {
		sum.relayedAt = now
	} else {
		sum.toldAt = now
	}
	return valid
}
