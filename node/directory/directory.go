// Package directory knows the endpoints: who is listed, who is leaving, how
// loaded they are.
package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Directory is a view of the instance list. Its methods may be called from
// several goroutines.
type Directory struct {
	list     platform.InstanceList
	interval time.Duration

	mu      sync.RWMutex
	listing platform.InstanceListing
}

// New returns an empty directory that reads the list at the interval.
func New(list platform.InstanceList, interval time.Duration) *Directory {
	return &Directory{list: list, interval: interval}
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
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
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

// Usable returns the live endpoints of the pools.
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
