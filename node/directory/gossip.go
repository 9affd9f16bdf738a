package directory

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// maxReportAge is the age above which a report is not passed on.
	maxReportAge = 3 * time.Second
	// maxReports bounds the reports of one digest.
	maxReports = 128
)

// Fill implements cluster.Gossip.
func (d *Directory) Fill(now time.Time, digest *peerpb.Digest) {
	for i, report := range d.loads.Snapshot(now, maxReportAge) {
		if i == maxReports {
			break
		}
		digest.Loads = append(digest.Loads, &peerpb.EndpointLoad{
			Endpoint: string(report.Endpoint),
			Running:  uint32(report.Running),
			Queued:   uint32(report.Queued),
			AgeMs:    uint64(report.Age.Milliseconds()),
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, sighting := range d.endpoints.Sightings(now) {
		digest.Sightings = append(digest.Sightings, &peerpb.EndpointSighting{
			Endpoint: string(sighting.ID),
			Leaving:  sighting.Leaving,
			Dead:     sighting.Dead,
		})
	}
}

// Heard implements cluster.Gossip.
func (d *Directory) Heard(now time.Time, digest *peerpb.Digest) {
	for i, load := range digest.Loads {
		if i == maxReports {
			break
		}
		age := time.Duration(load.AgeMs) * time.Millisecond
		d.loads.Report(now, platform.EndpointID(load.Endpoint), int(load.Running), int(load.Queued), age)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, sighting := range digest.Sightings {
		d.endpoints.Sighted(now, platform.EndpointID(sighting.Endpoint), sighting.Leaving, sighting.Dead)
	}
}
