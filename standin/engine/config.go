package engine

import (
	"time"

	"github.com/wigeonusher/wigeonusher/standin/endpoint"
)

// Defaults of a [Config].
const (
	DefaultSlots         = 8
	DefaultMaxQueue      = 256
	DefaultCacheBlocks   = 4096
	DefaultTokensPerStep = 4
)

// Profile is the quality and speed of a model version.
type Profile struct {
	// Quality is the share of good answers per task class, in [0, 1].
	Quality map[string]float64 `json:"quality,omitempty"`
	// OtherQuality is the share for classes that Quality lacks.
	OtherQuality float64 `json:"other_quality"`
	// FirstToken is the time to the first token of an empty prompt.
	FirstToken time.Duration `json:"first_token"`
	// PrefillPerToken is added per prompt token that is not in the cache.
	PrefillPerToken time.Duration `json:"prefill_per_token"`
	// PerToken is the time between tokens of a request that runs alone.
	PerToken time.Duration `json:"per_token"`
	// Crowding is the share, in [0, 1], by which a full batch slows tokens.
	Crowding float64 `json:"crowding"`
}

// DefaultProfile is the profile of versions without one of their own.
func DefaultProfile() Profile {
	return Profile{
		OtherQuality:    0.95,
		FirstToken:      5 * time.Millisecond,
		PrefillPerToken: 20 * time.Microsecond,
		PerToken:        500 * time.Microsecond,
		Crowding:        0.5,
	}
}

// Config sets an engine up. Zero fields take the defaults.
type Config struct {
	Seed uint64
	endpoint.Identity
	// Slots is the number of requests that run side by side.
	Slots int
	// MaxQueue bounds the requests that wait.
	MaxQueue int
	// Loaded lists the "model@version" that are loaded at the start.
	Loaded []string
	// Profiles holds the profiles by "model@version".
	Profiles map[string]Profile
	// ChecksFencing makes orders with an old fencing number fail.
	ChecksFencing bool
	// LoadTime is how long an order to load takes.
	LoadTime time.Duration
	// LoadLag is how old a load report may be.
	LoadLag time.Duration
	// CacheBlocks bounds the prefix cache, in blocks of [BlockBytes].
	CacheBlocks int
	// EventDelay is how late cache events are published.
	EventDelay time.Duration
	// EventGapRate is the share of cache events, in [0, 1], that are lost.
	EventGapRate float64
	Now          func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = DefaultCacheBlocks
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func (c Config) profile(ref string) Profile {
	if profile, ok := c.Profiles[ref]; ok {
		return profile
	}
	return DefaultProfile()
}
