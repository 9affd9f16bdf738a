package engine

import (
	"time"

	"github.com/wigeonusher/wigeonusher/standin/endpoint"
)

// Defaults of a [Config], and the size of a stream chunk.
const (
	DefaultSlots       = 8
	DefaultMaxQueue    = 256
	DefaultCacheBlocks = 4096
	// TokensPerChunk is the maximum number of tokens in one chunk of a stream.
	TokensPerChunk = 4
)

// Profile is the quality and speed of a model version.
type Profile struct {
	// Quality is the probability of a good answer, in [0, 1], per task class.
	Quality map[string]float64 `json:"quality,omitempty"`
	// OtherQuality is the probability of a good answer for all other classes.
	OtherQuality float64 `json:"other_quality"`
	// FirstToken is the time to the first event of the answer to an empty prompt.
	FirstToken time.Duration `json:"first_token"`
	// PrefillPerToken is added to FirstToken per prompt token (word) that is not
	// in the prefix cache.
	PrefillPerToken time.Duration `json:"prefill_per_token"`
	// PerToken is the time to generate one token if no other request is running.
	PerToken time.Duration `json:"per_token"`
	// BatchSlowdown, in [0, 1], slows generation as the batch fills: n other running
	// requests multiply PerToken by 1 + BatchSlowdown * n / [Config.Slots].
	BatchSlowdown float64 `json:"crowding"`
}

// DefaultProfile returns the profile of the versions that [Config.Profiles] lacks.
func DefaultProfile() Profile {
	return Profile{
		OtherQuality:    0.95,
		FirstToken:      5 * time.Millisecond,
		PrefillPerToken: 20 * time.Microsecond,
		PerToken:        500 * time.Microsecond,
		BatchSlowdown:   0.5,
	}
}

// Config configures an engine. Zero fields take the defaults.
type Config struct {
	Seed uint64
	endpoint.Identity
	// Slots is the number of requests that run concurrently.
	Slots int
	// MaxQueue is the maximum number of requests that wait for a slot.
	MaxQueue int
	// Loaded lists the versions, as "model@version", that are loaded at the start.
	Loaded []string
	// Profiles maps "model@version" to its profile.
	Profiles map[string]Profile
	// ChecksFencing makes the engine reject orders whose fencing number is below
	// the highest one received for the same version.
	ChecksFencing bool
	// LoadTime is the time to load a model version.
	LoadTime time.Duration
	// LoadLag is the maximum age of a load report.
	LoadLag time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks of [BlockBytes].
	CacheBlocks int
	// EventDelay is the delay before a cache event becomes visible.
	EventDelay time.Duration
	// EventLossRate is the probability, in [0, 1], that a cache event is lost.
	EventLossRate float64
	Now           func() time.Time
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
