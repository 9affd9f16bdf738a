package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rateWindow is the time constant of the averages of the usage.
	rateWindow = 2 * time.Second
	// peerLifetime and zoneLifetime are how long the usage that a peer or a zone has told counts.
	peerLifetime = 3 * time.Second
	zoneLifetime = 8 * time.Second
	// MaxUsageAccounts bounds the accounts of a usage: those with most of it.
	MaxUsageAccounts = 32
	// maxTellers bounds the peers, and the zones, whose usage is kept, and maxAccounts the accounts
	// of one table.
	maxTellers  = 64
	maxAccounts = 256
	// maxFigure bounds each figure of a peer, which may be malformed.
	maxFigure = 1e6
	// minRate is the least usage that is told, in endpoint seconds a second.
	minRate = 1e-3
	// ownDetail and zoneDetail are the least parts of a usage that are told. A request of an
	// instance that sees five a second is told for about four seconds.
	ownDetail  = 0.02
	zoneDetail = 0.001
)

// AccountHash identifies an account in a [Usage]. Accounts whose hashes are equal share their part.
func AccountHash(account string) uint32 { return uint32(xxhash.Sum64String(account)) }

// Usage is what one instance or one zone has been offered for a service lately.
type Usage struct {
	Service string
	// Admitted is in endpoint seconds a second, and Work the mean endpoint time of a request in
	// seconds, 0 if the teller has seen none.
	Admitted, Work float64
	Entries        []UsageEntry
}

// UsageEntry is the part of a [Usage] of one account and rank, in endpoint seconds a second. Kept is
// what has returned at a booked time.
type UsageEntry struct {
	Account       uint32
	Rank          uint8
	Offered, Kept float64
}

func (e UsageEntry) isValid() bool {
	return e.Rank < Ranks && e.Offered >= 0 && e.Offered < maxFigure && e.Kept >= 0 && e.Kept <= e.Offered
}

func (u Usage) isValid() bool {
	return u.Admitted >= 0 && u.Admitted < maxFigure && u.Work >= 0 && u.Work < maxFigure && len(u.Entries) <= MaxUsageAccounts*Ranks &&
		!slices.ContainsFunc(u.Entries, func(e UsageEntry) bool { return !e.isValid() })
}

// rates holds moving averages of this instance's usage.
type rates struct {
	updatedAt time.Time
	admitted  float64
	accounts  map[uint32]*demand
}

// add counts a request of the given expected endpoint time.
func (r *rates) add(now time.Time, entry UsageEntry, cost time.Duration, admitted, kept bool) {
	r.decay(now)
	rate := cost.Seconds() / rateWindow.Seconds()
	if admitted {
		r.admitted += rate
	}
	d := r.accounts[entry.Account]
	if d == nil {
		if len(r.accounts) >= maxAccounts {
			return
		}
		d = &demand{}
		r.accounts[entry.Account] = d
	}
	d.offered[entry.Rank] += rate
	if kept {
		d.kept[entry.Rank] += rate
	}
}

func (r *rates) decay(now time.Time) {
	elapsed := now.Sub(r.updatedAt)
	if elapsed <= 0 {
		return
	}
	r.updatedAt = now
	factor := math.Exp(-float64(elapsed) / float64(rateWindow))
	r.admitted *= factor
	for account, d := range r.accounts {
		for rank := range d.offered {
			d.offered[rank] *= factor
			d.kept[rank] *= factor
		}
		if d.total() < minRate {
			delete(r.accounts, account)
		}
	}
}

// told is the usage that a peer or a zone has told.
type told struct {
	usage Usage
	at    time.Time
}

// usageTable holds the usage of one service by this instance, by the peers of its zone and by the
// other zones.
type usageTable struct {
	own   rates
	peers map[string]told
	zones map[string]told
}

func newUsageTable() usageTable {
	return usageTable{
		own:   rates{accounts: make(map[uint32]*demand)},
		peers: make(map[string]told),
		zones: make(map[string]told),
	}
}

// fleetUsage is the sum of the known usage.
type fleetUsage struct {
	admitted float64
	demands  map[uint32]*demand
	tellers  int
}

func (t *usageTable) total(now time.Time) fleetUsage {
	sum := t.zoneTotal(now)
	for zone, told := range t.zones {
		if now.Sub(told.at) > zoneLifetime {
			delete(t.zones, zone)
			continue
		}
		sum.add(told.usage)
	}
	return sum
}

// zoneTotal adds up the usage of this instance and the peers of its zone.
func (t *usageTable) zoneTotal(now time.Time) fleetUsage {
	t.own.decay(now)
	sum := fleetUsage{admitted: t.own.admitted, demands: make(map[uint32]*demand), tellers: 1}
	for account, d := range t.own.accounts {
		copied := *d
		sum.demands[account] = &copied
	}
	for peer, told := range t.peers {
		if now.Sub(told.at) > peerLifetime {
			delete(t.peers, peer)
			continue
		}
		sum.add(told.usage)
	}
	return sum
}

func (s *fleetUsage) add(usage Usage) {
	s.tellers++
	s.admitted += usage.Admitted
	for _, entry := range usage.Entries {
		d := s.demands[entry.Account]
		if d == nil {
			if len(s.demands) >= maxAccounts {
				continue
			}
			d = &demand{}
			s.demands[entry.Account] = d
		}
		d.offered[entry.Rank] += entry.Offered
		d.kept[entry.Rank] += entry.Kept
	}
}

// newUsage returns the usage of the accounts with most of it, without parts that are less than the
// given part of all.
func newUsage(service string, admitted float64, demands map[uint32]*demand, detail float64) Usage {
	type total struct {
		account uint32
		offered float64
	}
	totals := make([]total, 0, len(demands))
	sum := 0.0
	for account, d := range demands {
		totals = append(totals, total{account, d.total()})
		sum += d.total()
	}
	slices.SortFunc(totals, func(a, b total) int {
		return cmp.Or(cmp.Compare(b.offered, a.offered), cmp.Compare(a.account, b.account))
	})
	usage := Usage{Service: service, Admitted: admitted}
	for _, most := range totals[:min(len(totals), MaxUsageAccounts)] {
		for rank, offered := range demands[most.account].offered {
			if offered >= max(minRate, detail*sum) {
				kept := min(offered, demands[most.account].kept[rank])
				usage.Entries = append(usage.Entries, UsageEntry{Account: most.account, Rank: uint8(rank), Offered: offered, Kept: kept})
			}
		}
	}
	return usage
}

// Usage returns what peers of the zone should know of this instance: the usage of the services
// whose room may become scarce.
func (f *Fleet) Usage(now time.Time) []Usage {
	var all []Usage
	for name, s := range f.services {
		if !s.toldSince.IsZero() {
			s.usage.own.decay(now)
			usage := newUsage(name, s.usage.own.admitted, s.usage.own.accounts, ownDetail)
			usage.Work = s.work.own()
			all = append(all, usage)
		}
	}
	return all
}

// ZoneUsage returns what other zones should know: the sums of this instance and the peers of its
// zone.
func (f *Fleet) ZoneUsage(now time.Time) []Usage {
	var all []Usage
	for name, s := range f.services {
		if !s.toldSince.IsZero() {
			sum := s.usage.zoneTotal(now)
			usage := newUsage(name, sum.admitted, sum.demands, zoneDetail)
			usage.Work = s.work.mean().Seconds()
			all = append(all, usage)
		}
	}
	return all
}

// Merge records the usage that a peer of the zone has told, which replaces its former one. It
// reports false, and changes nothing, if a figure is out of range.
func (f *Fleet) Merge(now time.Time, peer string, usage Usage) bool {
	if !usage.isValid() {
		return false
	}
	if s := f.services[usage.Service]; s != nil {
		record(s.usage.peers, peer, told{usage: usage, at: now})
		s.work.merge(usage.Work)
	}
	return true
}

// MergeZone records the sum of another zone, told the given time ago. It reports whether that is
// newer than what was known.
func (f *Fleet) MergeZone(now time.Time, zone string, usage Usage, age time.Duration) (isNew, valid bool) {
	if !usage.isValid() || age < 0 {
		return false, false
	}
	s := f.services[usage.Service]
	if s == nil || age > zoneLifetime {
		return false, true
	}
	at := now.Add(-age)
	if known, ok := s.usage.zones[zone]; ok && !at.After(known.at) {
		return false, true
	}
	record(s.usage.zones, zone, told{usage: usage, at: at})
	s.work.merge(usage.Work)
	return true, true
}

func record(table map[string]told, teller string, usage told) {
	if _, known := table[teller]; known || len(table) < maxTellers {
		table[teller] = usage
	}
}
