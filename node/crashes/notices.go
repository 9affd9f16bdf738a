package crashes

import (
	"slices"
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

// handleCrash records a peer's report of a crash, and adds the answers that this instance had
// broken off itself just before.
func (t *Tracker) handleCrash(now time.Time, reported *peerpb.EndpointCrash) {
	lifetime := crashcause.Lifetime{Endpoint: platform.EndpointID(reported.Endpoint), Born: reported.Born}
	at := now.Add(-age(reported.AgeMs))
	t.ledger.RecordCrash(lifetime, at, decodeAccused(reported))
	var own []crashcause.Accusation
	if known := t.endpoints[lifetime]; known != nil && !known.confirming {
		if known.brokenAt.IsZero() {
			known.brokenAt = at
		}
		own = t.accuse(known, now)
	}
	if len(own) > 0 {
		t.ledger.RecordCrash(lifetime, at, own)
		t.notify(&peerpb.Notice{Crashes: []*peerpb.EndpointCrash{encodeCrash(lifetime, now.Sub(at), own)}})
	}
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

func encodeCrash(lifetime crashcause.Lifetime, age time.Duration, accused []crashcause.Accusation) *peerpb.EndpointCrash {
	encoded := &peerpb.EndpointCrash{Endpoint: string(lifetime.Endpoint), Born: lifetime.Born, AgeMs: ageMillis(age)}
	for _, a := range slices.Clip(accused)[:min(len(accused), maxPerNotice)] {
		encoded.Accused = append(encoded.Accused, &peerpb.FeatureAccusation{
			Feature: uint64(a.Feature), Depth: uint32(a.Depth), Begun: a.Begun, Survived: a.Survived,
		})
	}
	return encoded
}

func decodeAccused(reported *peerpb.EndpointCrash) []crashcause.Accusation {
	var accused []crashcause.Accusation
	for _, a := range bounded(reported.Accused) {
		accused = append(accused, crashcause.Accusation{
			Use:   crashcause.Use{Feature: crashcause.Feature(a.Feature), Depth: uint8(min(a.Depth, crashcause.WholeRequest))},
			Begun: a.Begun, Survived: a.Survived,
		})
	}
	return accused
}
