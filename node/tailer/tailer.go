// Package tailer follows a keyed topic: it loads a snapshot of the newest records,
// reads the records after it, and loads a new snapshot when the records that it
// needs next are no longer retained.
//
// # Who reads the log
//
// In each zone a few instances read the log ([Peers.IsReader]); the others follow one of them. A
// reader answers its followers when it has new records, or a later proof that there are none. It
// also tells all of the zone when it has new records: an instance whose source is frozen or cut off
// asks the other reader then. An instance without a proof for longer than a read of the log takes
// reads the log itself, once, and follows another source. So what an instance knows is hardly older
// than with a read of its own, whatever happens to its source.
//
// Nothing that a peer says can take an instance back: a reply that is older than what the instance
// knows is ignored.
package tailer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/loop"
)

// The delay after a failed call starts at initialRetryDelay and doubles up to
// maxRetryDelay. Retries are delayed because a failed call costs the log as much
// as a successful one.
const (
	initialRetryDelay = 150 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
)

// Batch is the result of one successful read of the topic.
type Batch struct {
	Changes []keyed.Change
	// Sent is the time just before the read was sent, or a time at which a peer had the topic as it
	// is now here. With the changes applied, the state is that of the topic at Sent or later.
	Sent boottime.Instant
	// Next is the position at which the next read starts.
	Next keyed.Position
	// Snapshot reports that the changes are those to a new snapshot of the topic.
	Snapshot bool
	// Partial reports that the read did not reach the end of the topic, so it proves nothing: Sent is the
	// time of the last proof.
	Partial bool
	// Restored reports that the log was restored from an older copy since the last read:
	// the snapshot may lack records that were read before.
	Restored bool
	// Recovered reports that the read before this one failed.
	Recovered bool
	// LastFailure is the boot time at which the last failed read ended, 0 if none
	// failed.
	LastFailure boottime.Instant
	// Grace is how much longer keys that are missing may be written again, as a peer says that has
	// noticed an outage of the log; 0 for reads of the log.
	Grace time.Duration
}

// Config holds the topic to follow and the handler of its batches.
type Config struct {
	Log   keyed.Log
	Topic keyed.Topic
	// Wait returns how long a read may wait for a new record. The first read after a
	// failure does not wait, so that it shows at once that the log is available again.
	Wait func() time.Duration
	// MinInterval returns the minimum time between the starts of two reads; nil means
	// none.
	MinInterval func() time.Duration
	// Apply handles a batch. It is called from one goroutine, and must not call the tailer.
	Apply func(batch Batch)
	// Peers are the instances that may be followed; nil if the log is always read.
	Peers Peers
	// Grace returns how much longer keys that are missing may be written again, which is told to
	// followers; nil if that does not matter.
	Grace  func() time.Duration
	Logger *logrus.Entry
	// Now reads the boot clock; nil selects [boottime.Now].
	Now func() boottime.Instant
}

// Tailer follows one topic. Serve and Hint may be called from any goroutine.
type Tailer struct {
	config      Config
	now         func() boottime.Instant
	failures    int              // failed calls since the last success
	reloads     int              // snapshots since the last other read
	lastFailure boottime.Instant // zero if no call failed
	// isReader reports whether the last step read the log because of this instance's rank.
	isReader bool
	// A follower does not read the log before ownReadAt. isDoubtful reports that a source has failed
	// since the last proof of a peer. lastSource is the peer that it followed last, and seenFrom that of the last
	// reply, which had had the number of proofs in seen; avoided holds until when others are not followed.
	ownReadAt            boottime.Instant
	isDoubtful           bool
	lastSource, seenFrom platform.InstanceID
	seen                 uint64
	avoided              map[platform.InstanceID]boottime.Instant

	mu    sync.Mutex
	state keyed.State
	// proved is when the topic was last known to be as the state has it, and changed is closed when
	// the state or the proof changes.
	proved  boottime.Instant
	changed chan struct{}
	// proofs counts the proofs.
	proofs uint64
	// unread is the number of records that the last read of the log has left there.
	unread uint64
	// recent holds the records since recentFrom.
	recent     []keyed.Record
	recentFrom keyed.Offset
	// fetching is the peer that is being asked, and cancelFetch ends that call; hint is the peer to
	// ask next.
	fetching    platform.InstanceID
	cancelFetch context.CancelFunc
	hint        *Source
}

// New returns a tailer that has not read the topic.
func New(config Config) *Tailer {
	t := &Tailer{config: config, now: config.Now, changed: make(chan struct{}), avoided: make(map[platform.InstanceID]boottime.Instant)}
	if t.now == nil {
		t.now = boottime.Now
	}
	return t
}

// Topic returns the topic that is followed.
func (t *Tailer) Topic() keyed.Topic { return t.config.Topic }

// Run follows the topic until the context ends.
func (t *Tailer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t.setReader(t.config.Peers == nil || t.config.Peers.IsReader(t.config.Topic))
		switch {
		case !t.isReader:
			t.follow(ctx)
		case t.config.Peers != nil && t.state.Loaded() && t.config.Peers.IsSettling():
			loop.Sleep(ctx, settlePause) // rather than a long read by all instances that start together
		default:
			t.readOnce(ctx)
		}
	}
	return nil
}

func (t *Tailer) setReader(isReader bool) {
	if t.config.Peers != nil && t.isReader != isReader {
		t.config.Logger.WithFields(logrus.Fields{"topic": t.config.Topic, "reads_log": isReader}).Info("role in reading a topic changed")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isReader = isReader
}

// Status tells how a topic is followed.
type Status struct {
	Topic keyed.Topic `json:"topic"`
	// ReadsLog reports that this instance reads the topic from the log for its zone. Otherwise it
	// follows Source, the instance that it asked last; empty if none.
	ReadsLog bool                `json:"reads_log"`
	Source   platform.InstanceID `json:"source,omitempty"`
	// ProofAgeMillis is the time since the topic was last known to be as this instance has it.
	ProofAgeMillis int64 `json:"proof_age_ms"`
	// UnreadRecords is the number of records that the last read of the log has left there.
	UnreadRecords uint64 `json:"unread_records"`
}

// Status returns the current status.
func (t *Tailer) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	status := Status{Topic: t.config.Topic, ReadsLog: t.isReader, ProofAgeMillis: time.Duration(t.now() - t.proved).Milliseconds(), UnreadRecords: t.unread}
	if !t.isReader {
		status.Source = t.lastSource
	}
	return status
}

// readOnce reads the log and waits for records, and paces the reads.
func (t *Tailer) readOnce(ctx context.Context) {
	started := time.Now()
	if !t.tryRead(ctx, t.wait()) {
		if ctx.Err() != nil {
			return
		}
		loop.Sleep(ctx, t.retryDelay())
		return
	}
	if t.reloads > 1 {
		loop.Sleep(ctx, backoff(t.reloads-1)) // the log does not retain what follows its own snapshot
	}
	if t.unread > 0 {
		return // the rest is read at once
	}
	if t.config.MinInterval != nil {
		loop.Sleep(ctx, t.config.MinInterval()-time.Since(started))
	}
}

// errOlderState reports that the log answered with a state that is older than one that it has
// answered with before, as may happen while it drops its history.
var errOlderState = eris.New("log answers with an older state")

// tryRead reads the log and reports whether it has answered.
func (t *Tailer) tryRead(ctx context.Context, wait time.Duration) bool {
	if err := t.readLog(ctx, wait); err != nil {
		if ctx.Err() == nil {
			t.recordFailure(err)
		}
		return false
	}
	return true
}

// readLog reads the next records, or a new snapshot if there is none yet or the next records
// cannot be read.
func (t *Tailer) readLog(ctx context.Context, wait time.Duration) error {
	sent := t.now()
	batch := Batch{Sent: sent, Recovered: t.failures > 0, LastFailure: t.lastFailure}
	page, err := keyed.Page{}, keyed.ErrTruncated
	if t.state.Loaded() {
		page, err = t.config.Log.Read(ctx, t.config.Topic, t.state.Next(), wait)
	}
	if eris.Is(err, keyed.ErrTruncated) {
		page, err = t.config.Log.Newest(ctx, t.config.Topic)
		batch.Snapshot, batch.Restored = true, t.state.Loaded() && page.Next.Era != t.state.Next().Era
	}
	if err != nil {
		return err
	}
	if batch.Snapshot && !batch.Restored && t.state.Loaded() && isBefore(page.Next, t.state.Next()) {
		return eris.Wrapf(errOlderState, "end %d, known up to %d", page.Next.Offset, t.state.Next().Offset)
	}
	if batch.Restored {
		t.config.Logger.WithFields(logrus.Fields{"topic": t.config.Topic, "next": page.Next.Offset, "era": page.Next.Era}).Warn("topic was restored from an older copy")
	}
	if t.failures > 0 {
		t.config.Logger.WithFields(logrus.Fields{
			"topic": t.config.Topic, "failed_calls": t.failures, "gap_ms": time.Duration(sent - t.proved).Milliseconds(),
			"waited_ms": time.Duration(t.now() - sent).Milliseconds(),
		}).Info("topic is readable again")
		t.failures = 0
		t.tellFailing(false)
	}
	t.reloads++
	if !batch.Snapshot {
		t.reloads = 0
	}
	isNew := batch.Snapshot || len(page.Records) > 0
	isStuck := !page.ReachesEnd() && t.state.Loaded() && page.Next == t.state.Next()
	t.recordRest(page)
	if batch.Partial = !page.ReachesEnd(); batch.Partial {
		batch.Sent = t.proved
	}
	t.apply(page, batch)
	t.ownReadAt = 0
	if isNew && t.isReader && t.config.Peers != nil {
		t.config.Peers.Advanced(t.config.Topic, t.state.Next())
	}
	if isStuck {
		loop.Sleep(ctx, initialRetryDelay) // rather than asking again at once for records that are not returned
	}
	return nil
}

// recordRest records how much of the topic follows a page, and logs when reading a backlog begins and
// ends.
func (t *Tailer) recordRest(page keyed.Page) {
	unread := uint64(0)
	if !page.ReachesEnd() {
		unread = uint64(page.End - page.Next.Offset)
	}
	fields := logrus.Fields{"topic": t.config.Topic, "offset": page.Next.Offset, "end": page.End, "proof_age_ms": time.Duration(t.now() - t.proved).Milliseconds()}
	switch {
	case t.unread == 0 && unread > 0:
		t.config.Logger.WithFields(fields).Warn("topic was not read to its end, its state is not known to be current")
	case t.unread > 0 && unread == 0:
		t.config.Logger.WithFields(fields).Info("topic is read to its end again")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unread = unread
}

// apply applies a page to the state, handles the batch and wakes the followers, which must not see
// the records before they are applied here.
func (t *Tailer) apply(page keyed.Page, batch Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if batch.Snapshot {
		batch.Changes = t.state.Load(page)
	} else {
		batch.Changes = t.state.Apply(page)
	}
	t.keepRecent(page, batch.Snapshot)
	batch.Next = t.state.Next()
	if batch.Sent > t.proved {
		t.proved = batch.Sent
		t.proofs++
	}
	t.config.Apply(batch)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Tailer) wait() time.Duration {
	if t.failures > 0 {
		return 0
	}
	return t.config.Wait()
}

func (t *Tailer) recordFailure(err error) {
	t.failures++
	t.lastFailure = boottime.Now()
	if t.failures == 1 {
		t.config.Logger.WithError(err).WithField("topic", t.config.Topic).Warn("topic is not readable")
	}
	if t.failures >= failuresUntilTold {
		t.tellFailing(true)
	}
}

func (t *Tailer) tellFailing(failing bool) {
	if t.config.Peers != nil {
		t.config.Peers.SetFailing(t.config.Topic, failing)
	}
}

// retryDelay returns the delay before the next call.
func (t *Tailer) retryDelay() time.Duration { return backoff(t.failures) }

// backoff returns the delay after a number of failures. It doubles with each of them, and is
// jittered so that the instances do not call at the same time.
func backoff(failures int) time.Duration {
	delay := min(maxRetryDelay, initialRetryDelay<<min(max(failures, 1)-1, 8))
	return delay/2 + rand.N(delay/2)
}
