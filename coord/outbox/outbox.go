package outbox

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Errors of [Outbox.Add].
var (
	// ErrFull reports that the outbox has no room for the entry.
	ErrFull = eris.New("outbox: no room for the entry")
	// ErrTooLarge reports an entry that does not fit into a record.
	ErrTooLarge = eris.New("outbox: entry exceeds the maximum record size")
)

// Config configures an [Outbox].
type Config struct {
	// MaxEntries and MaxBytes bound the entries held, including reservations.
	MaxEntries int
	MaxBytes   int
	// MinInterval is the minimum time between the starts of two appends.
	MinInterval time.Duration
	// RetryBase and RetryCap are the initial and the maximum retry delay. The
	// delay doubles with each consecutive failure and has jitter.
	RetryBase time.Duration
	RetryCap  time.Duration
	// StallAfter is the time without an answer to an append or read-back after
	// which the log is reported as unavailable; 0 means never.
	StallAfter time.Duration
	// AppenderTimeout is the time that an entry waits for another instance to
	// append it, see [Delegated].
	AppenderTimeout time.Duration
}

// maxDoublings prevents an overflow of the doubled retry delay. RetryCap is
// reached earlier.
const maxDoublings = 20

// Random is a source of random numbers in [0, 1).
type Random interface{ Float64() float64 }

// phase is the state of an [Outbox].
type phase uint8

const (
	idle       phase = iota // nothing in flight, the next append may start
	appending               // an append is in flight
	reading                 // a read-back is in flight
	backingOff              // waiting after a failure, until resumeAt
)

// Outbox holds entries of one stream until the log contains them. It is not
// safe for concurrent use.
type Outbox struct {
	cfg    Config
	random Random
	queue  queue

	reservedEntries int
	reservedBytes   int

	phase         phase
	batch         BatchID
	callStarted   time.Time // start of the append or read-back in flight
	appendStarted time.Time // start of the last append
	resumeAt      time.Time
	failures      int
	// needsReadBack is set from an append of unknown outcome until a read-back
	// has reached the end of the stream.
	needsReadBack bool
	readFrom      platform.Offset // start of the last read-back

	// knownEnd is the highest known end of the stream.
	knownEnd platform.Offset
	// delegated is set while another instance appends for this one.
	delegated bool
}

// New returns an empty outbox.
func New(cfg Config, random Random) *Outbox {
	return &Outbox{cfg: cfg, random: random, queue: newQueue(), knownEnd: 1}
}

// SetMinInterval changes [Config].MinInterval.
func (o *Outbox) SetMinInterval(interval time.Duration) { o.cfg.MinInterval = interval }

// Add enqueues an entry, which a later Step appends. It does nothing if the ID
// is already in the outbox. The errors are [ErrFull], [ErrTooLarge] and that of
// an entry that cannot be encoded.
func (o *Outbox) Add(entry platform.Entry) error { return o.enqueue(entry, 0) }

// AddFromPeer enqueues an entry of another instance, even if the outbox is full,
// because requests of this instance may have reserved all room until they end.
// The caller must bound the number of such entries. The errors are
// [ErrTooLarge] and that of an entry that cannot be encoded.
func (o *Outbox) AddFromPeer(entry platform.Entry) error {
	return o.enqueue(entry, platform.MaxRecordBytes)
}

// enqueue adds an entry to the queue. It returns [ErrTooLarge] if the entry does
// not fit into a record, and [ErrFull] if there is no room for it. An entry of at
// most reserved bytes is added even without room.
func (o *Outbox) enqueue(entry platform.Entry, reserved int) error {
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
	if size > reserved && !o.hasRoom(size) {
		return ErrFull
	}
	o.queue.push(entry, size)
	return nil
}

// Step applies an event and returns the effects to carry out.
func (o *Outbox) Step(now time.Time, event Event) []Effect {
	var effects []Effect
	switch event := event.(type) {
	case AppendResult:
		effects = o.onAppendResult(now, event)
	case ReadResult:
		effects = o.onReadResult(now, event)
	case EndReached:
		o.knownEnd = max(o.knownEnd, event.Next)
	case Delegated:
		o.delegated = event.Active
	case Forwarded:
		o.queue.markForwarded(event.IDs, o.knownEnd)
	}
	return append(effects, o.startDue(now)...)
}

// SettleLogged settles entries that were read from the log.
func (o *Outbox) SettleLogged(ids []string) []Effect {
	return settleEffect(o.queue.remove(ids, matchAll))
}

// Remove removes entries, whether or not they are or will be in the log.
func (o *Outbox) Remove(ids ...string) { o.queue.remove(ids, matchAll) }

// Withdraw removes those of the entries that certainly are not in the log and
// never will be, and returns their IDs.
func (o *Outbox) Withdraw(ids ...string) []string { return o.queue.remove(ids, isNotLogged) }

// Len returns the number of entries held.
func (o *Outbox) Len() int { return len(o.queue.items) }

// Pending returns the entries held, in order of arrival.
func (o *Outbox) Pending() []platform.Entry {
	entries := make([]platform.Entry, 0, len(o.queue.items))
	for _, e := range o.queue.items {
		entries = append(entries, e.entry)
	}
	return entries
}

// NextTick returns the time at which the next Tick is due. It reports false if no
// Tick is due, because the outbox is empty or an append or read-back is in
// flight.
func (o *Outbox) NextTick() (time.Time, bool) {
	switch {
	case o.phase == backingOff:
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

func (o *Outbox) onAppendResult(now time.Time, result AppendResult) []Effect {
	if o.phase != appending || result.Batch != o.batch {
		return nil
	}
	if result.Err == nil {
		ids := o.queue.inFlightIDs()
		o.queue.endFlight(true)
		o.phase, o.failures = idle, 0
		o.knownEnd = max(o.knownEnd, result.Offset+1)
		return settleEffect(o.queue.remove(ids, matchAll))
	}
	o.failures++
	if errors.Is(result.Err, platform.ErrUnavailable) {
		o.queue.endFlight(false)
		o.backOff(now)
		return nil
	}
	o.queue.endFlight(true)
	o.needsReadBack = true
	return o.startReadBack(now)
}

func (o *Outbox) onReadResult(now time.Time, result ReadResult) []Effect {
	if o.phase != reading || result.Batch != o.batch {
		return nil
	}
	effects := settleEffect(o.queue.remove(result.Found, matchAll))
	if result.Err != nil {
		o.failures++
		o.backOff(now)
		return effects
	}
	o.queue.raiseSearchFrom(result.Next)
	o.knownEnd = max(o.knownEnd, result.Next)
	if !result.Complete && result.Next > o.readFrom {
		return append(effects, o.startReadBack(now)...)
	}
	o.needsReadBack = !result.Complete
	if !o.needsReadBack && !o.queue.anyMayBeLogged() {
		o.phase, o.failures = idle, 0
		return effects
	}
	o.backOff(now)
	return effects
}

// startDue starts the append or read-back that is due, if any.
func (o *Outbox) startDue(now time.Time) []Effect {
	o.queue.setFirstSeen(now)
	if o.phase == backingOff && !now.Before(o.resumeAt) {
		if o.needsReadBack && o.queue.anyMayBeLogged() {
			return o.startReadBack(now)
		}
		o.needsReadBack = false
		o.phase = idle
	}
	if o.phase != idle || o.Len() == 0 || now.Before(o.dueAt()) {
		return nil
	}
	return o.startAppend(now)
}

// dueAt returns the time at which the next append may start. The outbox must
// not be empty.
func (o *Outbox) dueAt() time.Time {
	due := o.appendStarted.Add(o.cfg.MinInterval)
	if !o.delegated {
		return due
	}
	if fallback := o.queue.items[0].firstSeen.Add(o.cfg.AppenderTimeout); fallback.After(due) {
		return fallback
	}
	return due
}

func (o *Outbox) startAppend(now time.Time) []Effect {
	o.batch++
	o.phase, o.callStarted, o.appendStarted = appending, now, now
	return []Effect{Append{Batch: o.batch, Entries: o.queue.startFlight(o.queue.recordPrefixLen(), o.knownEnd)}}
}

func (o *Outbox) startReadBack(now time.Time) []Effect {
	ids, from := o.queue.startReadBack()
	if len(ids) == 0 {
		o.needsReadBack = false
		o.phase = idle
		return nil
	}
	o.batch++
	o.phase, o.callStarted, o.readFrom = reading, now, from
	return []Effect{ReadBack{Batch: o.batch, From: from, IDs: ids}}
}

// backOff sets the time of the next retry. The delay is RetryBase, doubled with
// each consecutive failure up to RetryCap; up to half of it is jitter.
func (o *Outbox) backOff(now time.Time) {
	delay := o.cfg.RetryCap
	if doublings := max(o.failures-1, 0); doublings < maxDoublings {
		delay = min(delay, o.cfg.RetryBase<<doublings)
	}
	jittered := delay/2 + time.Duration(o.random.Float64()*float64(delay/2))
	o.phase, o.resumeAt = backingOff, now.Add(jittered)
}

func settleEffect(ids []string) []Effect {
	if len(ids) == 0 {
		return nil
	}
	return []Effect{Settled{IDs: ids}}
}
