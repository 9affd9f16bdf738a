// Package connections decides which client connections stay open when there are as many as the
// process may have. It is made for clients that open connections and leave them, or that never
// complete a header: they must not keep others from connecting.
package connections

import "time"

// Phase is what a connection is used for.
type Phase int

// Phases of a connection.
const (
	// Fresh: the connection has not carried a whole header yet.
	Fresh Phase = iota
	// Idle: the connection has carried a request and waits for the next one.
	Idle
	// Receiving: a request has begun to arrive, and is not complete.
	Receiving
	// Running: the connection carries a request that is run. It is never closed for another one: an
	// endpoint may be at work on the request.
	Running
)

// Connection is an open connection.
type Connection struct {
	address string
	phase   Phase
	since   time.Time
}

// Table holds the open connections. It is not safe for concurrent use.
type Table struct {
	limit     int
	byAddress map[string]map[*Connection]struct{}
	count     int
	running   int
	// refusedAt is when an address without a connection was last refused one.
	refusedAt time.Time
}

// NewTable returns a table for the given number of connections.
func NewTable(limit int) *Table {
	return &Table{limit: limit, byAddress: make(map[string]map[*Connection]struct{})}
}

// SetLimit changes the number of connections. Open ones stay open.
func (t *Table) SetLimit(limit int) { t.limit = limit }

// Limit returns the number of connections that may be open.
func (t *Table) Limit() int { return t.limit }

// Running returns the number of connections whose request is run.
func (t *Table) Running() int { return t.running }

// Count returns the number of open connections.
func (t *Table) Count() int { return t.count }

// CountOf returns the number of open connections of an address.
func (t *Table) CountOf(address string) int { return len(t.byAddress[address]) }

// Open adds a connection of an address. If the table is full, another connection is removed, which
// the caller has to close, or the new one is not admitted and nil is returned for it. The one to
// remove belongs to the address that holds the most: one that carries no request if there is one,
// otherwise the newcomer loses unless its address holds far less. One whose request is run stays.
func (t *Table) Open(now time.Time, address string) (opened, removed *Connection) {
	if t.count >= t.limit {
		if removed = t.choose(address); removed == nil {
			if len(t.byAddress[address]) == 0 {
				t.refusedAt = now
			}
			return nil, nil
		}
		t.Close(removed)
	}
	opened = &Connection{address: address, since: now}
	group := t.byAddress[address]
	if group == nil {
		group = make(map[*Connection]struct{})
		t.byAddress[address] = group
	}
	group[opened] = struct{}{}
	t.count++
	return opened, removed
}

// Close removes a connection.
func (t *Table) Close(c *Connection) {
	group := t.byAddress[c.address]
	if _, ok := group[c]; !ok {
		return
	}
	delete(group, c)
	t.count--
	t.countRunning(c, -1)
	if len(group) == 0 {
		delete(t.byAddress, c.address)
	}
}

// SetPhase records for what the connection is used from now on. [Table.Run] sets Running.
func (t *Table) SetPhase(now time.Time, c *Connection, phase Phase) {
	if _, ok := t.byAddress[c.address][c]; ok && c.phase != phase {
		t.countRunning(c, -1)
		c.phase, c.since = phase, now
		t.countRunning(c, 1)
	}
}

func (t *Table) countRunning(c *Connection, change int) {
	if c.phase == Running {
		t.running += change
	}
}

// Decision says whether the request of a connection may run.
type Decision int

// Values of [Decision].
const (
	// Admitted: the request may run, and its connection stays open.
	Admitted Decision = iota
	// Removed: the connection was removed for another one, so the answer would not reach the client.
	Removed
	// OverShare: what is left is kept for the connections of other addresses.
	OverShare
)

// While several addresses want connections, the last part of the table, one in reserveDivisor, carries
// no requests of an address that runs more than one in shareDivisor of all: such a client must not keep
// others out with requests that take long. An address that was refused counts for contention.
const (
	reserveDivisor = 16
	shareDivisor   = 4
	contention     = 10 * time.Second
)

// Run decides whether a request that has arrived whole may run, and keeps its connection open if so.
func (t *Table) Run(now time.Time, c *Connection) Decision {
	group := t.byAddress[c.address]
	if _, ok := group[c]; !ok {
		return Removed
	}
	isShared := len(t.byAddress) > 1 || now.Sub(t.refusedAt) < contention
	if isShared && t.running >= t.limit-t.limit/reserveDivisor && t.runningOf(group) > t.limit/shareDivisor {
		return OverShare
	}
	t.SetPhase(now, c, Running)
	return Admitted
}

func (t *Table) runningOf(group map[*Connection]struct{}) (count int) {
	for c := range group {
		if c.phase == Running {
			count++
		}
	}
	return count
}

// farLess is how many times as many connections the largest address must hold as the newcomer's, for
// a connection whose request is still arriving to be closed for the newcomer.
const farLess = 4

// choose returns the connection to remove for a newcomer of the address, nil if it is not admitted.
func (t *Table) choose(newcomer string) *Connection {
	largest, mostFree := "", ""
	for address, group := range t.byAddress {
		if len(group) > len(t.byAddress[largest]) {
			largest = address
		}
		if (mostFree == "" || len(group) > len(t.byAddress[mostFree])) && oldest(group, Idle) != nil {
			mostFree = address
		}
	}
	if victim := oldest(t.byAddress[largest], Idle); victim != nil {
		return victim
	}
	if len(t.byAddress[largest]) > farLess*(len(t.byAddress[newcomer])+1) {
		if victim := oldest(t.byAddress[largest], Receiving); victim != nil {
			return victim
		}
	}
	// The idle connections of another address lose only to one that holds less.
	if mostFree != "" && len(t.byAddress[mostFree]) > len(t.byAddress[newcomer]) {
		return oldest(t.byAddress[mostFree], Idle)
	}
	return nil
}

// oldest returns the connection that comes first in the order of its phase, and has been in it
// longest; nil if none is in the given phase or an earlier one.
func oldest(group map[*Connection]struct{}, last Phase) *Connection {
	var found *Connection
	for c := range group {
		if c.phase > last {
			continue
		}
		if found == nil || c.phase < found.phase || c.phase == found.phase && c.since.Before(found.since) {
			found = c
		}
	}
	return found
}
