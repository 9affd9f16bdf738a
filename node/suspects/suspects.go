// Package suspects limits the damage of requests that crash endpoints. It decides
// how a request may be dispatched, reports crashes to the log and to peers, and
// claims the single isolated try of a suspect through the log.
package suspects

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/suspect"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// maxGossipedReports bounds the reports that are held for peers, and those that
// are read from one digest of a peer.
const maxGossipedReports = 64

// gossipPeriod is how long a report is sent to peers.
const gossipPeriod = 5 * time.Second

// Writer appends entries to the control stream.
type Writer interface {
	Add(entry platform.Entry) error
	Available(now time.Time) bool
}

// EntryWaiter waits for entries of the control stream. Expect returns a channel
// that is closed once the entry is folded, and a function that stops waiting.
type EntryWaiter interface {
	Expect(entryID string) (folded <-chan struct{}, stop func())
}

// Suspects is an instance's view of requests that crash endpoints. Its methods
// may be called from several goroutines.
type Suspects struct {
	instance      platform.InstanceID
	fold          *suspect.Fold
	tracker       *suspect.Tracker
	writer        Writer
	waiter        EntryWaiter
	entrySequence atomic.Uint64
	recent        recentReports
}

// New returns the Suspects of an instance. fold is the part of the control stream's
// state that holds the suspects.
func New(instance platform.InstanceID, fold *suspect.Fold, writer Writer, waiter EntryWaiter) *Suspects {
	return &Suspects{
		instance: instance,
		fold:     fold,
		tracker:  suspect.NewTracker(fold),
		writer:   writer,
		waiter:   waiter,
	}
}

// Permission returns how a request may be dispatched now.
func (s *Suspects) Permission(fingerprint suspect.Fingerprint) suspect.Permission {
	return s.tracker.Permission(fingerprint)
}

// IsOccupied reports whether an isolated try of a suspect runs on the endpoint.
func (s *Suspects) IsOccupied(endpoint platform.EndpointID) bool { return s.fold.IsTrying(endpoint) }

// RecordStart records a dispatch.
func (s *Suspects) RecordStart(fingerprint suspect.Fingerprint, endpoint platform.EndpointID) {
	s.tracker.RecordStart(fingerprint, endpoint)
}

// RecordFinish records the end of a dispatch whose endpoint did not crash.
func (s *Suspects) RecordFinish(fingerprint suspect.Fingerprint, endpoint platform.EndpointID) {
	s.tracker.RecordFinish(fingerprint, endpoint)
}

// RecordCrash records the end of a dispatch whose endpoint crashed, and reports a new
// crash to the log and to peers.
func (s *Suspects) RecordCrash(fingerprint suspect.Fingerprint, pool platform.PoolName, endpoint platform.EndpointID) {
	report, isNew := s.tracker.RecordCrash(fingerprint, pool, endpoint)
	if !isNew {
		return
	}
	s.recent.add(time.Now(), report)
	s.add(suspect.KindReport, report)
}

// ClaimResult is the result of a claim for the single isolated try of a suspect.
type ClaimResult uint8

// Results of a claim.
const (
	// Denied means that the claim must not be repeated: a try of the request is
	// open, the log is unavailable, the outbox did not accept the claim, or the
	// context has ended.
	Denied ClaimResult = iota
	// Occupied means that the claim was not granted although no try of the
	// request is open, usually because another suspect is being tried on the
	// endpoint.
	Occupied
	// Granted permits one dispatch, followed by [Suspects.RecordTryResult].
	Granted
)

// ClaimTry claims the single isolated try of a request on an endpoint, and waits until
// the claim is folded. A try that is granted only after the context has ended stays
// open, because nothing shows that the request is harmless: the fingerprint stays
// blocked until the try expires.
func (s *Suspects) ClaimTry(ctx context.Context, fingerprint suspect.Fingerprint, pool platform.PoolName, endpoint platform.EndpointID) ClaimResult {
	if !s.writer.Available(time.Now()) || s.fold.HasOpenTry(fingerprint) {
		return Denied
	}
	reports, try := s.tracker.Claim(fingerprint, pool, endpoint)
	for _, report := range reports {
		s.add(suspect.KindReport, report)
	}
	id := s.nextID()
	folded, stop := s.waiter.Expect(id)
	defer stop()
	if !s.addWithID(id, suspect.KindTry, try) {
		return Denied
	}
	select {
	case <-folded:
	case <-ctx.Done():
		return Denied
	}
	switch {
	case s.fold.TryState(fingerprint, id, true) == suspect.TryGranted:
		return Granted
	case s.fold.HasOpenTry(fingerprint):
		return Denied
	default:
		return Occupied
	}
}

// RecordTryResult records the result of a granted try.
func (s *Suspects) RecordTryResult(fingerprint suspect.Fingerprint, crashed bool) {
	s.add(suspect.KindEnd, suspect.End{Fingerprint: fingerprint, Crashed: crashed})
}

func (s *Suspects) nextID() string {
	return "suspect/" + string(s.instance) + "/" + strconv.FormatUint(s.entrySequence.Add(1), 10)
}

func (s *Suspects) add(kind platform.Kind, body any) { s.addWithID(s.nextID(), kind, body) }

func (s *Suspects) addWithID(id string, kind platform.Kind, body any) bool {
	entry, err := platform.NewEntry(id, kind, s.instance, body)
	if err != nil {
		return false
	}
	return s.writer.Add(entry) == nil
}

// Fill implements cluster.Gossip.
func (s *Suspects) Fill(now time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	for _, report := range s.recent.current(now) {
		digest.Crashes = append(digest.Crashes, &peerpb.CrashReport{
			Fingerprint: string(report.Fingerprint),
			Pool:        string(report.Pool),
			Endpoint:    string(report.Endpoint),
		})
	}
}

// HandleDigest implements cluster.Gossip. Reports that are new to this instance
// are sent on to its peers.
func (s *Suspects) HandleDigest(now time.Time, digest *peerpb.Digest) {
	for i, crash := range digest.Crashes {
		if i == maxGossipedReports {
			return
		}
		report := suspect.Report{
			Fingerprint: suspect.Fingerprint(crash.Fingerprint),
			Pool:        platform.PoolName(crash.Pool),
			Endpoint:    platform.EndpointID(crash.Endpoint),
		}
		if s.tracker.HandlePeerReport(report) {
			s.recent.add(now, report)
		}
	}
}
