package directory

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// maxSharedReportAge is the age above which a load report is not sent to peers.
	maxSharedReportAge = 3 * time.Second
	// maxReportsPerDigest bounds the endpoints whose loads are written to, or read
	// from, one digest.
	maxReportsPerDigest = 128
)

// Fill implements cluster.Gossip.
func (d *Directory) Fill(now time.Time, peer platform.InstanceID, digest *peerpb.Digest) {
	polled := d.polledIDs()
	for _, report := range d.loads.Snapshot(now, maxSharedReportAge) {
		if len(digest.Loads) == maxReportsPerDigest {
			break
		}
		load := encodeLoad(report, polled[report.Endpoint])
		if load == nil {
			continue
		}
		if load.Reported {
			load.Loaded, load.LoadedKnown = d.loaded.hashes(report.Endpoint)
		}
		digest.Loads = append(digest.Loads, load)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, sighting := range d.endpoints.SightingsFor(now, peer) {
		digest.Sightings = append(digest.Sightings, &peerpb.EndpointSighting{
			Endpoint: string(sighting.ID),
			Leaving:  sighting.Leaving,
			Dead:     sighting.Dead,
		})
	}
}

// encodeLoad encodes an endpoint's load for peers: the load report if this instance
// polls the endpoint, and the number of requests in flight from this instance. It
// returns nil if there is no report and the endpoint was not used recently.
func encodeLoad(report placement.LoadReport, polled bool) *peerpb.EndpointLoad {
	reported := polled && report.Reported
	if !reported && !report.RecentlyUsed {
		return nil
	}
	load := &peerpb.EndpointLoad{Endpoint: string(report.Endpoint), InFlight: uint32(report.InFlight)}
	if reported {
		load.Reported = true
		load.Running = uint32(report.Running)
		load.Queued = uint32(report.Queued)
		load.AgeMs = uint64(report.Age.Milliseconds())
	}
	return load
}

// HandleDigest implements cluster.Gossip.
func (d *Directory) HandleDigest(now time.Time, digest *peerpb.Digest) {
	for i, load := range digest.Loads {
		if i == maxReportsPerDigest {
			break
		}
		endpoint := platform.EndpointID(load.Endpoint)
		d.loads.RecordPeerInFlight(now, platform.InstanceID(digest.Instance), endpoint, int(load.InFlight), 0)
		if load.Reported {
			age := time.Duration(load.AgeMs) * time.Millisecond
			d.loads.RecordReport(now, endpoint, int(load.Running), int(load.Queued), age)
			if load.LoadedKnown {
				d.loaded.setHashes(endpoint, load.Loaded)
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, sighting := range digest.Sightings {
		d.endpoints.MergeSighting(now, platform.InstanceID(digest.Instance), membership.Sighting{
			ID:      platform.EndpointID(sighting.Endpoint),
			Leaving: sighting.Leaving,
			Dead:    sighting.Dead,
		})
	}
}
