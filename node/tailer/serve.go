package tailer

import (
	"context"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/node/boottime"
)

// Serve answers a peer that follows this instance. It holds the request for the time that the
// request allows until there are records after its position, or a proof that the peer has not seen.
func (t *Tailer) Serve(ctx context.Context, request Request) Reply {
	arrived := t.now()
	timer := time.NewTimer(min(request.Wait, maxHold))
	defer timer.Stop()
	for {
		isAhead, changed := t.isAhead(request)
		if isAhead {
			return t.reply(request, arrived)
		}
		select {
		case <-ctx.Done():
			return Reply{}
		case <-timer.C:
			return t.reply(request, arrived)
		case <-changed:
		}
	}
}

// isAhead reports whether this instance knows more than the sender of the request. It also returns a
// channel that is closed at the next change.
func (t *Tailer) isAhead(request Request) (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isAhead := t.state.Loaded() && (!request.Loaded || isBefore(request.From, t.state.Next()) || request.SeenProofs != t.proofs)
	return isAhead, t.changed
}

// isBefore reports whether a position is before another one. Any position of a later era counts as
// later.
func isBefore(a, b keyed.Position) bool {
	if a.Era != b.Era {
		return a.Era < b.Era
	}
	return a.Offset < b.Offset
}

func (t *Tailer) reply(request Request, arrived boottime.Instant) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.state.Loaded() {
		return Reply{}
	}
	now := t.now()
	reply := Reply{Known: true, ProofAge: time.Duration(now - t.proved), Held: time.Duration(now - arrived), Proofs: t.proofs}
	if t.config.Grace != nil {
		reply.Grace = t.config.Grace()
	}
	next := t.state.Next()
	switch {
	case request.Loaded && request.From.Era == next.Era && request.From.Offset >= t.recentFrom:
		reply.Page = keyed.Page{Records: t.recentSince(request.From.Offset), Next: next}
	default:
		reply.Page, reply.Snapshot = t.state.Newest(), true
	}
	if sizeOf(reply.Page.Records) > MaxReplyBytes {
		reply.Page.Records, reply.TooLarge = nil, true
	}
	return reply
}

func sizeOf(records []keyed.Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}

func (t *Tailer) recentSince(from keyed.Offset) []keyed.Record {
	var records []keyed.Record
	for _, record := range t.recent {
		if record.Offset >= from {
			records = append(records, record)
		}
	}
	return records
}

// keepRecent keeps the records of a page for peers.
func (t *Tailer) keepRecent(page keyed.Page, isSnapshot bool) {
	if isSnapshot {
		t.recent, t.recentFrom = nil, page.Next.Offset
		return
	}
	t.recent = append(t.recent, page.Records...)
	if excess := len(t.recent) - maxRecent; excess > 0 {
		t.recentFrom = t.recent[excess-1].Offset + 1
		t.recent = append([]keyed.Record(nil), t.recent[excess:]...)
	}
}
