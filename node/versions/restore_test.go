package versions

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/proptest"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/canary"
)

func TestMain(m *testing.M) { proptest.Main(m, "20261204") }

// statusLog is a status topic that can be restored from a copy of its first records.
type statusLog struct {
	era     keyed.Era
	records []canary.Status
}

func (l *statusLog) end() keyed.Position {
	return keyed.Position{Era: l.era, Offset: keyed.Offset(len(l.records))}
}

func (l *statusLog) Propose(_ context.Context, at keyed.Position, status canary.Status) error {
	if at != l.end() {
		return keyed.ErrConflict
	}
	l.records = append(l.records, status)
	return nil
}

// restore restores the log from a copy of its first records.
func (l *statusLog) restore(copied int) {
	l.records = slices.Clone(l.records[:copied])
	l.era++
}

type noPeers struct{}

func (noPeers) AskSession(context.Context, string, string, string) (onTarget, known bool) {
	return false, false
}

// follower is an instance with its position in the log.
type follower struct {
	versions *Versions
	position keyed.Position
}

func (f *follower) follow(l *statusLog) {
	if f.position.Era != l.era {
		var newest []canary.Status
		if len(l.records) > 0 {
			newest = l.records[len(l.records)-1:]
		}
		f.versions.LoadStatuses(l.end(), newest...)
	} else {
		f.versions.ApplyStatuses(l.end(), l.records[f.position.Offset:]...)
	}
	f.position = l.end()
}

func (f *follower) phase() canary.Phase {
	return f.versions.services[restoreOrder.Service].rollout.Phase
}

var restoreOrder = canary.Order{Service: "s", Target: "v2", Duration: 20 * time.Second}

// TestRollOutIsAgreedOnAfterARestoreOfTheLog lets instances follow the log and propose
// phases at any time, while the log is restored from older copies. It guards against a
// phase that stays lost, and against instances that replace each other's phases for ever.
func TestRollOutIsAgreedOnAfterARestoreOfTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &statusLog{era: 1}
		now := time.Hour
		instances := make([]*follower, rapid.IntRange(1, 4).Draw(t, "instances"))
		for n := range instances {
			instances[n] = newFollower(log, &now)
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			instance := instances[rapid.IntRange(0, len(instances)-1).Draw(t, "instance")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause ms")) * time.Millisecond
			case 1:
				instance.follow(log)
			case 2:
				for range rapid.IntRange(0, 10).Draw(t, "bad answers") {
					instance.versions.services[restoreOrder.Service].rollout.Observe(canary.Answer{Version: "v2", Failed: true})
				}
			case 3:
				log.restore(rapid.IntRange(0, len(log.records)).Draw(t, "copied"))
			default:
				instance.proposeDue()
			}
		}
		settle(t, log, instances, &now)
		log.restore(rapid.IntRange(0, len(log.records)).Draw(t, "copied"))
		settle(t, log, instances, &now)
		if len(log.records) == 0 {
			t.Fatal("the log has no phase")
		}
		newest := log.records[len(log.records)-1].Phase
		for _, instance := range instances {
			if instance.phase() != newest {
				t.Fatalf("an instance is in phase %s, the log in %s", instance.phase(), newest)
			}
		}
		if !newest.IsFinal() {
			t.Fatalf("the roll-out ends in phase %s", newest)
		}
	})
}

// settle lets all instances follow the log and propose until the roll-out must have ended.
func settle(t *rapid.T, log *statusLog, instances []*follower, now *time.Duration) {
	for range 60 {
		*now += time.Second
		for _, instance := range instances {
			instance.follow(log)
			instance.proposeDue()
		}
	}
	before := len(log.records)
	for _, instance := range instances {
		instance.follow(log)
		instance.proposeDue()
	}
	if len(log.records) != before {
		t.Fatalf("the log does not come to rest: %v", log.records)
	}
}

func newFollower(log *statusLog, now *time.Duration) *follower {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	entry := logrus.NewEntry(logger)
	pools := pool.New("z", entry)
	for _, version := range []string{"v1", "v2"} {
		pools.Put(pool.Record{ID: platform.EndpointID(version), Service: restoreOrder.Service, Address: "127.0.0.1:1", Zone: "z", Version: version, Slots: 8})
	}
	f := &follower{position: log.end(), versions: New(Tuning{Share: 0.2, SessionGap: 5 * time.Second}, Config{
		Pools: pools, Writer: log, Sessions: noPeers{}, Logger: entry, Now: func() time.Duration { return *now },
	})}
	f.versions.Order(restoreOrder)
	return f
}

func (f *follower) proposeDue() { f.versions.ProposeDue(context.Background()) }
