// Package directory maintains this instance's view of the endpoints: which are
// listed, which are leaving, their load, the model versions they have loaded and
// the prompt prefixes they have cached.
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
	// emptyListGrace is how long an instance list without any endpoint is
	// assumed to be incomplete.
	emptyListGrace = 2 * time.Second
	// loadTimeout bounds one round of load polls, and the poll after a refusal.
	loadTimeout = time.Second
)

// Peers provides the instances of the zone, which share the work of polling, and
// adds instances from the instance list.
type Peers interface {
	Self() membership.Peer
	Live() []membership.Peer
	AddUnconfirmed(known membership.KnownPeer)
}

// Loader requests load reports from endpoints.
type Loader interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
}

// Config configures a [Directory].
type Config struct {
	List   platform.InstanceList
	Loader Loader
	Peers  Peers
	// ListInterval is the time between reads of the instance list, LoadInterval
	// the time between polls of an endpoint's load.
	ListInterval time.Duration
	LoadInterval time.Duration
}

// Directory is an instance's view of the endpoints. It is safe for concurrent use.
type Directory struct {
	config Config

	mu              sync.RWMutex
	endpoints       *membership.Endpoints
	listedInstances int
	// listedSince is the time of the first successful read of the instance list.
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

// Usable returns the endpoints of the pools that may receive new work.
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

// All returns all endpoints with their states in this instance's view.
func (d *Directory) All() []membership.Endpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.endpoints.All()
}

// HasEndpointList reports whether the instance list contains an endpoint, or
// emptyListGrace has passed since its first successful read: just after all
// processes have started, the list is incomplete.
func (d *Directory) HasEndpointList() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.listedSince.IsZero() {
		return false
	}
	return len(d.endpoints.All()) > 0 || time.Since(d.listedSince) >= emptyListGrace
}

// ListedInstanceCount returns the number of instances in the last successful read of
// the instance list.
func (d *Directory) ListedInstanceCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.listedInstances
}

// Occupancy returns the total number of slots of a pool's usable endpoints, at the
// given number of slots per endpoint, and the number of requests running or queued
// there.
func (d *Directory) Occupancy(now time.Time, pool platform.PoolName, slots int) (total, outstanding int) {
	for _, endpoint := range d.Usable(pool) {
		candidate := placement.Candidate{ID: endpoint.ID}
		d.loads.Fill(now, &candidate)
		total += slots
		outstanding += candidate.Running + candidate.Queued
	}
	return total, outstanding
}

// MayDispatch reports whether the endpoint may receive new work now.
func (d *Directory) MayDispatch(endpoint platform.EndpointID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.endpoints.MayDispatch(endpoint)
}

// Candidate returns the placement candidate for an endpoint, with the endpoint's load
// and the estimated number of the prompt's tokens that the endpoint has cached.
// prefix holds the prompt's prefix hashes.
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

// Loads returns the table of the endpoints' load reports and dispatches.
func (d *Directory) Loads() *placement.LoadTable { return d.loads }

// PrefixHashes returns the prefix hashes of the prompt's blocks.
func (d *Directory) PrefixHashes(prompt string) []uint64 {
	return placement.PrefixHashes(prompt, d.prefixes.BlockTokens())
}

// RecordDispatch records that a prompt with the prefix hashes was dispatched to the
// endpoint.
func (d *Directory) RecordDispatch(now time.Time, endpoint platform.EndpointID, prefix []uint64) {
	d.loads.RecordDispatch(now, endpoint)
	d.prefixes.Observe(endpoint, prefix)
}

// RecordCompletion records the end of a dispatch. firstToken is the time to the first
// token, 0 if there was none.
func (d *Directory) RecordCompletion(now time.Time, endpoint platform.EndpointID, firstToken time.Duration, failed bool) {
	d.loads.RecordCompletion(now, endpoint, firstToken, failed)
	d.mu.Lock()
	defer d.mu.Unlock()
	if failed {
		d.endpoints.RecordFailure(now, endpoint)
		return
	}
	d.endpoints.RecordSuccess(now, endpoint)
}

// PollAfterRefusal starts a poll of an endpoint that refused work, because the
// endpoint may be leaving. It does not wait for the load report.
func (d *Directory) PollAfterRefusal(endpoint platform.ListedEndpoint) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		d.pollEndpoint(ctx, endpoint)
	}()
}
