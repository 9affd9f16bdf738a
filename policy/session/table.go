package session

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Table is an LRU cache of pin sets with a bounded size. It also expires pin
// sets that have not been used for the time to live. It is safe for concurrent
// use: each shard has its own lock.
type Table struct {
	ttl    time.Duration
	shards []*tableShard
}

type tableKey struct {
	account document.AccountID
	session ID
}

type tableRow struct {
	set      PinSet
	lastUsed time.Time
}

type tableShard struct {
	mu   sync.Mutex
	rows *simplelru.LRU[tableKey, *tableRow]
}

// NewTable returns an empty table of at most capacity pin sets, in at most the
// given number of shards. Numbers below 1 count as 1. A pin set that has not been used
// for ttl expires.
func NewTable(capacity, shards int, ttl time.Duration) *Table {
	shards = max(1, min(shards, capacity))
	perShard := max(1, capacity/shards)
	table := &Table{ttl: ttl, shards: make([]*tableShard, shards)}
	for i := range table.shards {
		// The constructor fails only for a size below 1.
		rows, _ := simplelru.NewLRU[tableKey, *tableRow](perShard, nil)
		table.shards[i] = &tableShard{rows: rows}
	}
	return table
}

// Lookup returns the pin set of a session and marks it as used. Callers must not
// modify the pins of the result.
func (t *Table) Lookup(account document.AccountID, session ID, now time.Time) (PinSet, bool) {
	key := tableKey{account: account, session: session}
	shard := t.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	row, ok := shard.get(key, now, t.ttl)
	if !ok {
		return PinSet{}, false
	}
	row.lastUsed = now
	return row.set, true
}

// Adopt merges a pin set with the recorded one of its session, if any, as
// [Merge] does. It records and returns the result. Callers must not modify the
// pins of the result.
func (t *Table) Adopt(set PinSet, now time.Time) PinSet {
	key := tableKey{account: set.Account, session: set.Session}
	shard := t.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	row, ok := shard.get(key, now, t.ttl)
	if !ok {
		row = &tableRow{set: set.clone(), lastUsed: now}
		shard.rows.Add(key, row)
		return row.set
	}
	row.lastUsed = now
	if Compare(set, row.set) < 0 {
		row.set = set.clone()
	}
	return row.set
}

// Sweep removes the expired pin sets and returns their number.
func (t *Table) Sweep(now time.Time) int {
	removed := 0
	for _, shard := range t.shards {
		removed += shard.sweep(now, t.ttl)
	}
	return removed
}

// Len returns the number of pin sets in the table.
func (t *Table) Len() int {
	length := 0
	for _, shard := range t.shards {
		shard.mu.Lock()
		length += shard.rows.Len()
		shard.mu.Unlock()
	}
	return length
}

func (t *Table) shard(key tableKey) *tableShard {
	hash := xxhash.Sum64String(string(key.session))
	return t.shards[hash%uint64(len(t.shards))]
}

// get returns the row of the key. It removes the row instead if it has expired.
func (s *tableShard) get(key tableKey, now time.Time, ttl time.Duration) (*tableRow, bool) {
	row, ok := s.rows.Get(key)
	if !ok {
		return nil, false
	}
	if now.Sub(row.lastUsed) > ttl {
		s.rows.Remove(key)
		return nil, false
	}
	return row, true
}

func (s *tableShard) sweep(now time.Time, ttl time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := 0
	for {
		_, row, ok := s.rows.GetOldest()
		if !ok || now.Sub(row.lastUsed) <= ttl {
			return removed
		}
		s.rows.RemoveOldest()
		removed++
	}
}
