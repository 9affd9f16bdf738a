package main

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
)

// begin writes the header that all answers of the store have, or ends the call by a reset while the
// store is away or the machine is partitioned from it.
func (v *view) begin(w http.ResponseWriter) {
	v.mu.Lock()
	era, isAway := v.era, v.isAway || v.isCut
	v.mu.Unlock()
	if isAway {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		panic(http.ErrAbortHandler)
	}
	if era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(era))
	}
}

// goAway makes the store reset every call, also those that wait.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = true
	s.wake()
}

// setCut partitions the machine from the store, or ends that.
func (v *view) setCut(isCut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isCut = isCut
	v.wake()
}

// wake wakes the reads that wait. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// backup returns a copy of all topics.
func (s *store) backup() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[string]*topic{}
	for name, t := range s.topics {
		copied[name] = &topic{records: slices.Clone(t.records), keys: slices.Clone(t.keys), newest: maps.Clone(t.newest)}
	}
	return copied
}

// comeBack ends the time away, with the topics of an older copy if there is one.
func (s *store) comeBack(backup map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = false
	if backup != nil {
		s.topics = backup
		s.era++
	}
	s.wake()
}
