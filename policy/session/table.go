package session

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Table remembers births. It holds a bounded number of them and drops those
// not used for longest, and those not used for the time to live. It is safe
// for concurrent use: each shard has a lock of its own.
type Table struct {
	ttl    time.Duration
	shards []*tableShard
}

type tableKey struct {
	account document.AccountID
	session ID
}

type tableRow struct {
	birth Birth
	used  time.Time
}

type tableShard struct {
	mu   sync.Mutex
	rows *simplelru.LRU[tableKey, *tableRow]
}

// NewTable returns an empty table of at most capacity births, in the given
// number of shards. Both must be at least 1. A birth not used for ttl is
// forgotten.
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

// Lookup returns the birth of a session and marks it as used.
func (t *Table) Lookup(account document.AccountID, session ID, now time.Time) (Birth, bool) {
	key := tableKey{account: account, session: session}
	shard := t.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	row, ok := shard.live(key, now, t.ttl)
	if !ok {
		return Birth{}, false
	}
	row.used = now
	return row.birth, true
}

// Adopt records the birth and returns the one that the session has: an
// earlier birth, if the table holds one, or else this one. See [Compare].
// Callers must not modify the pins of the result.
func (t *Table) Adopt(birth Birth, now time.Time) Birth {
	key := tableKey{account: birth.Account, session: birth.Session}
	shard := t.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	row, ok := shard.live(key, now, t.ttl)
	if !ok {
		row = &tableRow{birth: birth.clone(), used: now}
		shard.rows.Add(key, row)
		return row.birth
	}
	row.used = now
	if Compare(birth, row.birth) < 0 {
		row.birth = birth.clone()
	}
	return row.birth
}

// Sweep forgets the births not used for the time to live and returns how many
// it forgot.
func (t *Table) Sweep(now time.Time) int {
	forgotten := 0
	for _, shard := range t.shards {
		forgotten += shard.sweep(now, t.ttl)
	}
	return forgotten
}

// Len returns the number of births held.
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

// live returns the row of the key unless its time to live has passed.
func (s *tableShard) live(key tableKey, now time.Time, ttl time.Duration) (*tableRow, bool) {
	row, ok := s.rows.Get(key)
	if !ok {
		return nil, false
	}
	if now.Sub(row.used) > ttl {
		s.rows.Remove(key)
		return nil, false
	}
	return row, true
}

func (s *tableShard) sweep(now time.Time, ttl time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	forgotten := 0
	for {
		_, row, ok := s.rows.GetOldest()
		if !ok || now.Sub(row.used) <= ttl {
			return forgotten
		}
		s.rows.RemoveOldest()
		forgotten++
	}
}
