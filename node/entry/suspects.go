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
	// suspectTTL is how long the crash count of a request is kept after its last
	// crash, and maxSuspects the largest number of requests with a crash count.
	suspectTTL  = 5 * time.Minute
	maxSuspects = 4096
	// crashLimit is the number of crashes after which a request is refused.
	// It is above 2 because two endpoints may crash for unrelated reasons at
	// about the same time.
	crashLimit = 3
	// crashProbeDelay is the time until a crashed endpoint refuses connections.
	crashProbeDelay = 20 * time.Millisecond
)

// suspects counts, for each request fingerprint, the crashes of endpoints while
// they ran the request.
type suspects struct {
	mu        sync.Mutex
	crashes   *expirable.LRU[uint64, int]
	prober    relay.Prober
	broadcast func(fingerprint uint64)
	log       *logrus.Entry
}

// newSuspects returns suspects that broadcast each local crash to the peers.
func newSuspects(prober relay.Prober, broadcast func(fingerprint uint64), log *logrus.Entry) *suspects {
	return &suspects{
		crashes: expirable.NewLRU[uint64, int](maxSuspects, nil, suspectTTL), prober: prober, broadcast: broadcast, log: log,
	}
}

// Refused implements [relay.Suspects].
func (s *suspects) Refused(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes, _ := s.crashes.Peek(fingerprint)
	return crashes >= crashLimit
}

// ReportCrash implements [relay.Suspects]. An endpoint that still accepts
// connections lost a response but has not crashed, and a failed probe shows no crash.
func (s *suspects) ReportCrash(fingerprint uint64, address string) {
	go func() {
		time.Sleep(crashProbeDelay)
		switch probe := s.prober.Probe(context.Background(), address); probe {
		case relay.ProbeRefused, relay.ProbeTimedOut:
			s.reportCrash(fingerprint, address, probe)
		default:
		}
	}()
}

func (s *suspects) reportCrash(fingerprint uint64, address string, probe relay.ProbeOutcome) {
	crashes := s.recordCrash(fingerprint)
	s.broadcast(fingerprint)
	s.log.WithFields(logrus.Fields{
		"fingerprint": fingerprint, "address": address, "crashes": crashes, "refused": crashes >= crashLimit, "probe": probe,
	}).Warn("endpoint crashed while it ran a request")
}

// recordCrash counts a crash that this instance or a peer observed, and returns
// the new count.
func (s *suspects) recordCrash(fingerprint uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes, _ := s.crashes.Peek(fingerprint)
	s.crashes.Add(fingerprint, crashes+1)
	return crashes + 1
}
