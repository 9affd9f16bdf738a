package capacity

import (
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/backup"
	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/intent"
	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/quota"
	"github.com/wigeonusher/wigeonusher/node/atmostonce"
	"github.com/wigeonusher/wigeonusher/node/billing"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
)

// benchTime is how long one benchmark runs.
const benchTime = "200ms"

// Slope is one cost of [Slopes], with its name and unit.
type Slope struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Slopes are the costs of the parts that work per request, per change of the
// configuration, or per account's demand in a digest. All but DemandBytes are
// measured.
type Slopes struct {
	BillBytes        float64 // encoded entry of one bill
	BillNanos        float64 // encode, outbox, and a backup copy stored and removed
	IntentBytes      float64 // encoded intent and outcome of one call
	IntentNanos      float64 // encode and fold both
	KeyBytes         float64 // heap per idempotency key in the ledger
	SessionBytes     float64 // heap per session in the table
	PinSetBytes      float64 // encoded pin set in a batch
	PinSetNanos      float64 // decode and store one pin set
	ChangeNanos      float64 // encode, fold and parse one change, per byte of document
	DemandNanos      float64 // apply a peer's demand for one account
	DemandBytes      float64 // demand for one account in a digest
	measuredKeys     int
	measuredSessions int
}

func measureSlopes() Slopes {
	testing.Init()
	_ = flag.Set("test.benchtime", benchTime)
	s := Slopes{measuredKeys: 20_000, measuredSessions: 20_000}
	s.measureBills()
	s.measureIntents()
	s.measureSessions()
	s.measureChanges()
	s.measureDemands()
	return s
}

// nanosPerOp returns the time of one iteration of the benchmark.
func nanosPerOp(run func(b *testing.B)) float64 {
	return float64(testing.Benchmark(run).NsPerOp())
}

// encodedSize returns the number of bytes of the entries encoded as one payload.
func encodedSize(entries ...platform.Entry) float64 {
	payload, err := platform.EncodeEntries(entries)
	if err != nil {
		panic(err)
	}
	return float64(len(payload))
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func newBillEntry(n int) platform.Entry {
	id := fmt.Sprintf("entry-04-98eb8d8eb694-r%d", n)
	return must(platform.NewEntry("bill/"+id, billing.KindBill, "entry-04-98eb8d8eb694", billing.Bill{
		RequestID: id, Account: "account-07", Model: "model-large", Version: "v12",
		PromptTokens: 1234, AnswerTokens: 280, CostMicro: 1043.25, Outcome: "ran",
	}))
}

func (s *Slopes) measureBills() {
	const batch = 64
	entries := make([]platform.Entry, batch)
	for i := range entries {
		entries[i] = newBillEntry(i)
	}
	s.BillBytes = encodedSize(entries...) / batch
	s.BillNanos = nanosPerOp(func(b *testing.B) {
		box := outbox.New(outbox.Config{MaxEntries: 1 << 20, MaxBytes: 1 << 30}, zeroRandom{})
		store := backup.NewStore(backup.StoreConfig{MaxPerPeer: 1 << 20, MaxEntries: 1 << 20, MaxBytes: 1 << 30})
		now := time.Unix(0, 0)
		for n := 0; b.Loop(); n++ {
			entry := newBillEntry(n)
			_ = box.Add(entry)
			store.Add("peer", platform.StreamBills, []platform.Entry{entry})
			store.RemoveSettled("peer", []string{entry.ID})
			if n%batch == 0 {
				appendPending(box, now)
			}
		}
	})
}

// appendPending takes the pending append of the outbox, if any, and reports it as
// successful.
func appendPending(box *outbox.Outbox, now time.Time) {
	for _, effect := range box.Step(now, outbox.Tick{}) {
		if batch, ok := effect.(outbox.Append); ok {
			_, _ = platform.EncodeEntries(batch.Entries)
			box.Step(now, outbox.AppendResult{Batch: batch.Batch, Offset: 1})
		}
	}
}

// zeroRandom is a random source for the outbox that always returns 0.
type zeroRandom struct{}

func (zeroRandom) Float64() float64 { return 0 }

// newCallEntries returns the intent and the outcome of one call that runs at most
// once.
func newCallEntries(n int) (platform.Entry, platform.Entry) {
	key := intent.Key{Account: "account-07", Service: "order-desk", Token: fmt.Sprintf("booking-%d", n)}
	attempt := fmt.Sprintf("entry-04-98eb8d8eb694-%d", n)
	intentEntry := must(platform.NewEntry("intent/"+attempt, intent.KindIntent, "entry-04", intent.Intent{Key: key, Attempt: attempt, Fingerprint: "0123456789abcdef0123456789abcdef"}))
	outcomeEntry := must(platform.NewEntry("outcome/"+attempt, intent.KindOutcome, "entry-04", intent.Outcome{
		Key: key, Attempt: attempt, Fingerprint: "0123456789abcdef0123456789abcdef", Status: 201, Body: []byte(strings.Repeat("x", 120)),
	}))
	return intentEntry, outcomeEntry
}

func (s *Slopes) measureIntents() {
	intentEntry, outcomeEntry := newCallEntries(1)
	s.IntentBytes = encodedSize(intentEntry) + encodedSize(outcomeEntry)
	ledger := intent.NewLedger(atmostonce.LedgerConfig, nil)
	s.IntentNanos = nanosPerOp(func(b *testing.B) {
		for n := 0; b.Loop(); n++ {
			intentEntry, outcomeEntry := newCallEntries(n)
			ledger.Apply(platform.Position{Offset: platform.Offset(n + 1)}, intentEntry)
			ledger.Apply(platform.Position{Offset: platform.Offset(n + 1), Index: 1}, outcomeEntry)
		}
	})
	before := heapInUse()
	retained := intent.NewLedger(atmostonce.LedgerConfig, nil)
	for n := range s.measuredKeys {
		intentEntry, outcomeEntry := newCallEntries(n)
		retained.Apply(platform.Position{Offset: platform.Offset(n + 1)}, intentEntry)
		retained.Apply(platform.Position{Offset: platform.Offset(n + 1), Index: 1}, outcomeEntry)
	}
	s.KeyBytes = (heapInUse() - before) / float64(s.measuredKeys)
	runtime.KeepAlive(retained)
}

func newPinSet(n int) session.PinSet {
	return session.PinSet{
		Account: "account-07", Session: session.ID(fmt.Sprintf("conversation-%08d", n)), Revision: 123456,
		Pins:              map[document.ModelName]document.VersionName{"small": "v1", "medium": "v4", "large": "v12"},
		StartedUnixMillis: 1_790_000_000_000,
	}
}

func (s *Slopes) measureSessions() {
	const batch = 64
	pinSets := make([]session.PinSet, batch)
	for i := range pinSets {
		pinSets[i] = newPinSet(i)
	}
	entry := must(session.NewPinSetsEntry("born/entry-04/1", "entry-04", pinSets))
	s.PinSetBytes = encodedSize(entry) / batch
	table := session.NewTable(s.measuredSessions, 16, time.Hour)
	now := time.Unix(0, 0)
	s.PinSetNanos = nanosPerOp(func(b *testing.B) {
		for b.Loop() {
			decoded, _ := session.DecodePinSets(entry.Body)
			for _, pinSet := range decoded {
				table.Adopt(pinSet, now)
			}
		}
	}) / batch
	before := heapInUse()
	retained := session.NewTable(s.measuredSessions*2, 16, time.Hour)
	for n := range s.measuredSessions {
		retained.Adopt(newPinSet(n), now)
	}
	s.SessionBytes = (heapInUse() - before) / float64(s.measuredSessions)
	runtime.KeepAlive(retained)
}

// measureChanges measures changes of the accounts section, which makes up the
// whole document here.
func (s *Slopes) measureChanges() {
	accounts := map[document.AccountID]document.Account{}
	for n := range 200 {
		accounts[document.AccountID(fmt.Sprintf("account-%03d", n))] = document.Account{
			KeyHashes: []string{document.HashKey(fmt.Sprint(n))}, RequestsPerSecond: 10, Burst: 10,
		}
	}
	body := must(json.Marshal(accounts))
	fold := config.NewFold(document.Validate, nil)
	base := config.Revision(0)
	offset := platform.Offset(0)
	perChange := nanosPerOp(func(b *testing.B) {
		for b.Loop() {
			offset++
			entry := must(platform.NewEntry(fmt.Sprint(offset), config.KindProposal, "tool", config.Proposal{
				Section: document.SectionAccounts, Base: base, Author: "operator", Body: body,
			}))
			position := platform.Position{Offset: offset}
			fold.Apply(position, entry)
			_, _ = document.Parse(fold.Document())
			base = config.Revision(position.Number())
		}
	})
	s.ChangeNanos = perChange / float64(len(body))
}

func (s *Slopes) measureDemands() {
	const accounts = 100
	shares := quota.New("self", quota.Config{})
	now := time.Unix(0, 0)
	var limits []quota.Limit
	var demands []quota.Demand
	for n := range accounts {
		name := fmt.Sprintf("account-%03d", n)
		limits = append(limits, quota.Limit{Account: name, RequestsPerSecond: 100, Burst: 10})
		demands = append(demands, quota.Demand{Instance: "peer", Account: name, RequestsPerSecond: 1.5})
	}
	shares.SetLimits(now, limits)
	s.DemandNanos = nanosPerOp(func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Millisecond)
			shares.HandleDemands(now, "peer", demands)
		}
	}) / accounts
	// An account name of 11 bytes, a float of 8, and 5 bytes of tags and lengths.
	s.DemandBytes = 11 + 8 + 5
}

// List returns the slopes with names and units.
func (s Slopes) List() []Slope {
	return []Slope{
		{"bill, encoded in a batch", "bytes", s.BillBytes},
		{"bill: encode, outbox, copy held and settled", "ns", s.BillNanos},
		{"at-most-once call: intent and outcome, encoded", "bytes", s.IntentBytes},
		{"at-most-once call: encode and fold both", "ns", s.IntentNanos},
		{"idempotency key remembered", "bytes of heap", s.KeyBytes},
		{"session birth, encoded in a batch", "bytes", s.PinSetBytes},
		{"session birth: decode and remember", "ns", s.PinSetNanos},
		{"session remembered", "bytes of heap", s.SessionBytes},
		{"configuration change: encode, fold, parse, per byte of document", "ns", s.ChangeNanos},
		{"account's demand from a peer", "ns", s.DemandNanos},
		{"account's demand in a digest", "bytes", s.DemandBytes},
	}
}
