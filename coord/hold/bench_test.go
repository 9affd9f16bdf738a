package hold_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/hold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// BenchmarkHold copies entries to a peer in groups and settles them, both
// sides in one goroutine.
func BenchmarkHold(b *testing.B) {
	for _, group := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			cfg := replicatorConfig
			cfg.MaxBatch, cfg.MaxTracked = 1000, 10_000
			r := hold.NewReplicator(cfg)
			s := hold.New(hold.Config{MaxPerPeer: 10_000, MaxEntries: 10_000, MaxBytes: 1 << 24, AdoptAfter: time.Hour})
			now := time.Unix(0, 0)
			r.Step(now, hold.Peers{IDs: []platform.InstanceID{"instance-2"}})
			var entries []platform.Entry
			var ids []string
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				id := fmt.Sprintf("%026x", n)
				entries, ids = append(entries, platform.Entry{ID: id, Kind: "bill"}), append(ids, id)
				if len(entries) < group {
					continue
				}
				sent := r.Step(now, hold.Protect{Stream: platform.StreamBills, Entries: entries})[0].(hold.Copy)
				s.Settled("instance-1", sent.Settled)
				held := s.Hold("instance-1", sent.Stream, sent.Entries)
				r.Step(now, hold.CopyResult{Copy: sent.ID, Held: held})
				for _, effect := range r.Step(now, hold.Logged{IDs: ids}) {
					if news, ok := effect.(hold.Copy); ok {
						s.Settled("instance-1", news.Settled)
						r.Step(now, hold.CopyResult{Copy: news.ID})
					}
				}
				entries, ids = nil, nil
			}
		})
	}
}
