// Package tailer follows a keyed topic: it loads the newest records, waits for
// more, and starts over when history was dropped.
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

// Pauses after a failed call: the first one, and the bound of its doubling. A
// failed call costs as much as one that is served.
const (
	firstPause   = 150 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Batch is what one answer of the log brought.
type Batch struct {
	Changes []keyed.Change
	// Sent is when the call was sent: the state was current then or later.
	Sent boottime.Instant
	// Next is the offset at which the topic ended.
	Next keyed.Offset
	// Regained tells that calls before this one had failed.
	Regained bool
}

// Config describes what to follow.
type Config struct {
	Log   keyed.Log
	Topic keyed.Topic
	// Wait bounds how long a read waits for a record.
	Wait time.Duration
	// Pace gives the least time between two reads; nil means none.
	Pace func() time.Duration
	// Apply takes in a batch. It is called from one goroutine.
	Apply  func(batch Batch)
	Logger *logrus.Entry
}

// Tailer follows one topic.
type Tailer struct {
	config Config
	state  keyed.State
	failed int
}

// New returns a tailer.
func New(config Config) *Tailer { return &Tailer{config: config} }

// Run follows the topic until the context ends.
func (t *Tailer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		if err := t.step(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			t.lost(err)
			loop.Sleep(ctx, t.pause())
			continue
		}
		if t.config.Pace != nil {
			loop.Sleep(ctx, t.config.Pace()-time.Since(started))
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
	batch := Batch{Changes: changes, Sent: sent, Next: t.state.Next(), Regained: t.failed > 0}
	if t.failed > 0 {
		t.config.Logger.WithFields(logrus.Fields{"topic": t.config.Topic, "failed_calls": t.failed}).Info("topic is readable again")
	}
	t.failed = 0
	t.config.Apply(batch)
	return nil
}

func (t *Tailer) lost(err error) {
	t.failed++
	if t.failed == 1 {
		t.config.Logger.WithError(err).WithField("topic", t.config.Topic).Warn("topic is not readable")
	}
}

// pause doubles with each failure, with jitter so that the instances do not
// call at the same moment.
func (t *Tailer) pause() time.Duration {
	pause := min(longestPause, firstPause<<min(t.failed-1, 8))
	return pause/2 + rand.N(pause/2)
}
