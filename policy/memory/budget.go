// Package memory divides the memory of a process among the requests that it serves. It is made for
// clients that nobody controls: many large bodies at once that stop just short of their end, and
// long answers that are read slowly or not at all.
//
// Bytes are granted as they arrive, never by what a client announces. When the budget is full, what
// is kept only for a retry is reclaimed first, then what has waited longest for its client. A part
// of the budget is reserved for requests that hold little, so that they are never refused for those
// that hold much.
package memory

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the kind of memory that a holder holds.
type Kind string

// Kinds of memory.
const (
	// Body is the body of a client's request.
	Body Kind = "body"
	// Answer is what was read of an answer and not sent to its client yet.
	Answer Kind = "answer"
	// Forwarded is the body of a request that a peer forwards.
	Forwarded Kind = "forwarded"
	// Connection is a client's connection. Connections have a bound of their own.
	Connection Kind = "connection"
)

// Phase says for what a holder needs its memory.
type Phase int

// Phases of a holder.
const (
	// Needed: the process itself works on it. It is never reclaimed.
	Needed Phase = iota
	// Waiting: the holder waits for its client to send or to read.
	Waiting
	// Spare: the memory is kept only in case of a retry.
	Spare
)

const (
	// SmallBytes is what a holder may hold and still count as one that holds little. The prompts of
	// the known deployments are below 72 KB.
	SmallBytes = 128 << 10
	// reserveDivisor is the part of the budget that only those may use that hold little.
	reserveDivisor = 4
	// StallAfter is the time without progress after which a holder that waits for its client may
	// lose its memory to others. A pause of 2 s between events is ordinary, but no memory waits for
	// the client during it.
	StallAfter = 2 * time.Second
)

// Holder is a request that holds memory. It belongs to one [Budget].
type Holder struct {
	Kind  Kind
	held  int64
	phase Phase
	// progressAt is when the client last sent or read something, or the phase began.
	progressAt time.Time
}

// Held returns the bytes that the holder holds.
func (h *Holder) Held() int64 { return h.held }

// Budget is the state of the division. It is not safe for concurrent use.
type Budget struct {
	total, held int64
	holders     map[*Holder]struct{}
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, holders: make(map[*Holder]struct{})}
}

// SetTotal changes the size of the budget. What is held beyond it stays until it is released.
func (b *Budget) SetTotal(total int64) { b.total = total }

// Total returns the size of the budget.
func (b *Budget) Total() int64 { return b.total }

// Held returns the sum of what is held.
func (b *Budget) Held() int64 { return b.held }

// Open adds a holder that holds nothing.
func (b *Budget) Open(now time.Time, kind Kind, phase Phase) *Holder {
	h := &Holder{Kind: kind, phase: phase, progressAt: now}
	b.holders[h] = struct{}{}
	return h
}

// Close releases what the holder holds and removes it.
func (b *Budget) Close(h *Holder) {
	if _, ok := b.holders[h]; !ok {
		return
	}
	delete(b.holders, h)
	b.held -= h.held
	h.held = 0
}

// SetPhase sets the phase of a holder.
func (b *Budget) SetPhase(now time.Time, h *Holder, phase Phase) { h.phase, h.progressAt = phase, now }

// Progress records that the client has sent or read something.
func (b *Budget) Progress(now time.Time, h *Holder) { h.progressAt = now }

// Shrink releases a part of what the holder holds.
func (b *Budget) Shrink(h *Holder, size int64) {
	size = min(size, h.held)
	h.held -= size
	b.held -= size
}

// Grow asks for more memory. If it is granted, the holders that it returns have lost theirs: they
// are no longer part of the budget, and the caller has to end what they hold. An earlier loser gets
// no more.
func (b *Budget) Grow(now time.Time, h *Holder, size int64) (reclaimed []*Holder, granted bool) {
	if _, ok := b.holders[h]; !ok {
		return nil, false
	}
	missing := b.missing(h, size)
	if missing > 0 {
		if reclaimed = b.choose(now, h, size, missing); reclaimed == nil {
			return nil, false
		}
	}
	for _, loser := range reclaimed {
		b.Close(loser)
	}
	b.add(h, size)
	h.progressAt = now
	return reclaimed, true
}

// GrowFree is like [Budget.Grow], but takes only what is free, and is no progress of the client.
func (b *Budget) GrowFree(h *Holder, size int64) bool {
	if _, ok := b.holders[h]; !ok || b.missing(h, size) > 0 {
		return false
	}
	b.add(h, size)
	return true
}

func (b *Budget) add(h *Holder, size int64) {
	h.held += size
	b.held += size
}

// missing returns how many bytes have to be released before the holder may grow.
func (b *Budget) missing(h *Holder, size int64) int64 {
	limit := b.total
	if h.held+size > SmallBytes {
		limit -= b.total / reserveDivisor
	}
	return b.held + size - limit
}

// choose returns the holders that lose their memory to the given one, nil if they do not hold enough.
func (b *Budget) choose(now time.Time, h *Holder, size, missing int64) []*Holder {
	var losers []*Holder
	for other := range b.holders {
		if other != h && other.held > 0 && b.mayLose(now, other, h.held+size) {
			losers = append(losers, other)
		}
	}
	slices.SortFunc(losers, func(x, y *Holder) int {
		return cmp.Or(
			-cmp.Compare(x.phase, y.phase), // Spare before Waiting
			x.progressAt.Compare(y.progressAt),
			-cmp.Compare(x.held, y.held),
		)
	})
	for i, loser := range losers {
		if missing -= loser.held; missing <= 0 {
			return losers[:i+1]
		}
	}
	return nil
}

// mayLose reports whether a holder may lose its memory to one that will hold the given number of
// bytes.
func (b *Budget) mayLose(now time.Time, h *Holder, wanted int64) bool {
	switch h.phase {
	case Spare:
		return true
	case Waiting:
		isSmall := wanted <= SmallBytes
		if h.held <= SmallBytes {
			return isSmall && h.held > wanted && now.Sub(h.progressAt) >= StallAfter
		}
		return isSmall || now.Sub(h.progressAt) >= StallAfter
	default:
		return false
	}
}
