// Package follow advances the fold of a stream: it runs a tailer that reads from the
// platform's log and from peers, and serves retained records to peers that are
// behind.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/tail"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	tickInterval  = 100 * time.Millisecond
	peersInterval = 250 * time.Millisecond
	// callMargin is added to the wait of a read to get its timeout.
	callMargin = 2 * time.Second
	// peerWait is the longest time that a read by a peer waits for a first record.
	peerWait = 1500 * time.Millisecond
	// eventBuffer is the number of read results buffered for [Follower.Run].
	eventBuffer = 8
)

// Fold is the state that a follower advances. Its methods are called by one
// goroutine at a time.
type Fold interface {
	// Next returns the offset of the next record to apply.
	Next() platform.Offset
	// Apply applies consecutive records.
	Apply(records []platform.Record)
	// Restore replaces the state by an encoded snapshot. On error the state is
	// unchanged.
	Restore(encoded []byte) error
	// Snapshot returns the encoded state and the offset of the next record to
	// apply.
	Snapshot() ([]byte, platform.Offset, error)
}

// Log is the platform's log, whose reads wait for records for at most a given time.
type Log interface {
	ReadWaiting(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error)
}

// Peers provides the liveness, zones and addresses of the instances.
type Peers interface {
	Self() membership.Peer
	Rank(key string) []membership.Peer
	All() []membership.Peer
}

// Reader reads records from a peer.
type Reader interface {
	ReadRecords(ctx context.Context, address string, request *peerpb.ReadRecordsRequest) (*peerpb.ReadRecordsReply, error)
}

// Follower follows one stream. It is safe for concurrent use.
type Follower struct {
	stream platform.Stream
	log    Log
	peers  Peers
	reader Reader
	offset OffsetField
	logger *logrus.Entry

	mu          sync.Mutex
	fold        Fold
	tailer      *tail.Tailer
	peerOffsets map[platform.InstanceID]platform.Offset
	records     tail.Recent
	// changed is closed and replaced when the fold advances.
	changed chan struct{}
	// readInterval is the time from the result of a read to an extra tick, which
	// may start the next read from a peer.
	readInterval time.Duration

	events chan tail.Event
	ready  chan struct{}
	once   sync.Once
}

// OffsetField accesses the field of a digest that holds a stream's offset.
type OffsetField struct {
	Get func(*peerpb.Digest) uint64
	Set func(*peerpb.Digest, uint64)
}

// Config configures a [Follower].
type Config struct {
	Stream platform.Stream
	Log    Log
	Peers  Peers
	Reader Reader
	// Offset accesses the stream's next offset in digests.
	Offset OffsetField
	Logger *logrus.Entry
	Tail   tail.Config
}

// New returns a follower that advances the fold.
func New(config Config, fold Fold) *Follower {
	return &Follower{
		stream:       config.Stream,
		log:          config.Log,
		peers:        config.Peers,
		reader:       config.Reader,
		offset:       config.Offset,
		logger:       config.Logger,
		fold:         fold,
		tailer:       tail.New(config.Tail, fold.Next()),
		peerOffsets:  map[platform.InstanceID]platform.Offset{},
		changed:      make(chan struct{}),
		readInterval: config.Tail.FollowInterval,
		events:       make(chan tail.Event, eventBuffer),
		ready:        make(chan struct{}),
	}
}

// Ready returns a channel that is closed once the fold has caught up with the
// stream after the start.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Next returns the offset of the next record to apply.
func (f *Follower) Next() platform.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Next()
}

// First returns the lowest offset that the log is known to retain, 0 if unknown.
func (f *Follower) First() platform.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tailer.First()
}

// LogFailing reports whether the last read of the log failed.
func (f *Follower) LogFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tailer.LogFailing()
}

// Fill implements cluster.Gossip.
func (f *Follower) Fill(_ time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	f.offset.Set(digest, uint64(f.Next()))
}

// HandleDigest implements cluster.Gossip.
func (f *Follower) HandleDigest(_ time.Time, digest *peerpb.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := platform.InstanceID(digest.Instance)
	f.peerOffsets[id] = max(f.peerOffsets[id], platform.Offset(f.offset.Get(digest)))
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	peers := time.NewTicker(peersInterval)
	defer peers.Stop()
	followUp := time.NewTimer(tickInterval)
	defer followUp.Stop()
	f.step(ctx, f.observePeers())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f.step(ctx, tail.Tick{})
		case <-peers.C:
			f.step(ctx, f.observePeers())
		case <-followUp.C:
			f.step(ctx, tail.Tick{})
		case event := <-f.events:
			f.step(ctx, event)
			followUp.Reset(f.readInterval)
		}
	}
}

// step passes an event to the tailer and executes the effects it returns.
func (f *Follower) step(ctx context.Context, event tail.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := []tail.Event{event}
	for len(pending) > 0 {
		effects := f.tailer.Step(time.Now(), pending[0])
		pending = pending[1:]
		for _, effect := range effects {
			if result, ok := f.execute(ctx, effect); ok {
				pending = append(pending, result)
			}
		}
	}
	if f.tailer.Ready() {
		f.once.Do(func() { close(f.ready) })
	}
}

// execute executes an effect of the tailer. For [tail.DeliverSnapshot] it returns
// the resulting event; the result of a read is sent to [Follower.Run] later. The
// caller holds the lock.
func (f *Follower) execute(ctx context.Context, effect tail.Effect) (tail.Event, bool) {
	switch effect := effect.(type) {
	case tail.ReadLog:
		go f.readLog(ctx, effect)
	case tail.ReadPeer:
		go f.readPeer(ctx, effect, f.addressOf(effect.Peer))
	case tail.Deliver:
		f.fold.Apply(effect.Records)
		for _, record := range effect.Records {
			f.records.Add(record)
		}
		f.notifyWaiters()
	case tail.DeliverSnapshot:
		return f.restore(effect), true
	}
	return nil, false
}

func (f *Follower) restore(effect tail.DeliverSnapshot) tail.Event {
	err := f.fold.Restore(effect.Snapshot)
	if err != nil {
		f.logger.WithError(err).WithField("stream", f.stream).Warn("snapshot rejected")
	} else {
		f.records = tail.Recent{}
		f.notifyWaiters()
	}
	return tail.SnapshotResult{Next: f.fold.Next(), Refused: err != nil}
}

// notifyWaiters wakes the reads that wait for records. The caller holds the lock.
func (f *Follower) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) addressOf(id platform.InstanceID) string {
	for _, known := range f.peers.All() {
		if known.ID == id {
			return known.Address
		}
	}
	return ""
}

// observePeers returns the readers of the stream by rank and the live peers with
// their offsets. It drops the offsets of peers that are not alive.
func (f *Follower) observePeers() tail.PeersUpdated {
	var observed tail.PeersUpdated
	for _, ranked := range f.peers.Rank(string(f.stream)) {
		observed.Readers = append(observed.Readers, ranked.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range f.peers.All() {
		if known.Liveness != membership.Alive {
			delete(f.peerOffsets, known.ID)
			continue
		}
		observed.Sources = append(observed.Sources, tail.PeerOffset{ID: known.ID, Zone: known.Zone, Next: f.peerOffsets[known.ID]})
	}
	return observed
}

func (f *Follower) readLog(ctx context.Context, effect tail.ReadLog) {
	ctx, cancel := context.WithTimeout(ctx, effect.Wait+callMargin)
	defer cancel()
	page, err := f.log.ReadWaiting(ctx, f.stream, effect.From, effect.Limit, effect.Wait)
	if err != nil {
		f.sendEvent(tail.LogFailed{Read: effect.Read, Truncated: eris.Is(err, platform.ErrTruncated), First: page.First})
		return
	}
	f.sendEvent(tail.LogPage{Read: effect.Read, Page: page})
}

func (f *Follower) readPeer(ctx context.Context, effect tail.ReadPeer, address string) {
	request := &peerpb.ReadRecordsRequest{
		Stream: string(f.stream),
		From:   uint64(effect.From),
		Limit:  uint32(effect.Limit),
		WaitMs: uint32(peerWait.Milliseconds()),
	}
	reply, err := f.reader.ReadRecords(ctx, address, request)
	if err != nil {
		f.sendEvent(tail.PeerFailed{Read: effect.Read})
		return
	}
	page := tail.PeerPage{
		Read:         effect.Read,
		Next:         platform.Offset(reply.Next),
		Snapshot:     reply.Snapshot,
		SnapshotNext: platform.Offset(reply.SnapshotNext),
	}
	for _, record := range reply.Records {
		page.Records = append(page.Records, platform.Record{
			Offset:  platform.Offset(record.Offset),
			Time:    time.UnixMilli(record.TimeUnixMs),
			Payload: record.Payload,
		})
	}
	f.sendEvent(page)
}

// sendEvent passes an event to [Follower.Run]. It drops the event if the buffer stays
// full for callMargin, which is expected only after Run has returned: reads end with
// the context of Run.
func (f *Follower) sendEvent(event tail.Event) {
	select {
	case f.events <- event:
	case <-time.After(callMargin):
	}
}

// ReadRecords handles a read by a peer. If there are no records from the requested
// offset yet, it waits for the first one as long as the request allows, but at most
// peerWait. If the records are no longer retained, it returns a snapshot.
func (f *Follower) ReadRecords(ctx context.Context, request *peerpb.ReadRecordsRequest) (*peerpb.ReadRecordsReply, error) {
	f.waitPast(ctx, platform.Offset(request.From), min(time.Duration(request.WaitMs)*time.Millisecond, peerWait))
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &peerpb.ReadRecordsReply{Next: uint64(f.fold.Next())}
	from := platform.Offset(request.From)
	if from >= f.fold.Next() {
		return reply, nil
	}
	records, retained := f.records.Read(from, int(request.Limit))
	if !retained {
		return reply, f.addSnapshot(reply)
	}
	for _, record := range records {
		reply.Records = append(reply.Records, &peerpb.Record{
			Offset:     uint64(record.Offset),
			TimeUnixMs: record.Time.UnixMilli(),
			Payload:    record.Payload,
		})
	}
	return reply, nil
}

// waitPast returns once the fold has applied the record at the offset, the given
// time has passed or the context ends.
func (f *Follower) waitPast(ctx context.Context, from platform.Offset, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		f.mu.Lock()
		past, changed := from < f.fold.Next(), f.changed
		f.mu.Unlock()
		if past {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) addSnapshot(reply *peerpb.ReadRecordsReply) error {
	encoded, next, err := f.fold.Snapshot()
	if err != nil {
		return err
	}
	reply.Snapshot = encoded
	reply.SnapshotNext = uint64(next)
	return nil
}
