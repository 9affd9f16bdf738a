package entry

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/admit"
	"github.com/wigeonusher/wigeonusher/node/loop"
	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// Features are the functions that the platform's terms call for.
type Features struct {
	// FairAdmission shares the room of the endpoints among client accounts while it is scarce.
	FairAdmission bool
}

// initAdmission sets up the admission for the whole fleet.
func (e *Entry) initAdmission() {
	e.admission = admit.NewFleet(e.pools, e.log, e.observer.Count)
	e.applyFeatures(e.settings)
	e.cluster.AddGossip(&usageGossip{entry: e})
}

// applyFeatures turns on what the platform's terms call for, and off what they no longer do.
func (e *Entry) applyFeatures(settings Settings) {
	features := e.platform.Features(settings.Contracts)
	e.admission.SetEnabled(features.FairAdmission)
	e.pools.SetZoneAware(features.FairAdmission)
}

// runAdmission observes the room of the endpoints until the context ends.
func (e *Entry) runAdmission(ctx context.Context) error {
	return loop.Every(ctx, admit.ObserveInterval, e.admission.Observe)
}

const (
	// maxUsages bounds the usages in one digest of a peer, and maxUsageAge the age of one.
	maxUsages   = 64
	maxUsageAge = time.Minute
	// usageLogInterval is the shortest time between two log lines about malformed usages.
	usageLogInterval = time.Minute
)

// usageGossip is the [cluster.Gossip] of the usage by account. Peers of the zone are told this
// instance's, and peers of other zones the sum of the zone.
type usageGossip struct {
	entry *Entry
	// loggedAt is the Unix time in nanoseconds of the last log line about a malformed usage.
	loggedAt atomic.Int64
}

// Fill implements [cluster.Gossip].
func (g *usageGossip) Fill(now time.Time, peer platform.InstanceID, digest *peerpb.Digest) {
	fleet := g.entry.admission
	if !fleet.Enabled() {
		return
	}
	zone := string(g.entry.settings.Zone)
	if string(g.entry.cluster.ZoneOf(peer)) != zone {
		for _, usage := range fleet.ZoneUsage(now) {
			digest.Usage = append(digest.Usage, encodeUsage(usage, zone, 0))
		}
		return
	}
	own, relayed := fleet.Usage(now)
	for _, usage := range own {
		digest.Usage = append(digest.Usage, encodeUsage(usage, "", 0))
	}
	for _, sum := range relayed {
		digest.Usage = append(digest.Usage, encodeUsage(sum.Usage, sum.Zone, sum.Age))
	}
}

// HandleDigest implements [cluster.Gossip].
func (g *usageGossip) HandleDigest(now time.Time, digest *peerpb.Digest) {
	fleet := g.entry.admission
	if !fleet.Enabled() {
		return
	}
	ownZone := string(g.entry.settings.Zone)
	for _, encoded := range digest.Usage[:min(len(digest.Usage), maxUsages)] {
		usage, ok := decodeUsage(encoded)
		switch {
		case !ok:
		case encoded.Zone == "" && digest.Zone == ownZone:
			ok = fleet.Merge(now, digest.Instance, usage)
		case encoded.Zone != "" && encoded.Zone != ownZone:
			age := min(maxUsageAge, time.Duration(encoded.AgeMs)*time.Millisecond)
			ok = fleet.MergeZone(now, admit.RelayedUsage{Zone: encoded.Zone, Age: age, Usage: usage}, digest.Zone == ownZone)
		}
		if !ok {
			g.logMalformed(now, digest.Instance)
		}
	}
}

func (g *usageGossip) logMalformed(now time.Time, peer string) {
	last := g.loggedAt.Load()
	if now.UnixNano()-last >= int64(usageLogInterval) && g.loggedAt.CompareAndSwap(last, now.UnixNano()) {
		g.entry.log.WithField("peer", peer).Warn("usage told by a peer is malformed and was ignored")
	}
}

func encodeUsage(usage admission.Usage, zone string, age time.Duration) *peerpb.ServiceUsage {
	encoded := &peerpb.ServiceUsage{
		Service: usage.Service, Zone: zone, AgeMs: uint32(age.Milliseconds()),
		Admitted: encodeSeconds(usage.Admitted), WorkMs: encodeSeconds(usage.Work),
	}
	for _, entry := range usage.Entries {
		encoded.Accounts = append(encoded.Accounts, entry.Account)
		encoded.Ranks = append(encoded.Ranks, entry.Rank)
		encoded.Offered = append(encoded.Offered, encodeSeconds(entry.Offered))
		encoded.Kept = append(encoded.Kept, encodeSeconds(entry.Kept))
	}
	if !slices.ContainsFunc(encoded.Kept, func(kept uint32) bool { return kept > 0 }) {
		encoded.Kept = nil
	}
	return encoded
}

// encodeSeconds returns the seconds in milliseconds.
func encodeSeconds(seconds float64) uint32 {
	return uint32(min(math.MaxUint32, max(0, math.Round(seconds*1000))))
}

// decodeUsage decodes a usage. It reports false if its lists do not fit together.
func decodeUsage(encoded *peerpb.ServiceUsage) (admission.Usage, bool) {
	usage := admission.Usage{
		Service: encoded.Service, Admitted: float64(encoded.Admitted) / 1000, Work: float64(encoded.WorkMs) / 1000,
	}
	count := len(encoded.Accounts)
	if count > admission.MaxUsageAccounts*admission.Ranks || len(encoded.Ranks) != count || len(encoded.Offered) != count ||
		len(encoded.Kept) != count && len(encoded.Kept) != 0 {
		return usage, false
	}
	for i, account := range encoded.Accounts {
		entry := admission.UsageEntry{Account: account, Rank: encoded.Ranks[i], Offered: float64(encoded.Offered[i]) / 1000}
		if len(encoded.Kept) > 0 {
			entry.Kept = float64(encoded.Kept[i]) / 1000
		}
		usage.Entries = append(usage.Entries, entry)
	}
	return usage, true
}

// updateRoomGauges sets the gauges of the room. The services are not known at the start.
func (e *Entry) updateRoomGauges() {
	for _, state := range e.admission.States() {
		scarce := 0.0
		if state.Scarce {
			scarce = 1
		}
		for name, value := range map[string]float64{
			"slots": state.Slots, "busy": state.Busy, "waiting": state.Waiting, "scarce": scarce,
			"offered": state.Offered, "allowed": state.Allowed,
		} {
			e.observer.SetGauge(fmt.Sprintf(`wigeonusher_room_%s{service=%q}`, name, state.Service), value)
		}
	}
}
