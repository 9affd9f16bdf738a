package quota

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Config holds the settings of [Shares]. Zero fields take the defaults.
type Config struct {
	// DemandExpiry is how long a peer's digest and its demands count after they
	// were received.
	DemandExpiry time.Duration
	// DemandWindow is the time constant of the moving average of arrivals.
	DemandWindow time.Duration
	// MaxDemands bounds the demands in one digest.
	MaxDemands int
	// MaxInstances bounds the number of peers whose digests are counted.
	MaxInstances int
}

// Defaults of [Config].
const (
	DefaultDemandExpiry = 5 * time.Second
	DefaultDemandWindow = time.Second
	DefaultMaxDemands   = 256
	DefaultMaxInstances = 1024
)

func (c Config) withDefaults() Config {
	if c.DemandExpiry <= 0 {
		c.DemandExpiry = DefaultDemandExpiry
	}
	if c.DemandWindow <= 0 {
		c.DemandWindow = DefaultDemandWindow
	}
	if c.MaxDemands <= 0 {
		c.MaxDemands = DefaultMaxDemands
	}
	if c.MaxInstances <= 0 {
		c.MaxInstances = DefaultMaxInstances
	}
	return c
}

// UnknownAccountRetryAfter is the retry delay for requests of an account without
// a limit.
const UnknownAccountRetryAfter = time.Second

const shardCount = 16

// Shares decides which requests of one instance are within its share of their
// account's limit.
type Shares struct {
	self   platform.InstanceID
	cfg    Config
	seed   maphash.Seed
	peers  peerTable
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// New returns the shares of one instance, without any limits.
func New(self platform.InstanceID, cfg Config) *Shares {
	shares := &Shares{self: self, cfg: cfg.withDefaults(), seed: maphash.MakeSeed()}
	shares.peers = newPeerTable(shares.cfg)
	for i := range shares.shards {
		shares.shards[i].accounts = make(map[string]*account)
	}
	return shares
}

// SetLimits replaces the limits. Accounts that remain keep the state of their
// buckets.
func (s *Shares) SetLimits(now time.Time, limits []Limit) {
	listed := make(map[string]Limit, len(limits))
	for _, limit := range limits {
		listed[limit.Account] = limit
	}
	s.removeUnlisted(listed)
	group := s.peers.group(now)
	for name, limit := range listed {
		shard := s.shard(name)
		shard.mu.Lock()
		entry, ok := shard.accounts[name]
		if !ok {
			entry = newAccount(now, limit)
			shard.accounts[name] = entry
		}
		entry.limit = limit
		entry.updateShare(now, group)
		shard.mu.Unlock()
	}
}

// removeUnlisted removes the accounts without a limit.
func (s *Shares) removeUnlisted(listed map[string]Limit) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for name := range shard.accounts {
			if _, ok := listed[name]; !ok {
				delete(shard.accounts, name)
			}
		}
		shard.mu.Unlock()
	}
}

// Allow reports whether a request of the account is within this instance's share
// of the limit, and counts the request as demand in either case. If the request is
// refused, retryAfter is the time until this instance expects to allow it, at most
// 30 s, assuming that earlier refused requests are retried first. Requests of an
// account without a limit are refused and not counted.
func (s *Shares) Allow(now time.Time, name string) (ok bool, retryAfter time.Duration) {
	shard := s.shard(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, known := shard.accounts[name]
	if !known {
		return false, UnknownAccountRetryAfter
	}
	return entry.allow(now)
}

// HandleDemands records a digest of a peer with all its demands. A digest without
// demands still counts the peer. Digests of this instance are ignored.
func (s *Shares) HandleDemands(now time.Time, instance platform.InstanceID, demands []Demand) {
	if instance == s.self {
		return
	}
	s.peers.recordDigest(now, instance)
	for _, demand := range demands {
		demand.Instance = instance
		s.HandleDemand(now, demand)
	}
}

// HandleDemand records one demand of a peer and counts the peer as one with a
// digest. Demands of this instance are ignored, and so are negative or NaN rates.
func (s *Shares) HandleDemand(now time.Time, demand Demand) {
	if demand.Instance == s.self || !(demand.RequestsPerSecond >= 0) {
		return
	}
	s.peers.recordDigest(now, demand.Instance)
	shard := s.shard(demand.Account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, known := shard.accounts[demand.Account]
	if known {
		entry.peerDemands[demand.Instance] = peerDemand{receivedAt: now, rate: demand.RequestsPerSecond}
	}
}

// Demands returns the demands of this instance for its digest, the highest
// first, at most [Config.MaxDemands]. Demands below minReportedDemand are omitted.
func (s *Shares) Demands(now time.Time) []Demand {
	var demands []Demand
	for i := range s.shards {
		demands = s.shards[i].demands(s.self, demands)
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond), cmp.Compare(a.Account, b.Account))
	})
	return demands[:min(len(demands), s.cfg.MaxDemands)]
}

func (s *shard) demands(self platform.InstanceID, demands []Demand) []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, entry := range s.accounts {
		if entry.demand >= minReportedDemand {
			demands = append(demands, Demand{Instance: self, Account: name, RequestsPerSecond: entry.demand})
		}
	}
	return demands
}

// Tick recomputes the shares. The caller should call it a few times a second.
// The parameter listedInstances is the number of instances, including this one,
// in the newest list of the platform, however old that list is.
func (s *Shares) Tick(now time.Time, listedInstances int) {
	s.peers.tick(now, listedInstances)
	group := s.peers.group(now)
	for i := range s.shards {
		s.shards[i].tick(now, group, s.cfg)
	}
}

func (s *shard) tick(now time.Time, group group, cfg Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.accounts {
		entry.measure(now, cfg.DemandWindow)
		entry.expire(now, cfg.DemandExpiry)
		entry.updateShare(now, group)
	}
}

func (s *Shares) shard(name string) *shard {
	return &s.shards[maphash.String(s.seed, name)%shardCount]
}
