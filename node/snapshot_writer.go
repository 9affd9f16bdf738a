package node

import (
	"context"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/node/follow"
	"github.com/wigeonusher/wigeonusher/node/logwriter"
	"github.com/wigeonusher/wigeonusher/node/loop"
)

// snapshotCheckInterval is the time between checks whether a snapshot is due.
const snapshotCheckInterval = 2 * time.Second

// snapshotWriter appends a snapshot of a stream whenever one is due.
type snapshotWriter struct {
	instance platform.InstanceID
	stream   platform.Stream
	state    *follow.State
	tail     *follow.Follower
	writer   *logwriter.Writer
	cluster  *cluster.Cluster
	schedule *fold.SnapshotScheduler
}

func newSnapshotWriter(instance platform.InstanceID, stream platform.Stream, state *follow.State, tail *follow.Follower, writer *logwriter.Writer, peers *cluster.Cluster) *snapshotWriter {
	return &snapshotWriter{
		instance: instance,
		stream:   stream,
		state:    state,
		tail:     tail,
		writer:   writer,
		cluster:  peers,
		schedule: fold.NewSnapshotScheduler(time.Now(), fold.SchedulerConfig{}),
	}
}

// run appends snapshots until the context ends.
func (w *snapshotWriter) run(ctx context.Context) error {
	return loop.Every(ctx, snapshotCheckInterval, w.appendIfDue)
}

func (w *snapshotWriter) appendIfDue(now time.Time) {
	rank := w.cluster.FleetRank("snapshot/" + string(w.stream))
	if !w.schedule.Due(now, w.state.SchedulerInput(w.tail.First()), rank) {
		return
	}
	snapshot, err := w.state.FoldSnapshot()
	if err != nil {
		return
	}
	entries, err := fold.Chunks(snapshot, w.instance)
	if err != nil {
		return
	}
	for _, entry := range entries {
		if w.writer.Add(entry) != nil {
			return
		}
	}
}
