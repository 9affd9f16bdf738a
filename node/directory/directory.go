// Package directory knows the endpoints: who is listed, who is leaving, how
// loaded they are and which prompt prefixes they hold.
package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/placement"
)

// listTimeout bounds one read of the instance list.
const listTimeout = 2 * time.Second

// Directory is what an instance knows of the endpoints. Its methods may be
// called from several goroutines.
type Directory struct {
	list     platform.InstanceList
	interval time.Duration

	mu      sync.RWMutex
	listing platform.InstanceListing

	loads    *placement.LoadTable
	prefixes *placement.PrefixIndex
}

// New returns an empty directory that reads the list at the interval.
func New(list platform.InstanceList, interval time.Duration) *Directory {
	return &Directory{
		list:     list,
		interval: interval,
		loads:    placement.NewLoadTable(),
		prefixes: placement.NewPrefixIndex(placement.PrefixConfig{}),
	}
}

// Run reads the list until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		d.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Directory) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := d.list.Listing(ctx)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if listing.Version > d.listing.Version {
		d.listing = listing
	}
}

// Usable returns the endpoints of the pools that may get new work.
func (d *Directory) Usable(pools ...platform.PoolName) []platform.ListedEndpoint {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var usable []platform.ListedEndpoint
	for _, endpoint := range d.listing.Endpoints {
		if endpoint.State == platform.ListedLive && slices.Contains(pools, endpoint.Pool) {
			usable = append(usable, endpoint)
		}
	}
	return usable
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
}
