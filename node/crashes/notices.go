package crashes

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// maxPerNotice bounds what is read of each kind from one notice, and maxVerdictsPerDigest
	// the verdicts in a digest.
	maxPerNotice         = 256
	maxVerdictsPerDigest = 8
)

// notify tells the other instances of evidence.
func (t *Tracker) notify(notice *peerpb.Notice) { t.config.Notifier.NotifyCrash(notice) }

// HandleNotice processes the evidence in a peer's notice. It returns which of the features
// that the peer suspects have lately survived here.
func (t *Tracker) HandleNotice(notice *peerpb.Notice) *peerpb.NoticeReply {
	reply := &peerpb.NoticeReply{}
	if len(notice.Crashes)+len(notice.Survivals)+len(notice.Trials)+len(notice.Suspected) == 0 {
		return reply
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, suspected := range bounded(notice.Suspected) {
		if at, ok := t.ledger.LastSurvival(now, crashcause.Feature(suspected)); ok {
			reply.Survivals = append(reply.Survivals, &peerpb.FeatureSurvival{Feature: suspected, AgeMs: ageMillis(now.Sub(at))})
		}
	}
	for _, reported := range bounded(notice.Crashes) {
		t.handleCrash(now, reported)
	}
	for _, survival := range bounded(notice.Survivals) {
		feature := crashcause.Feature(survival.Feature)
		t.ledger.RecordSurvival(now.Add(-age(survival.AgeMs)), feature)
	}
	for _, trial := range bounded(notice.Trials) {
		if trial.Ended {
			t.delayTrial(now, crashcause.Feature(trial.Feature))
		} else {
			t.ledger.StartTrial(now, crashcause.Feature(trial.Feature))
		}
	}
	t.applySoon()
	return reply
}

// handleCrash records a peer's report of a crash, and adds the attempts that ended here just
// before.
func (t *Tracker) handleCrash(now time.Time, reported *peerpb.EndpointCrash) {
	lifetime := crashcause.Lifetime{Endpoint: platform.EndpointID(reported.Endpoint), Born: reported.Born}
	at := now.Add(-age(reported.AgeMs))
	if reported.ReturnedAgeMs > 0 {
		t.ledger.RecordReturn(lifetime, now.Add(-age(reported.ReturnedAgeMs)))
	}
	t.ledger.RecordCrash(lifetime, at, decodeAccused(reported))
	if len(t.endpoints) >= maxEndpoints && t.endpoints[lifetime] == nil {
		return
	}
	known := t.endpoint(lifetime)
	known.record.ID, known.record.Born = lifetime.Endpoint, lifetime.Born
	if known.confirming || known.returnedAt.After(at) {
		return
	}
	if known.brokenAt.IsZero() || !known.unclearAt.IsZero() {
		known.brokenAt = at
	}
	if own := t.accuse(known, now); len(own) > 0 {
		t.ledger.RecordCrash(lifetime, known.brokenAt, own)
		t.notify(&peerpb.Notice{Crashes: []*peerpb.EndpointCrash{known.encodeCrash(now, own)}})
	}
	known.recordCrashed(at)
}

// Fill implements cluster.Gossip.
func (t *Tracker) Fill(now time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdicts := t.ledger.Verdicts()
	for range min(len(verdicts), maxVerdictsPerDigest) {
		t.verdicts.nextGossiped %= len(verdicts)
		v := verdicts[t.verdicts.nextGossiped]
		t.verdicts.nextGossiped++
		digest.Verdicts = append(digest.Verdicts, &peerpb.FeatureVerdict{
			Feature: uint64(v.Feature), Depth: uint32(v.Depth), AgeMs: ageMillis(now.Sub(v.At)),
		})
	}
}

// HandleDigest implements cluster.Gossip.
func (t *Tracker) HandleDigest(now time.Time, digest *peerpb.Digest) {
	if len(digest.Verdicts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, v := range bounded(digest.Verdicts) {
		changed = t.ledger.AddVerdict(now, crashcause.Verdict{
			Use: crashcause.Use{Feature: crashcause.Feature(v.Feature), Depth: uint8(min(v.Depth, crashcause.WholeRequest))},
			At:  now.Add(-age(v.AgeMs)),
		}) || changed
	}
	if changed {
		t.apply(now)
	}
}

func bounded[T any](list []T) []T { return list[:min(len(list), maxPerNotice)] }

func age(millis uint32) time.Duration {
	return time.Duration(min(millis, maxAgeMillis)) * time.Millisecond
}

func ageMillis(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), int64(maxAgeMillis)))
}

func encodeTrials(features []crashcause.Feature, ended bool) []*peerpb.FeatureTrial {
	var trials []*peerpb.FeatureTrial
	for _, feature := range features {
		trials = append(trials, &peerpb.FeatureTrial{Feature: uint64(feature), Ended: ended})
	}
	return trials
}

// encodeCrash encodes this instance's report of the crash at brokenAt.
func (at *endpoint) encodeCrash(now time.Time, accused []crashcause.Accusation) *peerpb.EndpointCrash {
	encoded := &peerpb.EndpointCrash{
		Endpoint: string(at.record.ID), Born: at.record.Born, AgeMs: ageMillis(now.Sub(at.brokenAt)),
	}
	if !at.returnedAt.IsZero() {
		encoded.ReturnedAgeMs = max(1, ageMillis(now.Sub(at.returnedAt)))
	}
	for _, a := range accused[:min(len(accused), maxPerNotice)] {
		encoded.Accused = append(encoded.Accused, &peerpb.FeatureAccusation{
			Feature: uint64(a.Feature), Depth: uint32(a.Depth), Begun: a.Begun, Survived: a.Survived, HeldMs: ageMillis(a.Held), Late: a.Late,
		})
	}
	return encoded
}

func decodeAccused(reported *peerpb.EndpointCrash) []crashcause.Accusation {
	var accused []crashcause.Accusation
	for _, a := range bounded(reported.Accused) {
		accused = append(accused, crashcause.Accusation{
			Use:   crashcause.Use{Feature: crashcause.Feature(a.Feature), Depth: uint8(min(a.Depth, crashcause.WholeRequest))},
			Begun: a.Begun, Survived: a.Survived, Held: age(a.HeldMs), Late: a.Late,
		})
	}
	return accused
}
