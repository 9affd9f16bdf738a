package outbox

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Errors of [Outbox.Add].
var (
	// ErrFull reports that the outbox holds as many entries as it may.
	ErrFull = eris.New("outbox: full")
	// ErrTooLarge reports an entry that no record can carry.
	ErrTooLarge = eris.New("outbox: entry exceeds the size of a record")
)

// Config bounds an outbox.
type Config struct {
	// MaxEntries and MaxBytes bound what is held until the log has it.
	MaxEntries int
	MaxBytes   int
	// MinInterval is the least time between the starts of two appends.
	MinInterval time.Duration
	// RetryBase and RetryCap bound the pause after a failed append. The pause
	// doubles from failure to failure and carries jitter.
	RetryBase time.Duration
	RetryCap  time.Duration
	// StallAfter is the age at which an append without an answer makes the
	// log count as unavailable; 0 means never.
	StallAfter time.Duration
	// Patience is how long an entry waits for another instance to append it,
	// see [Delegated].
	Patience time.Duration
}

// maxDoublings keeps the doubled pause from overflowing; the cap is reached
// before.
const maxDoublings = 20

// Random is a source of random numbers in [0, 1).
type Random interface{ Float64() float64 }

// phase is what the outbox is doing.
type phase uint8

const (
	idle      phase = iota // nothing in flight, the next append is free to start
	appending              // an append is in flight
	reading                // a read-back is in flight
	pausing                // after a failure, until resumeAt
)

// Outbox holds entries of one stream until the log has them. It is not safe
// for concurrent use.
type Outbox struct {
	cfg    Config
	random Random
	queue  queue

	reservedEntries int
	reservedBytes   int

	phase    phase
	batch    BatchID
	since    time.Time // start of the append or read-back in flight
	started  time.Time // start of the last append
	resumeAt time.Time
	failures int
	// mustRead is set from an append of unknown outcome until a read-back
	// has reached the end of the stream.
	mustRead bool
	readFrom platform.Offset // start of the last read-back

	// end is the highest end of the stream that is known.
	end platform.Offset
	// patient is set while another instance appends for this one.
	patient bool
}

// New returns an empty outbox.
func New(cfg Config, random Random) *Outbox {
	return &Outbox{cfg: cfg, random: random, queue: newQueue(), end: 1}
}

// SetMinInterval changes the least time between the starts of two appends.
func (o *Outbox) SetMinInterval(interval time.Duration) { o.cfg.MinInterval = interval }

// Add takes an entry over. An ID that is already held is taken once. The
// errors are [ErrFull], [ErrTooLarge] and that of an entry that cannot be
// encoded. The entry leaves with a later Step.
func (o *Outbox) Add(entry platform.Entry) error { return o.take(entry, 0) }

// Adopt takes over an entry of another instance, also if the outbox is full:
// the requests of this instance may have reserved all room for as long as they
// run. The caller bounds how many there are. The errors are [ErrTooLarge] and
// that of an entry that cannot be encoded.
func (o *Outbox) Adopt(entry platform.Entry) error { return o.take(entry, platform.MaxRecordBytes) }

// take takes an entry over: at any rate if its size is within what is granted,
// in bytes, and else if there is room.
func (o *Outbox) take(entry platform.Entry, granted int) error {
	if o.queue.has(entry.ID) {
		return nil
	}
	size, err := encodedSize(entry)
	if err != nil {
		return err
	}
	if size+recordOverhead > platform.MaxRecordBytes {
		return ErrTooLarge
	}
	if size > granted && !o.hasRoom(size) {
		return ErrFull
	}
	o.queue.push(entry, size)
	return nil
}

// Step takes an event in and returns what is to be done.
func (o *Outbox) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch event := event.(type) {
	case AppendResult:
		effects = o.onAppend(now, event)
	case ReadResult:
		effects = o.onRead(now, event)
	case EndSeen:
		o.end = max(o.end, event.Next)
	case Delegated:
		o.patient = event.Active
	case Forwarded:
		o.queue.expose(event.IDs, o.end)
	}
	return append(effects, o.proceed(now)...)
}

// Observe settles entries that somebody has seen in the log.
func (o *Outbox) Observe(ids []string) []Effect {
	return settled(o.queue.remove(ids, always))
}

// Remove drops entries, whether or not the log has them or will have them.
func (o *Outbox) Remove(ids ...string) { o.queue.remove(ids, always) }

// Withdraw drops those of the entries that certainly are not in the log and
// never will be, and returns their IDs.
func (o *Outbox) Withdraw(ids ...string) []string { return o.queue.remove(ids, neverLogged) }

// Len returns the number of entries held.
func (o *Outbox) Len() int { return len(o.queue.items) }

// Held returns the entries held, in order of arrival.
func (o *Outbox) Held() []platform.Entry {
	entries := make([]platform.Entry, 0, len(o.queue.items))
	for _, h := range o.queue.items {
		entries = append(entries, h.entry)
	}
	return entries
}

// Wake returns the time at which a Tick is due. It reports false if none is:
// the outbox is empty or waits for an answer.
func (o *Outbox) Wake() (time.Time, bool) {
	switch {
	case o.phase == pausing:
		return o.resumeAt, true
	case o.phase == idle && o.Len() > 0:
		return o.dueAt(), true
	default:
		return time.Time{}, false
	}
}

func (o *Outbox) hasRoom(size int) bool {
	entries := len(o.queue.items) + o.reservedEntries
	bytes := o.queue.bytes + o.reservedBytes
	return entries < o.cfg.MaxEntries && bytes+size <= o.cfg.MaxBytes
}

func (o *Outbox) onAppend(now time.Time, result AppendResult) []Effect {
	if o.phase != appending || result.Batch != o.batch {
		return nil
	}
	if result.Err == nil {
		ids := o.queue.inFlight()
		o.queue.land(true)
		o.phase, o.failures = idle, 0
		o.end = max(o.end, result.Offset+1)
		return settled(o.queue.remove(ids, always))
	}
	o.failures++
	if errors.Is(result.Err, platform.ErrUnavailable) {
		o.queue.land(false)
		o.pause(now)
		return nil
	}
	o.queue.land(true)
	o.mustRead = true
	return o.readBack(now)
}

func (o *Outbox) onRead(now time.Time, result ReadResult) []Effect {
	if o.phase != reading || result.Batch != o.batch {
		return nil
	}
	effects := settled(o.queue.remove(result.Found, always))
	if result.Err != nil {
		o.failures++
		o.pause(now)
		return effects
	}
	o.queue.notBefore(result.Next)
	o.end = max(o.end, result.Next)
	if !result.Complete && result.Next > o.readFrom {
		return append(effects, o.readBack(now)...)
	}
	o.mustRead = !result.Complete
	if !o.mustRead && !o.queue.hasExposed() {
		o.phase, o.failures = idle, 0
		return effects
	}
	o.pause(now)
	return effects
}

// proceed starts what is due.
func (o *Outbox) proceed(now time.Time) []Effect {
	o.queue.stamp(now)
	if o.phase == pausing && !now.Before(o.resumeAt) {
		if o.mustRead && o.queue.hasExposed() {
			return o.readBack(now)
		}
		o.mustRead = false
		o.phase = idle
	}
	if o.phase != idle || o.Len() == 0 || now.Before(o.dueAt()) {
		return nil
	}
	return o.append(now)
}

// dueAt returns when the next append may start, if there is an entry.
func (o *Outbox) dueAt() time.Time {
	due := o.started.Add(o.cfg.MinInterval)
	if !o.patient {
		return due
	}
	if patience := o.queue.items[0].since.Add(o.cfg.Patience); patience.After(due) {
		return patience
	}
	return due
}

func (o *Outbox) append(now time.Time) []Effect {
	o.batch++
	o.phase, o.since, o.started = appending, now, now
	return []Effect{Append{Batch: o.batch, Entries: o.queue.depart(o.queue.head(), o.end)}}
}

func (o *Outbox) readBack(now time.Time) []Effect {
	ids, from := o.queue.seek()
	if len(ids) == 0 {
		o.mustRead = false
		o.phase = idle
		return nil
	}
	o.batch++
	o.phase, o.since, o.readFrom = reading, now, from
	return []Effect{ReadBack{Batch: o.batch, From: from, IDs: ids}}
}

// pause waits before the next try, for the base pause doubled with each
// failure up to the cap; half of it is jitter.
func (o *Outbox) pause(now time.Time) {
	pause := o.cfg.RetryCap
	if doublings := max(o.failures-1, 0); doublings < maxDoublings {
		pause = min(pause, o.cfg.RetryBase<<doublings)
	}
	jittered := pause/2 + time.Duration(o.random.Float64()*float64(pause/2))
	o.phase, o.resumeAt = pausing, now.Add(jittered)
}

func settled(ids []string) []Effect {
	if len(ids) == 0 {
		return nil
	}
	return []Effect{Settled{IDs: ids}}
}
