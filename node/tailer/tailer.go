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
	// Next is the offset at which the next read starts.
	Next keyed.Offset
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
	// Wait bounds how long a read waits for a new record.
	Wait time.Duration
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
	sent := boottime.Now()
	var page keyed.Page
	var changes []keyed.Change
	var err error
	if t.state.Loaded() {
		page, err = t.config.Log.Read(ctx, t.config.Topic, t.state.Next(), t.config.Wait)
		if err == nil {
			changes = t.state.Apply(page)
		}
	}
	if !t.state.Loaded() || eris.Is(err, keyed.ErrTruncated) {
		page, err = t.config.Log.Newest(ctx, t.config.Topic)
		if err == nil {
			changes = t.state.Load(page)
		}
	}
	if err != nil {
		return err
	}
	batch := Batch{Changes: changes, Sent: sent, Next: t.state.Next(), Recovered: t.failures > 0, LastFailure: t.lastFailure}
	if t.failures > 0 {
		t.config.Logger.WithFields(logrus.Fields{"topic": t.config.Topic, "failed_calls": t.failures}).Info("topic is readable again")
	}
	t.failures = 0
	t.config.Apply(batch)
	return nil
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
