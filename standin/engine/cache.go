package engine

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wigeonusher/wigeonusher/standin/faults"
)

// Units of the prefix cache.
const (
	// BlockBytes is the number of prompt bytes in one block.
	BlockBytes = 256
	// BytesPerToken is the number of bytes that count as one token in a
	// [CacheEvent].
	BytesPerToken = 4
)

const (
	hexBase       = 16
	maxPageEvents = 1000
	maxEvents     = 100_000
)

// CacheEvent reports that the engine stored or evicted the KV cache of a prefix.
type CacheEvent struct {
	// Prefix is the hexadecimal xxHash64 of the first Tokens * [BytesPerToken]
	// bytes of the prompt. The prompt is the concatenation, over all messages,
	// of the role, a newline, the content and a newline.
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Stored bool   `json:"stored"`
}

// delayedEvent is an event that readers see from visibleAt on.
type delayedEvent struct {
	event     CacheEvent
	visibleAt time.Time
}

// block identifies the prefix of a prompt that ends with the block. The hash
// and the length cover the whole prefix.
type block struct {
	hash  uint64
	bytes int
}

// prefixCache is an LRU cache of the prompt prefixes that the engine computed.
type prefixCache struct {
	mu      sync.Mutex
	blocks  *lru.Cache[uint64, int]
	events  []delayedEvent
	dropped uint64 // number of events removed from the front of events
	config  Config
	faults  *faults.Injector
}

func newPrefixCache(config Config, faults *faults.Injector) *prefixCache {
	cache := &prefixCache{config: config, faults: faults}
	blocks, err := lru.NewWithEvict(config.CacheBlocks, func(hash uint64, bytes int) {
		cache.publish(block{hash: hash, bytes: bytes}, false)
	})
	if err != nil {
		panic(err) // only a size below 1 fails, and withDefaults replaces 0
	}
	cache.blocks = blocks
	return cache
}

// store adds the blocks of the prompt and returns the length, in bytes, of the
// longest prefix that was cached before the call.
func (c *prefixCache) store(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedBytes := 0
	contiguous := true
	for _, b := range promptBlocks(prompt) {
		_, found := c.blocks.Get(b.hash)
		if contiguous = contiguous && found; contiguous {
			cachedBytes = b.bytes
		}
		if !found {
			c.blocks.Add(b.hash, b.bytes)
			c.publish(b, true)
		}
	}
	return cachedBytes
}

// publish appends an event, or loses it with probability EventLossRate. The
// caller holds c.mu.
func (c *prefixCache) publish(b block, stored bool) {
	if c.faults.Draw(c.config.EventLossRate) {
		return
	}
	event := CacheEvent{Prefix: strconv.FormatUint(b.hash, hexBase), Tokens: b.bytes / BytesPerToken, Stored: stored}
	c.events = append(c.events, delayedEvent{event: event, visibleAt: c.config.Now().Add(c.config.EventDelay)})
	if len(c.events) > maxEvents {
		drop := len(c.events) - maxEvents/2
		c.events = append([]delayedEvent(nil), c.events[drop:]...)
		c.dropped += uint64(drop)
	}
}

type eventPage struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// page returns the visible events from the cursor on, at most maxPageEvents.
func (c *prefixCache) page(cursor uint64) eventPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := max(cursor, c.dropped) - c.dropped
	start = min(start, uint64(len(c.events)))
	page := eventPage{Events: []CacheEvent{}, Next: c.dropped + start}
	now := c.config.Now()
	for _, entry := range c.events[start:] {
		if entry.visibleAt.After(now) || len(page.Events) == maxPageEvents {
			break
		}
		page.Events = append(page.Events, entry.event)
		page.Next++
	}
	return page
}

// promptBlocks returns the prefixes of the prompt that end on a block boundary.
// The rest of the prompt, shorter than a block, is ignored.
func promptBlocks(prompt string) []block {
	count := len(prompt) / BlockBytes
	blocks := make([]block, 0, count)
	digest := xxhash.New()
	for i := range count {
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		blocks = append(blocks, block{hash: digest.Sum64(), bytes: (i + 1) * BlockBytes})
	}
	return blocks
}
