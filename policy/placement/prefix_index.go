package placement

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// PrefixIndex estimates which prompt prefixes an endpoint holds in its cache.
// It is updated by this instance's dispatches and by the engines' cache events,
// and keeps the most recently used blocks of each endpoint. It is safe for
// concurrent use: each shard has its own lock.
type PrefixIndex struct {
	blockTokens int
	maxBlocks   int
	shards      [prefixShards]prefixShard
}

const prefixShards = 16

// Defaults of [PrefixConfig].
const (
	DefaultBlockTokens = 64
	DefaultMaxBlocks   = 1024
)

// PrefixConfig holds the block size of a [PrefixIndex] and its limit on blocks.
// Zero fields take the defaults.
type PrefixConfig struct {
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// MaxBlocks bounds the blocks kept for one endpoint.
	MaxBlocks int
}

type prefixShard struct {
	mu        sync.Mutex
	endpoints map[platform.EndpointID]*simplelru.LRU[uint64, struct{}]
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(cfg PrefixConfig) *PrefixIndex {
	index := &PrefixIndex{blockTokens: cfg.BlockTokens, maxBlocks: cfg.MaxBlocks}
	if index.blockTokens <= 0 {
		index.blockTokens = DefaultBlockTokens
	}
	if index.maxBlocks <= 0 {
		index.maxBlocks = DefaultMaxBlocks
	}
	for i := range index.shards {
		index.shards[i].endpoints = make(map[platform.EndpointID]*simplelru.LRU[uint64, struct{}])
	}
	return index
}

// BlockTokens returns the number of tokens in a block.
func (x *PrefixIndex) BlockTokens() int { return x.blockTokens }

// Observe records that the endpoint holds the blocks with the given hashes, which
// are in prompt order.
func (x *PrefixIndex) Observe(endpoint platform.EndpointID, hashes []uint64) {
	shard := x.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	blocks := x.blocks(shard, endpoint)
	// The first block is added last, so that it is evicted last: the later
	// blocks are useless without it.
	for i := len(hashes) - 1; i >= 0; i-- {
		blocks.Add(hashes[i], struct{}{})
	}
}

// Evict records that the endpoint no longer holds the blocks with the given
// hashes.
func (x *PrefixIndex) Evict(endpoint platform.EndpointID, hashes []uint64) {
	shard := x.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	blocks, ok := shard.endpoints[endpoint]
	if !ok {
		return
	}
	for _, hash := range hashes {
		blocks.Remove(hash)
	}
}

// Match returns the estimated number of tokens that the endpoint holds of the
// prompt with the given block hashes. The last known block determines the number:
// a block is useful only with all blocks before it, so engines evict from the
// end, and a missing block before a known one indicates a lost event.
func (x *PrefixIndex) Match(endpoint platform.EndpointID, hashes []uint64) int {
	shard := x.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	blocks, ok := shard.endpoints[endpoint]
	if !ok {
		return 0
	}
	cached := len(hashes)
	for cached > 0 && !blocks.Contains(hashes[cached-1]) {
		cached--
	}
	return cached * x.blockTokens
}

// Forget removes all blocks of an endpoint, for example after its restart.
func (x *PrefixIndex) Forget(endpoint platform.EndpointID) {
	shard := x.shard(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.endpoints, endpoint)
}

func (x *PrefixIndex) shard(endpoint platform.EndpointID) *prefixShard {
	return &x.shards[xxhash.Sum64String(string(endpoint))%prefixShards]
}

func (x *PrefixIndex) blocks(shard *prefixShard, endpoint platform.EndpointID) *simplelru.LRU[uint64, struct{}] {
	blocks, ok := shard.endpoints[endpoint]
	if ok {
		return blocks
	}
	blocks, err := simplelru.NewLRU[uint64, struct{}](x.maxBlocks, nil)
	if err != nil {
		panic(eris.Wrap(err, "placement: create the block cache of an endpoint"))
	}
	shard.endpoints[endpoint] = blocks
	return blocks
}
