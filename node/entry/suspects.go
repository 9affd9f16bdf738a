package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/node/relay"
)

const (
	// suspectMemory is how long a request that crashed endpoints is remembered,
	// and maxSuspects how many are.
	suspectMemory = 5 * time.Minute
	maxSuspects   = 4096
	// refusedCrashes is the number of crashes after which a request is refused.
	// Two endpoints may crash by themselves at about the same time.
	refusedCrashes = 3
	// probeAfter is how long a crashed endpoint takes to refuse connections.
	probeAfter = 20 * time.Millisecond
)

// suspects counts the endpoints that a request crashed.
type suspects struct {
	mu      sync.Mutex
	crashes *expirable.LRU[uint64, int]
	reach   relay.Reach
	tell    func(fingerprint uint64)
	log     *logrus.Entry
}

// newSuspects returns suspects that tell the peers of each crash.
func newSuspects(reach relay.Reach, tell func(fingerprint uint64), log *logrus.Entry) *suspects {
	return &suspects{
		crashes: expirable.NewLRU[uint64, int](maxSuspects, nil, suspectMemory), reach: reach, tell: tell, log: log,
	}
}

// Refused implements [relay.Suspects].
func (s *suspects) Refused(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes, _ := s.crashes.Peek(fingerprint)
	return crashes >= refusedCrashes
}

// Crashed implements [relay.Suspects]. An endpoint that still accepts
// connections lost an answer and has not crashed.
func (s *suspects) Crashed(fingerprint uint64, address string) {
	go func() {
		time.Sleep(probeAfter)
		if !s.reach.Reachable(context.Background(), address) {
			s.count(fingerprint, address)
		}
	}()
}

func (s *suspects) count(fingerprint uint64, address string) {
	crashes := s.add(fingerprint)
	s.tell(fingerprint)
	s.log.WithFields(logrus.Fields{
		"fingerprint": fingerprint, "address": address, "crashes": crashes, "refused": crashes >= refusedCrashes,
	}).Warn("endpoint crashed while it ran a request")
}

// add counts a crash that this instance or a peer saw.
func (s *suspects) add(fingerprint uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes, _ := s.crashes.Peek(fingerprint)
	s.crashes.Add(fingerprint, crashes+1)
	return crashes + 1
}
