// Package tailer follows a keyed topic: it loads a snapshot of the newest records,
// reads the records after it, and loads a new snapshot when the records that it
// needs next are no longer retained.
package tailer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
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
	// Sent is the time just before the read was sent. With the changes applied, the
	// state is that of the topic at Sent or later.
	Sent boottime.Instant
	// Next is the position at which the next read starts.
	Next keyed.Position
	// Snapshot reports that the changes are those to a new snapshot of the topic.
	Snapshot bool
	// Restored reports that the log was restored from an older copy since the last read:
	// the snapshot may lack records that were read before.
	Restored bool
	// Recovered reports that the read before this one failed.
	Recovered bool
	// LastFailure is the boot time at which the last failed read ended, 0 if none
	// failed.
	LastFailure boottime.Instant
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
	// Apply handles a batch. It is called from one goroutine.
	Apply  func(batch Batch)
	Logger *logrus.Entry
}

// Tailer follows one topic.
type Tailer struct {
	config      Config
	state       keyed.State
	failures    int              // failed calls since the last success
	lastFailure boottime.Instant // zero if no call failed
	proved      boottime.Instant // when the last successful read was sent
}

// New returns a tailer that has not read the topic.
func New(config Config) *Tailer { return &Tailer{config: config} }

// Run follows the topic until the context ends.
func (t *Tailer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		if err := t.step(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			t.recordFailure(err)
			loop.Sleep(ctx, t.retryDelay())
			continue
		}
		if t.config.MinInterval != nil {
			loop.Sleep(ctx, t.config.MinInterval()-time.Since(started))
		}
	}
	return nil
}

func (t *Tailer) step(ctx context.Context) error {
	batch, err := t.read(ctx)
	if err != nil {
		return err
	}
	batch.Recovered, batch.LastFailure = t.failures > 0, t.lastFailure
	if batch.Restored {
		t.config.Logger.WithFields(logrus.Fields{"topic": t.config.Topic, "next": batch.Next.Offset, "era": batch.Next.Era}).Warn("topic was restored from an older copy")
	}
	if t.failures > 0 {
		t.config.Logger.WithFields(logrus.Fields{
			"topic": t.config.Topic, "failed_calls": t.failures, "gap_ms": time.Duration(batch.Sent - t.proved).Milliseconds(),
			"waited_ms": boottime.Since(batch.Sent).Milliseconds(),
		}).Info("topic is readable again")
	}
	t.failures, t.proved = 0, batch.Sent
	t.config.Apply(batch)
	return nil
}

// read reads the next records, or a new snapshot if there is none yet or the next records
// cannot be read.
func (t *Tailer) read(ctx context.Context) (Batch, error) {
	sent := boottime.Now()
	if t.state.Loaded() {
		page, err := t.config.Log.Read(ctx, t.config.Topic, t.state.Next(), t.wait())
		if err == nil {
			return Batch{Changes: t.state.Apply(page), Sent: sent, Next: t.state.Next()}, nil
		}
		if !eris.Is(err, keyed.ErrTruncated) {
			return Batch{}, err
		}
	}
	page, err := t.config.Log.Newest(ctx, t.config.Topic)
	if err != nil {
		return Batch{}, err
	}
	restored := t.state.Loaded() && page.Next.Era != t.state.Next().Era
	return Batch{Changes: t.state.Load(page), Sent: sent, Next: page.Next, Snapshot: true, Restored: restored}, nil
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
}

// retryDelay returns the delay before the next call. It doubles with each failure,
// and is jittered so that the instances do not call at the same time.
func (t *Tailer) retryDelay() time.Duration {
	delay := min(maxRetryDelay, initialRetryDelay<<min(t.failures-1, 8))
	return delay/2 + rand.N(delay/2)
}
