// Package pool tracks the endpoints of all services: their registry records, the
// load that they report and the outcomes that this instance observes. It selects
// the endpoint for a request.
package pool

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Record is the registry's entry for an endpoint.
type Record struct {
	ID      platform.EndpointID
	Service route.ServiceName
	Address string
	Zone    platform.Zone
	// Version is the version of the endpoint's program.
	Version string
	Slots   int
	// ColdFor is how much longer the endpoint stays slow after its start, at the time of the
	// registration.
	ColdFor time.Duration
	// Leaving reports that the endpoint accepts no new requests.
	Leaving bool
	// Born identifies a lifetime of the endpoint; a later one has a greater number.
	Born int64
	// Sequence numbers the endpoint's registrations within one lifetime.
	Sequence int64
}

// older reports whether the record was written before the other.
func (r Record) older(other Record) bool {
	if r.Born != other.Born {
		return r.Born < other.Born
	}
	return r.Sequence < other.Sequence
}

// absenceGrace is how long an endpoint whose registration expired while the
// registry was unreachable may take to register again once the registry is
// reachable.
const absenceGrace = 2 * time.Second

// removalMemory is how long a removed endpoint is remembered. It exceeds the age of the
// copies from which a registry is restored, which is some seconds.
const removalMemory = time.Minute

// Pools holds the endpoints of all services. Its methods are safe for concurrent
// use.
type Pools struct {
	zone platform.Zone
	log  *logrus.Entry
	// viewedAt is the boot time at which the registry was last known to be as these
	// pools have it.
	viewedAt atomic.Int64
	limits   *limits
	loads    *placement.LoadTable

	mu             sync.RWMutex
	evacuations    evacuations
	coldRules      map[route.ServiceName]ColdRule
	services       map[route.ServiceName]*Pool
	poolByEndpoint map[platform.EndpointID]*Pool
	// graceUntil is the end of the grace period in which missing endpoints are
	// kept.
	graceUntil time.Time
	missing    map[platform.EndpointID]struct{}
	// removed holds the endpoints whose registration was removed lately.
	removed    map[platform.EndpointID]removal
	onLongRead func(service, endpoint string, expected time.Duration)
	// group lists the instances that share the endpoints, nil while it is not known.
	group *fleetlimit.Group
	// zoneAware and zonePrice are described at SetZoneAware and SetZonePrice.
	zoneAware atomic.Bool
	zonePrice atomic.Int64
	// invalidZoneLoad reports that an impossible load of a zone has been logged.
	invalidZoneLoad atomic.Bool
	// onBrittleRejection is described at OnBrittleRejection.
	onBrittleRejection func(endpoint platform.EndpointID)
}

// removal is the last record of an endpoint whose registration was removed.
type removal struct {
	record Record
	at     time.Time
}

// OnLongRead registers a function that is called, with the expected time to read
// the prompt, for each long prompt that this instance is about to send to an
// endpoint. notify is called with the pool locked. OnLongRead itself must be called
// before the first request.
func (p *Pools) OnLongRead(notify func(service, endpoint string, expected time.Duration)) {
	p.onLongRead = notify
}

// New returns pools without endpoints. zone is this instance's availability zone.
func New(zone platform.Zone, log *logrus.Entry) *Pools {
	return &Pools{
		zone:           zone,
		log:            log,
		limits:         newLimits(log),
		loads:          placement.NewLoadTable(),
		services:       make(map[route.ServiceName]*Pool),
		poolByEndpoint: make(map[platform.EndpointID]*Pool),
		missing:        make(map[platform.EndpointID]struct{}),
		removed:        make(map[platform.EndpointID]removal),
	}
}

// Service returns the pool of a service, which is created empty at the first call.
func (p *Pools) Service(name route.ServiceName) *Pool {
	p.mu.RLock()
	found := p.services[name]
	p.mu.RUnlock()
	if found != nil {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(name)
}

func (p *Pools) service(name route.ServiceName) *Pool {
	if found := p.services[name]; found != nil {
		return found
	}
	created := newPool(p.zone, p.limits)
	created.viewedAt, created.service, created.log = &p.viewedAt, name, p.log
	created.onLongRead = func(endpoint platform.EndpointID, expected time.Duration) {
		if p.onLongRead != nil {
			p.onLongRead(string(name), string(endpoint), expected)
		}
	}
	created.group, created.loads, created.evacuations = p.group, p.loads, p.evacuations
	created.coldRule = p.coldRules[name]
	created.zoneAware, created.zonePrice = &p.zoneAware, &p.zonePrice
	created.onBrittleRejection = func(endpoint platform.EndpointID) {
		if p.onBrittleRejection != nil {
			p.onBrittleRejection(endpoint)
		}
	}
	p.services[name] = created
	return created
}

// RegistryRestored starts the grace period after the registry has become reachable
// again: endpoints that are missing now may still run and merely have failed to
// renew their registration. Or they have left, and when is not known.
func (p *Pools) RegistryRestored(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.graceUntil = now.Add(absenceGrace)
}

// GraceLeft returns how much longer missing endpoints are kept.
func (p *Pools) GraceLeft() time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return max(0, time.Until(p.graceUntil))
}

// ExtendGrace keeps missing endpoints for the given time, at most as long as after
// [Pools.RegistryRestored].
func (p *Pools) ExtendGrace(now time.Time, left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := now.Add(min(left, absenceGrace)); left > 0 && until.After(p.graceUntil) {
		p.graceUntil = until
	}
}

// Viewed records that the pools have all changes of the registry up to the given time.
func (p *Pools) Viewed(at boottime.Instant) { p.viewedAt.Store(int64(at)) }

// ViewAge returns the time since the registry was last known to be as the pools have it.
func (p *Pools) ViewAge() time.Duration { return viewAge(&p.viewedAt) }

func viewAge(viewedAt *atomic.Int64) time.Duration {
	return boottime.Since(boottime.Instant(viewedAt.Load()))
}

// Put adds or updates an endpoint from a registry record. It ignores a record that the
// registry listed before it removed the endpoint: a registry that was restored from an
// older copy lists it again, though the endpoint may have left.
func (p *Pools) Put(record Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if removed, ok := p.removed[record.ID]; ok {
		if !removed.record.older(record) {
			p.log.WithFields(logrus.Fields{
				"endpoint": record.ID, "born": record.Born, "sequence": record.Sequence, "removed_sequence": removed.record.Sequence,
			}).Info("endpoint not listed: its registration is older than its removal")
			return
		}
		delete(p.removed, record.ID)
	}
	delete(p.missing, record.ID)
	current := p.service(record.Service)
	if previous := p.poolByEndpoint[record.ID]; previous != nil && previous != current {
		previous.remove(record.ID)
	}
	p.poolByEndpoint[record.ID] = current
	if current.put(record) {
		p.log.WithFields(logrus.Fields{
			"endpoint": record.ID, "service": record.Service, "version": record.Version,
			"address": record.Address, "leaving": record.Leaving, "born": record.Born, "sequence": record.Sequence,
		}).Info("endpoint listed")
	}
}

// Remove drops an endpoint that the registry no longer lists. Within the grace
// period, the endpoint is kept as unlisted until the end of the period. It gets no
// request unless the registry lists no endpoint that may run it: the endpoint may have
// left as long ago as the registry was last read.
func (p *Pools) Remove(now time.Time, id platform.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.graceUntil) {
		p.missing[id] = struct{}{}
		p.markUnlisted(now, id)
		return
	}
	if record, ok := p.drop(id, "not listed any more"); ok {
		p.removed[id] = removal{record: record, at: now}
	}
}

// markUnlisted marks an endpoint that is kept although its registration is gone.
func (p *Pools) markUnlisted(now time.Time, id platform.EndpointID) {
	owner := p.poolByEndpoint[id]
	if owner == nil {
		return
	}
	owner.markUnlisted(id)
	p.log.WithFields(logrus.Fields{
		"endpoint": id, "view_age_ms": p.ViewAge().Milliseconds(), "kept_ms": p.graceUntil.Sub(now).Milliseconds(),
	}).Info("endpoint unlisted")
}

// Expire drops the endpoints that are still missing after the grace period, and forgets
// removals that are long past.
func (p *Pools) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.expire(now)
	maps.DeleteFunc(p.removed, func(_ platform.EndpointID, removed removal) bool {
		return now.Sub(removed.at) > removalMemory
	})
	if len(p.missing) == 0 || now.Before(p.graceUntil) {
		return
	}
	for id := range p.missing {
		// It may still run, and register again as before, so it is not remembered as removed
		// unless it was leaving.
		if record, ok := p.drop(id, "did not register again"); ok && record.Leaving {
			p.removed[id] = removal{record: record, at: now}
		}
	}
	clear(p.missing)
}

// drop removes an endpoint and returns its last record. It reports false if the endpoint
// was not known.
func (p *Pools) drop(id platform.EndpointID, reason string) (Record, bool) {
	owner := p.poolByEndpoint[id]
	if owner == nil {
		return Record{}, false
	}
	record := owner.remove(id)
	delete(p.poolByEndpoint, id)
	p.log.WithFields(logrus.Fields{
		"endpoint": id, "reason": reason, "view_age_ms": p.ViewAge().Milliseconds(),
	}).Info("endpoint removed")
	return record, true
}

// Count returns the number of endpoints that are not leaving.
func (p *Pools) Count() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	count := 0
	for _, service := range p.services {
		count += service.count()
	}
	return count
}

// Probes returns the endpoints of all services that are due for a probe.
func (p *Pools) Probes(now time.Time) []Probe {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var probes []Probe
	for _, service := range p.services {
		probes = append(probes, service.Probes(now)...)
	}
	return probes
}

// Snapshot is this instance's view of an endpoint.
type Snapshot struct {
	ID      platform.EndpointID `json:"id"`
	Service route.ServiceName   `json:"service"`
	Address string              `json:"address"`
	Zone    platform.Zone       `json:"zone"`
	Version string              `json:"version"`
	Leaving bool                `json:"leaving"`
	// Unlisted reports that the registry does not list the endpoint any more.
	Unlisted bool `json:"unlisted"`
	// InFlight counts this instance's requests at the endpoint. Load estimates
	// the requests of all instances.
	InFlight int     `json:"in_flight"`
	Load     float64 `json:"load"`
	// Failing is the moving average of the fraction of failed requests. Paused
	// reports that the endpoint must accept a connection before it gets requests.
	Failing float64 `json:"failing"`
	Paused  bool    `json:"paused"`
	// Evacuated reports that nothing may be sent to the endpoint because of its zone.
	Evacuated bool `json:"evacuated"`
	// ColdMillis is how much longer the endpoint takes only few requests, 0 if it is not cold.
	ColdMillis int64 `json:"cold_ms"`
}

// Snapshots returns this instance's view of all endpoints.
func (p *Pools) Snapshots() []Snapshot {
	p.mu.RLock()
	defer p.mu.RUnlock()
	snapshots := []Snapshot{}
	for _, service := range p.services {
		snapshots = append(snapshots, service.snapshots()...)
	}
	return snapshots
}

func (p *Pool) snapshots() []Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.estimateLoads(now)
	var snapshots []Snapshot
	for _, m := range p.members {
		snapshots = append(snapshots, Snapshot{
			ID: m.record.ID, Service: m.record.Service, Address: m.record.Address, Zone: m.record.Zone,
			Version: m.record.Version, Leaving: m.record.Leaving, Unlisted: m.unlisted, InFlight: m.inFlight, Load: m.load(),
			Failing: m.failureRate, Paused: m.probing, Evacuated: m.evacuated,
			ColdMillis: p.coldMillis(now, m),
		})
	}
	return snapshots
}
