package intent_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/intent"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// entryNames tells whether an entry is about the key.
func entryNames(entry platform.Entry, key intent.Key) bool {
	var body intent.Intent
	return json.Unmarshal(entry.Body, &body) == nil && body.Key == key
}

func drawEntry(t *rapid.T, i int) platform.Entry {
	key := intent.Key{Token: rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "key")}
	writer := platform.InstanceID(rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "writer"))
	attempt := rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "attempt")
	var entry platform.Entry
	var err error
	if rapid.Bool().Draw(t, "intent") {
		entry, err = platform.NewEntry(fmt.Sprint(i), intent.KindIntent, writer, intent.Intent{Key: key, Attempt: attempt})
	} else {
		entry, err = platform.NewEntry(fmt.Sprint(i), intent.KindOutcome, writer, intent.Outcome{
			Key:       key,
			Attempt:   attempt,
			Abandoned: rapid.Bool().Draw(t, "abandoned"),
			Body:      make([]byte, rapid.IntRange(0, 12).Draw(t, "body")),
		})
	}
	assert.NilError(t, err)
	return entry
}

// TestSnapshotsContinueAlike restores a snapshot somewhere in a stream and
// checks that both ledgers stay equal to its end, within their bounds.
func TestSnapshotsContinueAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := intent.LedgerConfig{Window: 8, MaxKeys: 3, MaxBody: 10, MaxBodies: 15}
		whole, restored := intent.NewLedger(cfg, nil), intent.NewLedger(cfg, nil)
		cut, length := rapid.IntRange(0, 40).Draw(t, "cut"), 40
		offset := platform.Offset(0)
		for i := range length {
			if i == cut {
				snapshot, err := whole.Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, restored.Restore(snapshot))
			}
			offset += platform.Offset(rapid.IntRange(1, 4).Draw(t, "gap"))
			entry := drawEntry(t, i)
			whole.Apply(platform.Position{Offset: offset}, entry)
			if i >= cut {
				restored.Apply(platform.Position{Offset: offset}, entry)
			}
		}
		a, err := whole.Snapshot()
		assert.NilError(t, err)
		if cut < length {
			b, err := restored.Snapshot()
			assert.NilError(t, err)
			assert.Equal(t, string(a), string(b))
		}
		assert.Assert(t, whole.Len() <= int(cfg.Window))
		var bodies struct {
			Rows []struct{ Body []byte }
		}
		assert.NilError(t, json.Unmarshal(a, &bodies))
		total := 0
		for _, row := range bodies.Rows {
			total += len(row.Body)
		}
		assert.Assert(t, total <= cfg.MaxBodies)
	})
}

// FuzzApply folds hostile bodies: no panic, and at most one key each.
func FuzzApply(f *testing.F) {
	f.Add(true, []byte(`{"key":{"account":"a","service":"s","token":"t"},"attempt":"x","fingerprint":"f"}`))
	f.Add(false, []byte(`{"key":{"token":"t"},"attempt":"x","status":200,"body":"AAEC"}`))
	f.Add(false, []byte(`{"key":{"token":"t"},"attempt":"x","abandoned":true}`))
	f.Add(true, []byte(`{"key":{"token":""},"attempt":1}`))
	f.Add(true, []byte(`null`))
	f.Fuzz(func(t *testing.T, isIntent bool, body []byte) {
		l := intent.NewLedger(intent.LedgerConfig{Window: 4, MaxKeys: 4, MaxBody: 8, MaxBodies: 8}, nil)
		kind := intent.KindOutcome
		if isIntent {
			kind = intent.KindIntent
		}
		entry := platform.Entry{ID: "1", Kind: kind, Writer: "w", Body: body}
		l.Apply(platform.Position{Offset: 1}, entry)
		l.Apply(platform.Position{Offset: 2}, entry)
		assert.Assert(t, l.Len() <= 1)
		_, err := l.Snapshot()
		assert.NilError(t, err)
	})
}

// FuzzRestore restores hostile snapshots: it fails and leaves the ledger as it
// was, or gives one whose own snapshot restores.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"since":1,"last":3,"rows":[{"key":"000102030405060708090a0b0c0d0e0f","touched":1024,"state":"claimed","writer":"w","attempt":"a"}]}`))
	f.Add([]byte(`{"rows":[{"key":"000102030405060708090a0b0c0d0e0f","touched":2,"state":"done","body":"AAEC","decided":2},{"key":"00","touched":1,"state":"free"}]}`))
	f.Add([]byte(`{"rows":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		l := intent.NewLedger(intent.LedgerConfig{Window: 4, MaxKeys: 4, MaxBody: 8, MaxBodies: 8}, nil)
		if l.Restore(snapshot) != nil {
			assert.Equal(t, l.Len(), 0)
			return
		}
		again, err := l.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, l.Restore(again))
		l.Apply(platform.Position{Offset: 9}, platform.Entry{ID: "1", Kind: intent.KindAdvance})
	})
}
