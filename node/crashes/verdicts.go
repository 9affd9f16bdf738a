package crashes

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/node/tailer"
)

const (
	// topicWait is the longest wait of a read of the topic of verdicts.
	topicWait = 20 * time.Second
	// writeSpread spreads the instances that come to the same verdict, so that one writes it
	// and the others read it.
	writeSpread = 300 * time.Millisecond
	// maxWrites bounds the writes that wait for the log.
	maxWrites = 64
)

// record is the value of a verdict in the topic.
type record struct {
	Depth uint8 `json:"depth"`
	// AtUnixMillis is when the feature was last found guilty, by the writer's clock.
	AtUnixMillis int64 `json:"at_unix_ms"`
}

// verdictTopic is the state of the topic of verdicts.
type verdictTopic struct {
	// listed holds the features in the topic, which ends at end; loaded reports that it was
	// read.
	listed map[crashcause.Feature]record
	end    keyed.Position
	loaded bool
	// writes are due at their time; a nil record removes the feature.
	writes       []write
	nextGossiped int
}

type write struct {
	feature crashcause.Feature
	record  *record
	at      time.Time
	// expired reports that the feature is removed because its verdict is old.
	expired bool
}

// recordCleared plans to remove features that have survived.
func (v *verdictTopic) recordCleared(features []crashcause.Feature) {
	for _, feature := range features {
		if _, ok := v.listed[feature]; ok {
			v.add(write{feature: feature, at: time.Now()})
		}
	}
}

func (v *verdictTopic) add(w write) {
	if len(v.writes) < maxWrites {
		v.writes = append(v.writes, w)
	}
}

func (t *Tracker) applyTopic(batch tailer.Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if batch.Snapshot {
		t.verdicts.listed = make(map[crashcause.Feature]record)
	}
	for _, change := range batch.Changes {
		if err := t.applyChange(now, change, batch.Snapshot); err != nil {
			t.config.Logger.WithError(err).WithField("key", change.Key).Warn("cannot decode a verdict")
		}
	}
	t.verdicts.end, t.verdicts.loaded = batch.Next, true
	t.apply(now)
}

// applyChange applies a change of the topic. The age of a record counts only in a snapshot:
// one that has just been written is new, whatever the clock of its writer.
func (t *Tracker) applyChange(now time.Time, change keyed.Change, inSnapshot bool) error {
	feature, err := crashcause.ParseName(change.Key)
	if err != nil {
		return err
	}
	if change.Value == nil {
		if listed, ok := t.verdicts.listed[feature]; ok && now.Sub(time.UnixMilli(listed.AtUnixMillis)) <= crashcause.VerdictMemory {
			t.ledger.RecordSurvival(now, feature) // it has not expired, so it was cleared
		}
		delete(t.verdicts.listed, feature)
		return nil
	}
	var decoded record
	if err := json.Unmarshal(change.Value, &decoded); err != nil {
		return eris.Wrap(err, "crashes: decode a verdict")
	}
	t.verdicts.listed[feature] = decoded
	at := time.UnixMilli(decoded.AtUnixMillis)
	if !inSnapshot || at.After(now) {
		at = now
	}
	t.ledger.AddVerdict(now, crashcause.Verdict{Use: crashcause.Use{Feature: feature, Depth: decoded.Depth}, At: at})
	return nil
}

// publishDue writes the verdicts that are due to the topic.
func (t *Tracker) publishDue(ctx context.Context, now time.Time, log keyed.Log, topic keyed.Topic) {
	t.mu.Lock()
	for _, v := range t.ledger.Due(now) {
		t.verdicts.add(write{
			feature: v.Feature, record: &record{Depth: v.Depth, AtUnixMillis: v.At.UnixMilli()}, at: now.Add(rand.N(writeSpread)),
		})
	}
	t.removeExpired(now)
	next, ok := t.nextWrite(now)
	end := t.verdicts.end
	t.mu.Unlock()
	if !ok {
		return
	}
	var value []byte
	if next.record != nil {
		encoded, err := json.Marshal(next.record)
		if err != nil {
			t.config.Logger.WithError(err).Error("cannot encode a verdict")
			return
		}
		value = encoded
	}
	err := log.AppendAt(ctx, topic, end, crashcause.Name(next.feature), value)
	if err == nil {
		return
	}
	t.config.Logger.WithError(err).WithField("feature", crashcause.Name(next.feature)).Info("verdict not written")
	t.mu.Lock()
	defer t.mu.Unlock()
	next.at = now.Add(writeSpread + rand.N(writeSpread))
	t.verdicts.add(next)
}

// removeExpired plans to remove verdicts that are in the topic and not in force any more.
func (t *Tracker) removeExpired(now time.Time) {
	for feature, listed := range t.verdicts.listed {
		age := now.Sub(time.UnixMilli(listed.AtUnixMillis))
		if age > 2*crashcause.VerdictMemory {
			delete(t.verdicts.listed, feature) // at most one write of this instance
			t.verdicts.add(write{feature: feature, at: now.Add(rand.N(time.Minute)), expired: true})
		}
	}
}

// nextWrite takes the next write that is due and still needed. The caller holds the lock.
func (t *Tracker) nextWrite(now time.Time) (write, bool) {
	if !t.verdicts.loaded {
		return write{}, false
	}
	for i := 0; i < len(t.verdicts.writes); {
		w := t.verdicts.writes[i]
		if now.Before(w.at) {
			i++
			continue
		}
		t.verdicts.writes = append(t.verdicts.writes[:i], t.verdicts.writes[i+1:]...)
		listed, ok := t.verdicts.listed[w.feature]
		isNeeded := !w.expired || !ok // an expired verdict may have been written anew
		if w.record != nil {
			isNeeded = !ok || listed.AtUnixMillis < w.record.AtUnixMillis-time.Second.Milliseconds()
		}
		if isNeeded {
			return w, true
		}
	}
	return write{}, false
}
