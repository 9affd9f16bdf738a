// Package follow keeps a fold of a stream moving forward: it runs a tailer
// against the platform's log and the peers, and serves the records it holds to
// peers that are behind.
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
	// callMargin is added to a read's wait before it is given up.
	callMargin = 2 * time.Second
	// peerWait is how long a peer may wait for a first record.
	peerWait = 1500 * time.Millisecond
	// eventBuffer holds answers of reads until the loop takes them.
	eventBuffer = 8
)

// Fold is the state that a follower moves forward. Its methods are called by
// one goroutine at a time.
type Fold interface {
	// Next returns the offset wanted next.
	Next() platform.Offset
	// Apply folds consecutive records.
	Apply(records []platform.Record)
	// Restore replaces the state by an encoded snapshot, or leaves it.
	Restore(encoded []byte) error
	// Snapshot encodes the state, with the offset that it wants next.
	Snapshot() ([]byte, platform.Offset, error)
}

// Log is the platform's log with a choice of how long a read waits.
type Log interface {
	ReadWaiting(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error)
}

// Peers tells who is alive and carries reads to peers.
type Peers interface {
	Self() membership.Peer
	Rank(key string) []membership.Peer
	All() []membership.Peer
}

// Reader reads records from a peer.
type Reader interface {
	ReadRecords(ctx context.Context, address string, request *peerpb.ReadRecordsRequest) (*peerpb.ReadRecordsReply, error)
}

// Follower follows one stream. Its methods may be called from several
// goroutines.
type Follower struct {
	stream platform.Stream
	log    Log
	peers  Peers
	reader Reader
	offset OffsetField
	logger *logrus.Entry

	mu      sync.Mutex
	fold    Fold
	tailer  *tail.Tailer
	heard   map[platform.InstanceID]platform.Offset
	records tail.Recent
	// changed is closed and replaced when the fold moves forward.
	changed chan struct{}
	// pause is the time between two reads of a peer.
	pause time.Duration

	events chan tail.Event
	ready  chan struct{}
	once   sync.Once
}

// OffsetField reads and writes a stream's offset in a digest.
type OffsetField struct {
	Get func(*peerpb.Digest) uint64
	Set func(*peerpb.Digest, uint64)
}

// Config describes a follower.
type Config struct {
	Stream platform.Stream
	Log    Log
	Peers  Peers
	Reader Reader
	// Offset is where peers' digests say how far they are.
	Offset OffsetField
	Logger *logrus.Entry
	Tail   tail.Config
}

// New returns a follower of a fold.
func New(config Config, state Fold) *Follower {
	return &Follower{
		stream:  config.Stream,
		log:     config.Log,
		peers:   config.Peers,
		reader:  config.Reader,
		offset:  config.Offset,
		logger:  config.Logger,
		fold:    state,
		tailer:  tail.New(config.Tail, state.Next()),
		heard:   map[platform.InstanceID]platform.Offset{},
		changed: make(chan struct{}),
		pause:   config.Tail.FollowInterval,
		events:  make(chan tail.Event, eventBuffer),
		ready:   make(chan struct{}),
	}
}

// Ready is closed once the fold has caught up since the start.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Next returns the offset wanted next.
func (f *Follower) Next() platform.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Next()
}

// First returns the lowest offset that the log is known to retain.
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

// Heard implements cluster.Gossip.
func (f *Follower) Heard(_ time.Time, digest *peerpb.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := platform.InstanceID(digest.Instance)
	f.heard[id] = max(f.heard[id], platform.Offset(f.offset.Get(digest)))
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	peers := time.NewTicker(peersInterval)
	defer peers.Stop()
	soon := time.NewTimer(tickInterval)
	defer soon.Stop()
	f.step(ctx, f.peersSeen())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f.step(ctx, tail.Tick{})
		case <-peers.C:
			f.step(ctx, f.peersSeen())
		case <-soon.C:
			f.step(ctx, tail.Tick{})
		case event := <-f.events:
			f.step(ctx, event)
			soon.Reset(f.pause)
		}
	}
}

// step takes an event in, and carries out what follows from it.
func (f *Follower) step(ctx context.Context, event tail.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := []tail.Event{event}
	for len(pending) > 0 {
		effects := f.tailer.Step(time.Now(), pending[0])
		pending = pending[1:]
		for _, effect := range effects {
			if result, ok := f.carryOut(ctx, effect); ok {
				pending = append(pending, result)
			}
		}
	}
	if f.tailer.Ready() {
		f.once.Do(func() { close(f.ready) })
	}
}

// carryOut does what the tailer asks for. It returns the answer of effects
// that are answered at once. The caller holds the lock.
func (f *Follower) carryOut(ctx context.Context, effect tail.Effect) (tail.Event, bool) {
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
		f.announce()
	case tail.DeliverSnapshot:
		return f.restore(effect), true
	}
	return nil, false
}

func (f *Follower) restore(effect tail.DeliverSnapshot) tail.Event {
	err := f.fold.Restore(effect.Snapshot)
	if err != nil {
		f.logger.WithError(err).WithField("stream", f.stream).Warn("snapshot refused")
	} else {
		f.records = tail.Recent{}
		f.announce()
	}
	return tail.SnapshotResult{Next: f.fold.Next(), Refused: err != nil}
}

// announce wakes the peers that wait for records. The caller holds the lock.
func (f *Follower) announce() {
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

func (f *Follower) peersSeen() tail.PeersSeen {
	var seen tail.PeersSeen
	for _, ranked := range f.peers.Rank(string(f.stream)) {
		seen.Readers = append(seen.Readers, ranked.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range f.peers.All() {
		if known.Liveness != membership.Alive {
			delete(f.heard, known.ID)
			continue
		}
		seen.Sources = append(seen.Sources, tail.PeerOffset{ID: known.ID, Zone: known.Zone, Next: f.heard[known.ID]})
	}
	return seen
}

func (f *Follower) readLog(ctx context.Context, effect tail.ReadLog) {
	ctx, cancel := context.WithTimeout(ctx, effect.Wait+callMargin)
	defer cancel()
	page, err := f.log.ReadWaiting(ctx, f.stream, effect.From, effect.Limit, effect.Wait)
	if err != nil {
		f.answer(tail.LogFailed{Read: effect.Read, Truncated: eris.Is(err, platform.ErrTruncated), First: page.First})
		return
	}
	f.answer(tail.LogPage{Read: effect.Read, Page: page})
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
		f.answer(tail.PeerFailed{Read: effect.Read})
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
	f.answer(page)
}

// answer hands an event to the loop. Reads end with the loop's context, so a
// full buffer is drained or no longer matters.
func (f *Follower) answer(event tail.Event) {
	select {
	case f.events <- event:
	case <-time.After(callMargin):
	}
}

// ReadRecords answers a peer that is behind, or waits for a first record for
// the time that the peer allows.
func (f *Follower) ReadRecords(ctx context.Context, request *peerpb.ReadRecordsRequest) (*peerpb.ReadRecordsReply, error) {
	f.await(ctx, platform.Offset(request.From), min(time.Duration(request.WaitMs)*time.Millisecond, peerWait))
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &peerpb.ReadRecordsReply{Next: uint64(f.fold.Next())}
	from := platform.Offset(request.From)
	if from >= f.fold.Next() {
		return reply, nil
	}
	records, held := f.records.Read(from, int(request.Limit))
	if !held {
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

// await returns once the fold is past the offset, or the time is over.
func (f *Follower) await(ctx context.Context, from platform.Offset, wait time.Duration) {
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
