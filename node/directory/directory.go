// Package directory knows the endpoints: who is listed, who is leaving, how
// loaded they are and which prompt prefixes they hold.
package directory

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/wire/engine"
)

const (
	// listTimeout bounds one read of the instance list.
	listTimeout = 2 * time.Second
	// emptyListPatience is how long a list without any endpoint is taken for
	// one that lags.
	emptyListPatience = 2 * time.Second
	// loadTimeout bounds one load report.
	loadTimeout = time.Second
)

// Peers tells which instances share the work of polling.
type Peers interface {
	Self() membership.Peer
	Live() []membership.Peer
	Introduce(known membership.KnownPeer)
}

// Loader asks an endpoint for its load.
type Loader interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
}

// Config describes a directory.
type Config struct {
	List   platform.InstanceList
	Loader Loader
	Peers  Peers
	// ListInterval is the time between reads of the instance list,
	// LoadInterval that between polls of an endpoint's load.
	ListInterval time.Duration
	LoadInterval time.Duration
}

// Directory is what an instance knows of the endpoints. Its methods may be
// called from several goroutines.
type Directory struct {
	config Config

	mu        sync.RWMutex
	endpoints *membership.Endpoints
	instances int
	// listedSince is when the instance list first answered.
	listedSince time.Time

	loads    *placement.LoadTable
	prefixes *placement.PrefixIndex
	loaded   *loadedVersions
}

// New returns an empty directory.
func New(config Config) *Directory {
	return &Directory{
		config:    config,
		endpoints: membership.NewEndpoints(membership.EndpointsConfig{}),
		loads:     placement.NewLoadTable(),
		prefixes:  placement.NewPrefixIndex(placement.PrefixConfig{}),
		loaded:    newLoadedVersions(),
	}
}

// Usable returns the endpoints of the pools that may get new work.
func (d *Directory) Usable(pools ...platform.PoolName) []platform.ListedEndpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var usable []platform.ListedEndpoint
	for _, pool := range pools {
		for _, endpoint := range d.endpoints.Usable(pool) {
			usable = append(usable, endpoint.ListedEndpoint)
		}
	}
	return usable
}

// All returns all endpoints with what is believed of them.
func (d *Directory) All() []membership.Endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.endpoints.All()
}

// Listed reports whether the instance list has shown an endpoint, or has
// answered for a while without one: right after a start of everything it lags.
func (d *Directory) Listed() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.listedSince.IsZero() {
		return false
	}
	return len(d.endpoints.All()) > 0 || time.Since(d.listedSince) >= emptyListPatience
}

// Instances returns the number of instances that the list shows.
func (d *Directory) Instances() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.instances
}

// Occupancy returns the slots of a pool's usable endpoints, and the requests
// that were last reported to run or wait there.
func (d *Directory) Occupancy(now time.Time, pool platform.PoolName, slots int) (total, outstanding int) {
	for _, endpoint := range d.Usable(pool) {
		candidate := placement.Candidate{ID: endpoint.ID}
		d.loads.Fill(now, &candidate)
		total += slots
		outstanding += candidate.Running + candidate.Queued
	}
	return total, outstanding
}

// MayDispatch reports whether the endpoint may get new work now.
func (d *Directory) MayDispatch(endpoint platform.EndpointID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.endpoints.MayDispatch(endpoint)
}

// Candidate returns what placement needs to know of an endpoint.
func (d *Directory) Candidate(now time.Time, endpoint platform.ListedEndpoint, slots int, prefix []uint64) placement.Candidate {
	candidate := placement.Candidate{
		ID:           endpoint.ID,
		Zone:         endpoint.Zone,
		Address:      endpoint.Address,
		Slots:        slots,
		PrefixTokens: d.prefixes.Match(endpoint.ID, prefix),
	}
	d.loads.Fill(now, &candidate)
	return candidate
}

// Loads returns the table of loads.
func (d *Directory) Loads() *placement.LoadTable { return d.loads }

// PrefixHashes returns the hashes of the prompt's blocks.
func (d *Directory) PrefixHashes(prompt string) []uint64 {
	return placement.PrefixHashes(prompt, d.prefixes.BlockTokens())
}

// Dispatched notes a dispatch.
func (d *Directory) Dispatched(now time.Time, endpoint platform.EndpointID, prefix []uint64) {
	d.loads.Dispatched(now, endpoint)
	d.prefixes.Observe(endpoint, prefix)
}

// Finished notes the end of a dispatch; firstToken is 0 if there was none.
func (d *Directory) Finished(now time.Time, endpoint platform.EndpointID, firstToken time.Duration, failed bool) {
	d.loads.Finished(now, endpoint, firstToken, failed)
	d.mu.Lock()
	defer d.mu.Unlock()
	if failed {
		d.endpoints.Failed(now, endpoint)
		return
	}
	d.endpoints.Succeeded(now, endpoint)
}

// Refused looks at once whether an endpoint that refused work is leaving.
func (d *Directory) Refused(endpoint platform.ListedEndpoint) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		d.pollOne(ctx, endpoint)
	}()
}
