package tailer_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/node/tailer"
)

// log is a log without records. Its reads fail until the given time.
type log struct {
	keyed.Log
	availableAt time.Time
	waits       []time.Duration
}

func (l *log) Newest(context.Context, keyed.Topic) (keyed.Page, error) { return keyed.Page{}, nil }

func (l *log) Read(_ context.Context, _ keyed.Topic, _ keyed.Position, wait time.Duration) (keyed.Page, error) {
	l.waits = append(l.waits, wait)
	if time.Now().Before(l.availableAt) {
		return keyed.Page{}, eris.New("unavailable")
	}
	time.Sleep(wait)
	return keyed.Page{}, nil
}

// A read that waits for a record shows only at its end that the log is available again.
// What has changed during the outage must not be unknown for longer.
func TestReadAfterAFailureDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait, outage = 10 * time.Second, 3 * time.Second
		topic := &log{availableAt: time.Now().Add(outage)}
		start := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var recovered []time.Duration
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		followed := tailer.New(tailer.Config{
			Log: topic, Topic: "t", Wait: func() time.Duration { return wait }, Logger: logrus.NewEntry(logger),
			Apply: func(batch tailer.Batch) {
				if batch.Recovered {
					recovered = append(recovered, time.Since(start))
				}
			},
		})
		go func() {
			time.Sleep(outage + 2*wait)
			cancel()
		}()
		assert.NilError(t, followed.Run(ctx))
		assert.Equal(t, len(recovered), 1)
		assert.Assert(t, recovered[0] < outage+time.Second, "%v", recovered[0])
		assert.Equal(t, topic.waits[0], wait)
		assert.Equal(t, topic.waits[len(topic.waits)-1], wait)
	})
}
