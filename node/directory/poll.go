package directory

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/policy/placement"
)

// RunList reads the instance list until the context ends.
func (d *Directory) RunList(ctx context.Context) error {
	return loop.Every(ctx, d.config.ListInterval, func(time.Time) { d.readList(ctx) })
}

// RunLoads polls the loads of this instance's share of the zone's endpoints until
// the context ends.
func (d *Directory) RunLoads(ctx context.Context) error {
	return loop.Every(ctx, d.config.LoadInterval, func(time.Time) { d.pollLoads(ctx) })
}

func (d *Directory) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := d.config.List.Listing(ctx)
	now := time.Now()
	if err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.endpoints.Tick(now)
		return
	}
	d.mu.Lock()
	d.endpoints.MergeListing(now, listing)
	if d.listedSince.IsZero() {
		d.listedSince = now
	}
	d.listedInstances = len(listing.Instances)
	d.mu.Unlock()
	d.evictUnlisted()
	for _, instance := range listing.Instances {
		d.config.Peers.AddUnconfirmed(membership.KnownPeer{ID: instance.ID, Zone: instance.Zone, Address: instance.Address})
	}
}

// evictUnlisted evicts the loaded versions of endpoints that are no longer known.
func (d *Directory) evictUnlisted() {
	present := map[platform.EndpointID]bool{}
	for _, endpoint := range d.All() {
		present[endpoint.ID] = true
	}
	d.loaded.retain(func(id platform.EndpointID) bool { return present[id] })
}

// pollLoads concurrently polls this instance's share of the zone's endpoints, and
// waits for the load reports.
func (d *Directory) pollLoads(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, endpoint := range d.polledEndpoints() {
		group.Go(func() { d.pollEndpoint(ctx, endpoint.ListedEndpoint) })
	}
	group.Wait()
}

// polledIDs returns the IDs of the endpoints that this instance polls.
func (d *Directory) polledIDs() map[platform.EndpointID]bool {
	polled := map[platform.EndpointID]bool{}
	for _, endpoint := range d.polledEndpoints() {
		polled[endpoint.ID] = true
	}
	return polled
}

// polledEndpoints returns the endpoints of this zone that this instance polls. An
// endpoint that is leaving in this instance's view is not polled.
func (d *Directory) polledEndpoints() []membership.Endpoint {
	self := d.config.Peers.Self()
	byID := map[platform.EndpointID]membership.Endpoint{}
	var ids []platform.EndpointID
	for _, endpoint := range d.All() {
		if endpoint.Zone == self.Zone && endpoint.LocalState != membership.EndpointLeaving {
			byID[endpoint.ID] = endpoint
			ids = append(ids, endpoint.ID)
		}
	}
	var peers []platform.InstanceID
	for _, peer := range d.config.Peers.Live() {
		peers = append(peers, peer.ID)
	}
	var share []membership.Endpoint
	for _, id := range placement.OwnedEndpoints(self.ID, peers, ids) {
		share = append(share, byID[id])
	}
	return share
}

func (d *Directory) pollEndpoint(ctx context.Context, endpoint platform.ListedEndpoint) {
	sent := time.Now()
	report, err := d.config.Loader.Load(ctx, endpoint.Address)
	now := time.Now()
	if err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.endpoints.RecordFailure(now, endpoint.ID)
		return
	}
	if report.ID != "" && report.ID != string(endpoint.ID) {
		return
	}
	age := now.Sub(sent)
	if report.ReportedUnixMillis > 0 {
		age = max(age, now.Sub(time.UnixMilli(report.ReportedUnixMillis)))
	}
	d.loads.RecordReport(now, endpoint.ID, report.Running, report.Queued, age)
	if report.Loaded != nil {
		d.loaded.setRefs(endpoint.ID, report.Loaded)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints.RecordSuccess(now, endpoint.ID)
	if report.Leaving {
		d.endpoints.MarkLeaving(endpoint.ID)
	}
}
