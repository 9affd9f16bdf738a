package relay

import (
	"bytes"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/node/memory"
	policymemory "github.com/wigeonusher/wigeonusher/policy/memory"
)

// WriteEnder is implemented by a [Client] whose write in progress can be ended from another
// goroutine. The write and each later one then fail.
type WriteEnder interface {
	EndWrite()
}

// ErrClientCutOff is the error of a write to a client that has not read its answer in time, or whose
// answer had to give way to others.
var ErrClientCutOff = eris.New("client has not read its answer")

// errNoMemory is the error of an answer for which there was no memory.
var errNoMemory = eris.New("no memory for the answer")

const (
	// writeBytes is the size of the parts in which an answer is sent: each must be read in time.
	writeBytes = 32 << 10
	// readAheadAfter is the time after which a write to the client counts as slow. The answer is
	// then read on meanwhile, as far as memory is free, so that the endpoint is done with it:
	// endpoints cut off answers that stay unread for some seconds.
	readAheadAfter = 100 * time.Millisecond
	readAheadBytes = 16 << 10
	// maxReadAheadBytes bounds what is read ahead of one answer: an endpoint in trouble may send
	// bytes without end.
	maxReadAheadBytes = 4 << 20
)

// openAnswer opens the holding for what is read of the answer and not sent yet.
func (r *run) openAnswer() {
	r.held = r.relay.Memory.Open(policymemory.Answer, policymemory.Needed, func() {
		if client, ok := r.client.(WriteEnder); ok {
			client.EndWrite()
		}
	})
}

// dropUnneededBody drops the body of the request if no other attempt may follow. executed reports
// that an endpoint has run the request.
func (r *run) dropUnneededBody(executed bool) {
	rt := r.permission.Route
	isOver := r.headSent && !rt.Resumable
	if isOver || executed && !rt.Repeatable() && len(rt.Models) == 0 {
		r.request.Body.Drop()
	}
}

// hold is the memory that an attempt holds of its answer.
type hold struct {
	holding *memory.Holding
	size    int
}

// grow asks for memory up to the given total and reports whether it was granted.
func (h *hold) grow(total int) bool {
	if total <= h.size {
		return true
	}
	if !h.holding.Grow(total - h.size) {
		return false
	}
	h.size = total
	return true
}

// release releases all of it.
func (h *hold) release() {
	h.holding.Shrink(h.size)
	h.size = 0
}

// readAhead reads an answer on while its client is slow. Read, SetReadDeadline and Close are called
// by one goroutine, start by any.
type readAhead struct {
	body    Body
	holding *memory.Holding

	mu      sync.Mutex
	changed sync.Cond
	// isReading reports that Read reads from the body itself; started that the body is read ahead
	// from now on.
	isReading, started, closed bool
	parts                      [][]byte
	size                       int
	err                        error
}

func newReadAhead(body Body, holding *memory.Holding) *readAhead {
	r := &readAhead{body: body, holding: holding}
	r.changed.L = &r.mu
	return r
}

// start begins to read ahead.
func (r *readAhead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Without a bound on memory nothing is read ahead.
	if r.holding == nil || r.isReading || r.started || r.closed {
		return
	}
	r.started = true
	go r.run()
}

// run reads to the end of the body. While no memory is free, it reads nothing until all that was
// read has been taken.
func (r *readAhead) run() {
	part := make([]byte, readAheadBytes)
	for {
		size, ok := r.awaitRoom()
		if !ok {
			return
		}
		n, err := r.body.Read(part)
		if err != nil {
			_ = r.body.Close() // the endpoint is done; it is closed once more at the end
		}
		r.mu.Lock()
		if n > 0 && !r.closed {
			// The copy has the size that is counted: a read may return a small event only.
			r.parts, r.size = append(r.parts, bytes.Clone(part[:n])), r.size+n
		} else {
			n = 0
		}
		r.holding.Shrink(size - n)
		r.err = err
		isOver := err != nil || r.closed
		r.changed.Broadcast()
		r.mu.Unlock()
		if isOver {
			return
		}
	}
}

// awaitRoom waits until a part may be read, and returns how much memory was granted for it. It
// reports false if the body was closed.
func (r *readAhead) awaitRoom() (granted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed {
		if r.size < maxReadAheadBytes && r.holding.GrowFree(readAheadBytes) {
			return readAheadBytes, true
		}
		if r.size == 0 {
			return 0, true // one part at a time, as without reading ahead
		}
		r.changed.Wait()
	}
	return 0, false
}

// Read implements [Body].
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	if !r.started {
		r.isReading = true
		r.mu.Unlock()
		n, err := r.body.Read(p)
		r.mu.Lock()
		r.isReading = false
		r.mu.Unlock()
		return n, err
	}
	defer r.mu.Unlock()
	for r.size == 0 && r.err == nil && !r.closed {
		r.changed.Wait()
	}
	if r.size == 0 {
		return 0, r.err
	}
	n := copy(p, r.parts[0])
	if r.parts[0] = r.parts[0][n:]; len(r.parts[0]) == 0 {
		r.parts = r.parts[1:]
	}
	r.size -= n
	r.holding.Shrink(n)
	r.changed.Broadcast()
	return n, nil
}

// SetReadDeadline implements [Body].
func (r *readAhead) SetReadDeadline(t time.Time) error { return r.body.SetReadDeadline(t) }

// Close implements [Body].
func (r *readAhead) Close() error {
	r.mu.Lock()
	r.closed = true
	r.holding.Shrink(r.size)
	r.parts, r.size = nil, 0
	r.changed.Broadcast()
	r.mu.Unlock()
	return r.body.Close()
}
