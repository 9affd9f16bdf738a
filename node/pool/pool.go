// Package pool knows the endpoints of all services: what the registry says of
// them, what they told of their load, and what this instance saw of them. It
// chooses the endpoint of a request.
package pool

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Record is the registry's entry of an endpoint.
type Record struct {
	ID      platform.EndpointID
	Service route.ServiceName
	Address string
	Zone    platform.Zone
	// Version is the version of the endpoint's program.
	Version string
	Slots   int
	// Leaving endpoints take no new requests.
	Leaving bool
	// Born tells one lifetime of the endpoint from the next; later is greater.
	Born int64
	// Sequence numbers what the endpoint said in one lifetime.
	Sequence int64
}

// older reports whether the record was written before the other.
func (r Record) older(other Record) bool {
	if r.Born != other.Born {
		return r.Born < other.Born
	}
	return r.Sequence < other.Sequence
}

// absenceGrace is how long an endpoint that was removed while the registry was
// out of reach may take to register again.
const absenceGrace = 2 * time.Second

// Pools holds the endpoints of all services. Its methods may be called from
// several goroutines.
type Pools struct {
	zone platform.Zone
	log  *logrus.Entry

	mu       sync.RWMutex
	services map[route.ServiceName]*Pool
	homes    map[platform.EndpointID]*Pool
	// graceUntil is until when missing endpoints are kept.
	graceUntil time.Time
	missing    map[platform.EndpointID]struct{}
	onLongRead func(service, endpoint string, expected time.Duration)
}

// OnLongRead names a function that is told of each long prompt that this
// instance sends to an endpoint. It must be called before the first request.
func (p *Pools) OnLongRead(tell func(service, endpoint string, expected time.Duration)) {
	p.onLongRead = tell
}

// New returns pools without endpoints. zone is this instance's.
func New(zone platform.Zone, log *logrus.Entry) *Pools {
	return &Pools{
		zone:     zone,
		log:      log,
		services: make(map[route.ServiceName]*Pool),
		homes:    make(map[platform.EndpointID]*Pool),
		missing:  make(map[platform.EndpointID]struct{}),
	}
}

// Service returns the pool of a service.
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
	created := newPool(p.zone)
	created.onLongRead = func(endpoint platform.EndpointID, expected time.Duration) {
		if p.onLongRead != nil {
			p.onLongRead(string(name), string(endpoint), expected)
		}
	}
	p.services[name] = created
	return created
}

// Regained tells that the registry is in reach again after a time without it.
// Endpoints that are missing from now on may only have failed to renew.
func (p *Pools) Regained(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.graceUntil = now.Add(absenceGrace)
}

// Put takes in a record of the registry.
func (p *Pools) Put(record Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.missing, record.ID)
	home := p.service(record.Service)
	if former := p.homes[record.ID]; former != nil && former != home {
		former.remove(record.ID)
	}
	p.homes[record.ID] = home
	if home.put(record) {
		p.log.WithFields(logrus.Fields{
			"endpoint": record.ID, "service": record.Service, "version": record.Version,
			"address": record.Address, "leaving": record.Leaving, "born": record.Born,
		}).Info("endpoint listed")
	}
}

// Remove takes in that the registry no longer has an endpoint.
func (p *Pools) Remove(now time.Time, id platform.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.graceUntil) {
		p.missing[id] = struct{}{}
		return
	}
	p.drop(id, "not listed any more")
}

// Expire drops the endpoints that are still missing after the grace period.
func (p *Pools) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.missing) == 0 || now.Before(p.graceUntil) {
		return
	}
	for id := range p.missing {
		p.drop(id, "did not register again")
	}
	clear(p.missing)
}

func (p *Pools) drop(id platform.EndpointID, reason string) {
	home := p.homes[id]
	if home == nil {
		return
	}
	home.remove(id)
	delete(p.homes, id)
	p.log.WithFields(logrus.Fields{"endpoint": id, "reason": reason}).Info("endpoint removed")
}

// Count returns the number of endpoints that take requests.
func (p *Pools) Count() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	count := 0
	for _, service := range p.services {
		count += service.count()
	}
	return count
}

// Probes returns the endpoints of all services whose pause is over.
func (p *Pools) Probes(now time.Time) []Probe {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var probes []Probe
	for _, service := range p.services {
		probes = append(probes, service.Probes(now)...)
	}
	return probes
}

// Snapshot is an endpoint as this instance sees it.
type Snapshot struct {
	ID      platform.EndpointID `json:"id"`
	Service route.ServiceName   `json:"service"`
	Address string              `json:"address"`
	Zone    platform.Zone       `json:"zone"`
	Version string              `json:"version"`
	Leaving bool                `json:"leaving"`
	// InFlight counts this instance's requests there, and Load is the estimate
	// of all.
	InFlight int     `json:"in_flight"`
	Load     float64 `json:"load"`
	// Failing is the smoothed share of failed requests, and Paused tells that
	// it has to accept a connection first.
	Failing float64 `json:"failing"`
	Paused  bool    `json:"paused"`
}

// Snapshots returns all endpoints.
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
	var snapshots []Snapshot
	for _, m := range p.members {
		snapshots = append(snapshots, Snapshot{
			ID: m.record.ID, Service: m.record.Service, Address: m.record.Address, Zone: m.record.Zone,
			Version: m.record.Version, Leaving: m.record.Leaving, InFlight: m.inFlight, Load: m.load(),
			Failing: m.failing, Paused: m.probing,
		})
	}
	return snapshots
}
