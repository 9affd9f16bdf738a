// Package logwriter runs an outbox against the platform's log: it executes the
// outbox's effects and passes the results back.
package logwriter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/random"
)

const (
	// callTimeout bounds one append, or one read-back of any number of pages.
	callTimeout = 5 * time.Second
	// appendBurst is the number of appends that may exceed the rate limit before
	// further ones are delayed.
	appendBurst = 10
	// readBackLimit is the largest number of records in one page of a read-back.
	readBackLimit = 256
	// resultBuffer is the number of results of appends and read-backs that are
	// buffered for [Writer.Run].
	resultBuffer = 4
)

// Writer owns the outbox of one stream. It is safe for concurrent use.
type Writer struct {
	log       platform.Log
	stream    platform.Stream
	onSettled func(ids []string)

	interval time.Duration
	limiter  *rate.Limiter

	mu  sync.Mutex
	box *outbox.Outbox

	wake    chan struct{}
	results chan outbox.Event
}

// New returns a writer without entries. onSettled, if not nil, is called with the
// IDs of entries that are known to be in the log.
func New(log platform.Log, stream platform.Stream, config outbox.Config, onSettled func(ids []string)) *Writer {
	if onSettled == nil {
		onSettled = func([]string) {}
	}
	return &Writer{
		log:       log,
		stream:    stream,
		onSettled: onSettled,
		interval:  config.MinInterval,
		limiter:   rate.NewLimiter(rate.Inf, appendBurst),
		box:       outbox.New(config, random.Global{}),
		wake:      make(chan struct{}, 1),
		results:   make(chan outbox.Event, resultBuffer),
	}
}

// Add adds an entry to the outbox. The errors are those of outbox.Outbox.Add.
func (w *Writer) Add(entry platform.Entry) error {
	w.mu.Lock()
	err := w.box.Add(entry)
	w.mu.Unlock()
	w.wakeLoop()
	return err
}

// AddFromPeer adds an entry of another instance to the outbox, even if the outbox is
// full.
func (w *Writer) AddFromPeer(entry platform.Entry) error {
	w.mu.Lock()
	err := w.box.AddFromPeer(entry)
	w.mu.Unlock()
	w.wakeLoop()
	return err
}

// Reservation reserves room for one entry in the outbox.
type Reservation struct {
	writer *Writer
	inner  *outbox.Reservation
}

// Reserve reserves room for an entry of at most the given size in bytes. The error
// is outbox.ErrFull.
func (w *Writer) Reserve(bytes int) (*Reservation, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	inner, err := w.box.Reserve(bytes)
	if err != nil {
		return nil, err
	}
	return &Reservation{writer: w, inner: inner}, nil
}

// Add adds the entry that room was reserved for. The errors are those of
// outbox.Reservation.Add.
func (r *Reservation) Add(entry platform.Entry) error {
	r.writer.mu.Lock()
	err := r.inner.Add(entry)
	r.writer.mu.Unlock()
	r.writer.wakeLoop()
	return err
}

// Cancel releases the reserved room if it was not used.
func (r *Reservation) Cancel() {
	r.writer.mu.Lock()
	defer r.writer.mu.Unlock()
	r.inner.Cancel()
}

// Withdraw removes those of the entries with the given IDs that certainly are not in
// the log and never will be. It returns the IDs of the removed entries.
func (w *Writer) Withdraw(ids ...string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.box.Withdraw(ids...)
}

// SetAppendRate sets the limit of appends per second. Up to appendBurst appends may follow
// each other at the outbox's minimum interval; further ones are delayed.
func (w *Writer) SetAppendRate(perSecond float64) { w.limiter.SetLimit(rate.Limit(perSecond)) }

// paceAppends delays the append after those in the effects as the rate limit
// requires. The caller holds the lock.
func (w *Writer) paceAppends(now time.Time, effects []outbox.Effect) {
	for _, effect := range effects {
		if _, ok := effect.(outbox.Append); ok {
			delay := w.limiter.ReserveN(now, 1).DelayFrom(now)
			w.box.SetMinInterval(max(w.interval, delay))
		}
	}
}

// SettleLogged settles the entries with the given IDs, which were read from the log.
func (w *Writer) SettleLogged(ids []string) {
	w.mu.Lock()
	effects := w.box.SettleLogged(ids)
	w.mu.Unlock()
	w.notifySettled(effects)
}

// Health returns the log's health as observed by the outbox.
func (w *Writer) Health(now time.Time) outbox.Health {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.box.Health(now)
}

// Available reports whether an entry added now can be expected to reach the log
// soon.
func (w *Writer) Available(now time.Time) bool { return w.Health(now).Available }

// Len returns the number of entries in the outbox.
func (w *Writer) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.box.Len()
}

// Pending returns the entries in the outbox.
func (w *Writer) Pending() []platform.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.box.Pending()
}

// Run appends entries until the context ends. Unsettled entries then remain in the
// outbox.
func (w *Writer) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var event outbox.Event = outbox.Tick{}
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		case <-timer.C:
		case event = <-w.results:
		}
		w.step(ctx, event)
		if wake, due := w.nextWake(); due {
			timer.Reset(time.Until(wake))
		}
	}
}

// Flush waits until the outbox is empty or the context ends.
func (w *Writer) Flush(ctx context.Context) error {
	const poll = 10 * time.Millisecond
	for w.Len() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(poll):
		}
	}
	return nil
}

func (w *Writer) nextWake() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.box.NextTick()
}

func (w *Writer) step(ctx context.Context, event outbox.Event) {
	w.mu.Lock()
	now := time.Now()
	effects := w.box.Step(now, event)
	w.paceAppends(now, effects)
	w.mu.Unlock()
	w.notifySettled(effects)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case outbox.Append:
			go w.append(ctx, effect)
		case outbox.ReadBack:
			go w.readBack(ctx, effect)
		}
	}
}

func (w *Writer) notifySettled(effects []outbox.Effect) {
	for _, effect := range effects {
		if settled, ok := effect.(outbox.Settled); ok {
			w.onSettled(settled.IDs)
		}
	}
}

func (w *Writer) append(ctx context.Context, effect outbox.Append) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := outbox.AppendResult{Batch: effect.Batch}
	payload, err := platform.EncodeEntries(effect.Entries)
	if err != nil {
		result.Err = platform.ErrUnavailable
	} else {
		result.Offset, result.Err = w.log.Append(ctx, w.stream, payload)
	}
	w.sendResult(result)
}

func (w *Writer) readBack(ctx context.Context, effect outbox.ReadBack) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := outbox.ReadResult{Batch: effect.Batch, Next: effect.From}
	for !result.Complete && result.Err == nil {
		w.readPage(ctx, effect, &result)
	}
	w.sendResult(result)
}

func (w *Writer) readPage(ctx context.Context, effect outbox.ReadBack, result *outbox.ReadResult) {
	page, err := w.log.Read(ctx, w.stream, result.Next, readBackLimit)
	if eris.Is(err, platform.ErrTruncated) && page.First > result.Next {
		result.Next = page.First
		return
	}
	if err != nil {
		result.Err = err
		return
	}
	for _, record := range page.Records {
		result.Found = append(result.Found, matchingIDs(record, effect.IDs)...)
	}
	result.Next = page.Next
	result.Complete = page.Next >= page.End
}

func matchingIDs(record platform.Record, ids []string) []string {
	entries, err := platform.DecodeEntries(record.Payload)
	if err != nil {
		return nil
	}
	var found []string
	for _, entry := range entries {
		if slices.Contains(ids, entry.ID) {
			found = append(found, entry.ID)
		}
	}
	return found
}

// sendResult passes a result to [Writer.Run]. It does not block, because the outbox has
// at most one call in flight and the channel is buffered.
func (w *Writer) sendResult(event outbox.Event) { w.results <- event }

func (w *Writer) wakeLoop() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
