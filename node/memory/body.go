package memory

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/wigeonusher/wigeonusher/policy/memory"
)

// Body is the body of a request. It is sent to endpoints without a copy, and may be dropped while
// it is kept only for a retry. It is safe for concurrent use. A nil body is empty.
type Body struct {
	holding *Holding

	mu    sync.Mutex
	parts [][]byte
	size  int
	// users counts those that send it now.
	users   int
	dropped bool
}

// NewBody returns a body that is part of no budget.
func NewBody(p []byte) *Body {
	if len(p) == 0 {
		return nil
	}
	return &Body{parts: [][]byte{p}, size: len(p)}
}

// Len returns the number of bytes, also of a body that was dropped.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size
}

// Open returns the parts of the body for sending, and false if it was dropped. The caller must not
// change them, and calls Sent when it needs them no longer.
func (b *Body) Open() ([][]byte, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped {
		return nil, false
	}
	b.users++
	b.holding.SetPhase(memory.Needed)
	return b.parts, true
}

// Sent ends the use that Open has begun. From then on the body is kept only for a retry.
func (b *Body) Sent() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.users--; b.users == 0 && !b.dropped {
		b.holding.SetPhase(memory.Spare)
	}
}

// Drop releases the body.
func (b *Body) Drop() {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.parts, b.dropped = nil, true
	b.mu.Unlock()
	b.holding.Close()
}

// IsDropped reports whether the body can no longer be sent.
func (b *Body) IsDropped() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// WriteTo implements [io.WriterTo]. It writes nothing of a body that was dropped.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	if b == nil {
		return 0, nil
	}
	b.mu.Lock()
	parts := b.parts
	b.mu.Unlock()
	written := int64(0)
	for _, part := range parts {
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Bytes returns a copy of the body, for tests and small messages.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	whole := make([]byte, 0, b.size)
	for _, part := range b.parts {
		whole = append(whole, part...)
	}
	return whole
}

// Builder collects a body as it arrives. It grows by parts, so that nothing is copied.
type Builder struct {
	body *Body
	// receiving reports that the body is not complete yet.
	receiving atomic.Bool
	// part is the last part, as far as it is filled.
	part []byte
	next int
}

const (
	// firstPartBytes is the size of the first part; each further one is twice as large, up to
	// maxPartBytes.
	firstPartBytes = 4 << 10
	maxPartBytes   = 64 << 10
)

// NewBuilder returns a builder of a body whose memory belongs to the guard. interrupt ends the
// reception if the memory is needed elsewhere. The caller calls [Body.Drop] on the body at the end.
func NewBuilder(guard *Guard, kind memory.Kind, interrupt func()) *Builder {
	b := &Builder{body: &Body{}, next: firstPartBytes}
	b.receiving.Store(true)
	b.body.holding = guard.Open(kind, memory.Waiting, func() {
		b.body.Drop()
		if b.receiving.Load() {
			interrupt()
		}
	})
	return b
}

// Room returns a part of the buffer for the next bytes, at most limit, and false if the memory was
// refused.
func (b *Builder) Room(limit int64) ([]byte, bool) {
	if len(b.part) == cap(b.part) {
		b.seal()
		size := int(min(int64(b.next), max(limit, 1)))
		if !b.body.holding.Grow(size) {
			return nil, false
		}
		b.part, b.next = make([]byte, 0, size), min(2*b.next, maxPartBytes)
	}
	free := b.part[len(b.part):cap(b.part)]
	return free[:min(int64(len(free)), max(limit, 1))], true
}

// Add records that the given number of bytes of the last room were filled.
func (b *Builder) Add(n int) {
	b.part = b.part[:len(b.part)+n]
	b.body.size += n // nobody else knows the body yet
}

func (b *Builder) seal() {
	if len(b.part) > 0 {
		b.body.mu.Lock()
		if !b.body.dropped {
			b.body.parts = append(b.body.parts, b.part)
		}
		b.body.mu.Unlock()
	}
	b.part = nil
}

// Append adds bytes and reports whether the memory was granted. The bytes are not copied.
func (b *Builder) Append(p []byte) bool {
	b.seal()
	if !b.body.holding.Grow(len(p)) {
		return false
	}
	b.part = p[:len(p):len(p)]
	b.body.size += len(p)
	return true
}

// Body returns the complete body. It reports false if its memory was reclaimed meanwhile.
func (b *Builder) Body() (*Body, bool) {
	b.seal()
	b.receiving.Store(false)
	b.body.holding.SetPhase(memory.Needed)
	if b.body.IsDropped() {
		return nil, false
	}
	return b.body, true
}

// Drop releases what was received.
func (b *Builder) Drop() { b.body.Drop() }

// IsReclaimed reports whether the memory was reclaimed.
func (b *Builder) IsReclaimed() bool { return b.body.IsDropped() }
