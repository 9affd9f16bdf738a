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
	// DemandExpiry is how long a peer's demands count after it was last heard.
	DemandExpiry time.Duration
	// DemandWindow is the time over which arrivals are averaged.
	DemandWindow time.Duration
	// MaxDemands bounds the demands told to peers in one digest.
	MaxDemands int
	// MaxInstances bounds the peers whose demands are kept.
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

// RetryUnknown is what callers of an account without a limit are told to wait.
const RetryUnknown = time.Second

const shardCount = 16

// Shares decides for one instance which requests are within their account's
// limit.
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

// New returns the shares of one instance, without any limit yet.
func New(self platform.InstanceID, cfg Config) *Shares {
	shares := &Shares{self: self, cfg: cfg.withDefaults(), seed: maphash.MakeSeed()}
	shares.peers = newPeerTable(shares.cfg)
	for i := range shares.shards {
		shares.shards[i].accounts = make(map[string]*account)
	}
	return shares
}

// SetLimits replaces the limits. Accounts that stay keep what they have used.
func (s *Shares) SetLimits(now time.Time, limits []Limit) {
	listed := make(map[string]Limit, len(limits))
	for _, limit := range limits {
		listed[limit.Account] = limit
	}
	s.dropUnlisted(listed)
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
		entry.share(now, group)
		shard.mu.Unlock()
	}
}

func (s *Shares) dropUnlisted(listed map[string]Limit) {
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

// Allow takes one request of the account. If it is over the limit, retryAfter
// says when this instance expects to have room for it, after those that it
// refused before. An account without a limit is refused.
func (s *Shares) Allow(now time.Time, name string) (ok bool, retryAfter time.Duration) {
	shard := s.shard(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, known := shard.accounts[name]
	if !known {
		return false, RetryUnknown
	}
	return entry.allow(now)
}

// HeardAll takes all demands of a peer, as its digest gives them; an empty
// digest counts as no demand. Demands of the instance itself are ignored.
func (s *Shares) HeardAll(now time.Time, instance platform.InstanceID, demands []Demand) {
	if instance == s.self {
		return
	}
	s.peers.heard(now, instance)
	for _, demand := range demands {
		demand.Instance = instance
		s.Heard(now, demand)
	}
}

// Heard takes one demand of a peer. Demands of the instance itself are ignored.
func (s *Shares) Heard(now time.Time, demand Demand) {
	if demand.Instance == s.self || !(demand.RequestsPerSecond >= 0) {
		return
	}
	s.peers.heard(now, demand.Instance)
	shard := s.shard(demand.Account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, known := shard.accounts[demand.Account]
	if known {
		entry.heard[demand.Instance] = heardDemand{at: now, rate: demand.RequestsPerSecond}
	}
}

// Demands returns this instance's own demands for its digest, the largest
// first, at most [Config.MaxDemands].
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
		if entry.demand >= minToldDemand {
			demands = append(demands, Demand{Instance: self, Account: name, RequestsPerSecond: entry.demand})
		}
	}
	return demands
}

// Tick recomputes the shares; call it a few times a second. LiveInstances is
// the number of instances, this one included, in the newest listing of the
// platform, however old that is.
func (s *Shares) Tick(now time.Time, liveInstances int) {
	s.peers.tick(now, liveInstances)
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
		entry.share(now, group)
	}
}

func (s *Shares) shard(name string) *shard {
	return &s.shards[maphash.String(s.seed, name)%shardCount]
}
