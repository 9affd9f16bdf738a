// Package billing records the cost of requests. The last byte of an answer is sent
// only after its bill has been copied to a peer or, if no peer stores the copy,
// after at most a short wait. Bills are appended to the log in batches.
package billing

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/backup"
	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/logwriter"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// KindBill is the kind of a bill in the bills stream.
const KindBill platform.Kind = "bill"

const (
	// peersInterval is the time between updates of the list of peers, and between
	// checks for bills of peers that are gone.
	peersInterval = 500 * time.Millisecond
	// maxBillBytes bounds the encoded size of one bill.
	maxBillBytes = 2 << 10
	// keyPrefix and the bill's key form the entry ID.
	keyPrefix = "bill/"
)

// Bill is the cost of one request.
type Bill struct {
	RequestID    string               `json:"request_id"`
	Account      document.AccountID   `json:"account"`
	Model        document.ModelName   `json:"model"`
	Version      document.VersionName `json:"version"`
	PromptTokens int                  `json:"prompt_tokens"`
	AnswerTokens int                  `json:"answer_tokens"`
	// CostMicro is the price in micro-units of money.
	CostMicro float64 `json:"cost_micro"`
	Outcome   string  `json:"outcome"`
	// Key identifies the bill: bills with the same key are charged once.
	Key string `json:"-"`
}

// Copier sends backup copies of entries to a peer.
type Copier interface {
	HoldEntries(ctx context.Context, address string, request *peerpb.HoldEntriesRequest) (*peerpb.HoldEntriesReply, error)
}

// Peers lists the instances that may hold backup copies.
type Peers interface {
	Self() membership.Peer
	Rank(key string) []membership.Peer
	All() []membership.Peer
	IsGone(id platform.InstanceID) bool
}

// Biller holds bills until the log has them. Its methods may be called from
// several goroutines.
type Biller struct {
	instance platform.InstanceID
	writer   *logwriter.Writer
	copier   Copier
	peers    Peers

	mu         sync.Mutex
	replicator *backup.Replicator
	pending    map[string]chan struct{} // by entry ID; closed when the answer may be sent
	addresses  map[platform.InstanceID]string
	store      *backup.Store
	adopted    map[string]platform.InstanceID // peer that wrote the entry, by entry ID
}

// Config holds the bounds of a [Biller].
type Config struct {
	// MaxBills bounds the local bills and, separately, the backup copies for
	// peers.
	MaxBills int
	// MaxCopyWait bounds how long an answer waits for a backup copy of its bill.
	MaxCopyWait time.Duration
	// GoneAfter is how long a peer must be gone before this instance appends the
	// peer's bills.
	GoneAfter time.Duration
}

// New returns a biller without bills. The writer must pass the IDs of entries that
// are in the log to [Biller.RecordSettled].
func New(instance platform.InstanceID, writer *logwriter.Writer, copier Copier, peers Peers, config Config) *Biller {
	const (
		maxBytes       = 32 << 20
		maxBatch       = 256
		settleInterval = 500 * time.Millisecond
		peerBackoff    = 2 * time.Second
	)
	return &Biller{
		instance: instance,
		writer:   writer,
		copier:   copier,
		peers:    peers,
		replicator: backup.NewReplicator(backup.ReplicatorConfig{
			Deadline:        config.MaxCopyWait,
			CopyTimeout:     config.MaxCopyWait / 2,
			PeerBackoff:     peerBackoff,
			SettledInterval: settleInterval,
			MaxTracked:      config.MaxBills,
			MaxBatch:        maxBatch,
		}),
		pending:   map[string]chan struct{}{},
		addresses: map[platform.InstanceID]string{},
		store: backup.NewStore(backup.StoreConfig{
			MaxPerPeer: config.MaxBills,
			MaxEntries: config.MaxBills,
			MaxBytes:   maxBytes,
			GoneAfter:  config.GoneAfter,
		}),
		adopted: map[string]platform.InstanceID{},
	}
}

// Reservation is the room reserved for the bill of one request. A request must
// not start without it.
type Reservation struct {
	biller *Biller
	room   *logwriter.Reservation
}

// Reserve reserves room for a bill. It returns an error if no further bill can
// be held.
func (b *Biller) Reserve() (*Reservation, error) {
	room, err := b.writer.Reserve(maxBillBytes)
	if err != nil {
		return nil, eris.Wrap(err, "billing: no room for another bill")
	}
	return &Reservation{biller: b, room: room}, nil
}

// Close frees the room if no bill was recorded.
func (r *Reservation) Close() { r.room.Cancel() }

// Bill records the cost of the request. It returns once a peer has a backup copy of
// the bill, the log has the bill, the wait for a copy has timed out, or the context
// has ended; without peers, it does not wait. It returns an error only if the bill
// could not be added to the outbox.
func (r *Reservation) Bill(ctx context.Context, bill Bill) error {
	b := r.biller
	entry, err := platform.NewEntry(keyPrefix+bill.Key, KindBill, b.instance, bill)
	if err != nil {
		return err
	}
	if err := r.room.Add(entry); err != nil {
		return eris.Wrap(err, "billing: add bill to the outbox")
	}
	if b.hasNoPeers() {
		b.step(backup.Peers{IDs: b.rankPeers()})
	}
	released := b.replicate(entry)
	if b.hasNoPeers() {
		return nil
	}
	select {
	case <-released:
	case <-ctx.Done():
	}
	return nil
}

// hasNoPeers reports whether there is no peer that could hold a backup copy.
func (b *Biller) hasNoPeers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.addresses) == 0
}

// replicate starts the backup copy of an entry and returns a channel that is
// closed once the answer may be sent.
func (b *Biller) replicate(entry platform.Entry) <-chan struct{} {
	b.mu.Lock()
	released, known := b.pending[entry.ID]
	if !known {
		released = make(chan struct{})
		b.pending[entry.ID] = released
	}
	b.mu.Unlock()
	if !known {
		b.step(backup.CopyRequest{Stream: platform.StreamBills, Entries: []platform.Entry{entry}})
	}
	return released
}

// RecordSettled records that the log has the entries with the given IDs. Answers no
// longer wait for backup copies of these entries, and the copies of those that this
// instance has appended for peers are removed.
func (b *Biller) RecordSettled(ids []string) {
	b.mu.Lock()
	for _, id := range ids {
		if from, ok := b.adopted[id]; ok {
			b.store.RemoveSettled(from, []string{id})
			delete(b.adopted, id)
		}
	}
	b.mu.Unlock()
	b.step(backup.Logged{IDs: ids})
}

// HeldForPeers returns the number of backup copies held for peers.
func (b *Biller) HeldForPeers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.store.Len()
}

// Uncopied returns the number of bills whose answer was sent without a backup
// copy at a peer.
func (b *Biller) Uncopied() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replicator.Uncopied()
}

// HoldEntries implements cluster.Copies.
func (b *Biller) HoldEntries(request *peerpb.HoldEntriesRequest) (*peerpb.HoldEntriesReply, error) {
	from := platform.InstanceID(request.HolderFor)
	entries := make([]platform.Entry, 0, len(request.Entries))
	for _, entry := range request.Entries {
		entries = append(entries, platform.Entry{ID: entry.Id, Kind: platform.Kind(entry.Kind), Writer: from, Body: entry.Body})
	}
	if len(request.Settled) > 0 {
		b.writer.SettleLogged(request.Settled)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store.RemoveSettled(from, request.Settled)
	held := b.store.Add(from, platform.Stream(request.Stream), entries)
	return &peerpb.HoldEntriesReply{Held: uint32(held)}, nil
}

// Run sends backup copies and appends the bills of peers that are gone, until the
// context ends.
func (b *Biller) Run(ctx context.Context) error {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.step(backup.Peers{IDs: b.rankPeers()})
			b.adopt()
		case <-wake.C:
			b.step(backup.Tick{})
		}
		if at, due := b.nextWake(); due {
			wake.Reset(time.Until(at))
		}
	}
}

func (b *Biller) nextWake() (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replicator.NextTick()
}

func (b *Biller) step(event backup.Event) {
	b.mu.Lock()
	effects := b.replicator.Step(time.Now(), event)
	for _, effect := range effects {
		if release, ok := effect.(backup.Release); ok {
			b.release(release.IDs)
		}
	}
	b.mu.Unlock()
	for _, effect := range effects {
		if message, ok := effect.(backup.Copy); ok {
			go b.send(message)
		}
	}
}

// release lets the answers be sent whose bills have the given entry IDs. The caller
// holds b.mu.
func (b *Biller) release(ids []string) {
	for _, id := range ids {
		if released, ok := b.pending[id]; ok {
			close(released)
			delete(b.pending, id)
		}
	}
}

func (b *Biller) send(message backup.Copy) {
	request := &peerpb.HoldEntriesRequest{
		HolderFor: string(b.instance),
		Stream:    string(message.Stream),
		Settled:   message.Settled,
	}
	for _, entry := range message.Entries {
		request.Entries = append(request.Entries, &peerpb.HeldEntry{Id: entry.ID, Kind: string(entry.Kind), Body: entry.Body})
	}
	b.mu.Lock()
	address := b.addresses[message.To]
	b.mu.Unlock()
	reply, err := b.copier.HoldEntries(context.Background(), address, request)
	result := backup.CopyResult{Copy: message.ID, Failed: err != nil}
	if err == nil {
		result.Stored = int(reply.Held)
	}
	b.step(result)
}

// rankPeers updates the addresses of the live peers and returns their IDs in
// order of preference: the peers of this zone first.
func (b *Biller) rankPeers() []platform.InstanceID {
	candidates := b.peers.Rank(string(b.instance))
	for _, other := range b.peers.All() {
		if other.Liveness == membership.Alive && other.Zone != b.peers.Self().Zone {
			candidates = append(candidates, other)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.addresses)
	var ids []platform.InstanceID
	for _, candidate := range candidates {
		if candidate.ID == b.instance {
			continue
		}
		ids = append(ids, candidate.ID)
		b.addresses[candidate.ID] = candidate.Address
	}
	return ids
}

// adopt appends the bills of which this instance holds backup copies for peers that
// are gone.
func (b *Biller) adopt() {
	b.mu.Lock()
	orphans := b.store.Orphans(time.Now(), b.peers.IsGone)
	b.mu.Unlock()
	for _, orphan := range orphans {
		for _, entry := range orphan.Entries {
			b.adoptEntry(orphan.From, entry)
		}
	}
}

func (b *Biller) adoptEntry(from platform.InstanceID, entry platform.Entry) {
	b.mu.Lock()
	b.adopted[entry.ID] = from
	b.mu.Unlock()
	if err := b.writer.AddFromPeer(entry); err != nil {
		b.mu.Lock()
		delete(b.adopted, entry.ID)
		b.store.RecordFailure(from, []string{entry.ID})
		b.mu.Unlock()
	}
}
