package tail_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/tail"
)

const (
	step    = 100 * time.Millisecond // of virtual time
	readers = 2
)

// world is a fleet of instances, their log and the faults between them.
type world struct {
	t     assert.TestingT
	rnd   *rand.Rand
	now   time.Time
	nodes []*node
	born  int

	log       []platform.Record // by offset - 1
	first     platform.Offset
	reference *node             // folds every record at once
	revisions []config.Revision // in force, by next offset

	keeper     fold.KeeperConfig
	quiet      bool // no more snapshots
	logDown    bool
	logLatency time.Duration
	cutFromLog map[platform.Zone]bool
	cutZones   map[[2]platform.Zone]bool
	silent     float64 // share of reads that are never answered
	doubled    float64 // share of answers that come twice

	logBytes, peerBytes, logReads, peerReads int
}

// node is one instance.
type node struct {
	id      platform.InstanceID
	zone    platform.Zone
	fold    *config.Fold
	stream  *fold.Stream
	tailer  *tail.Tailer
	recent  tail.Recent
	keeper  *fold.Keeper
	peers   *membership.Peers
	frozen  bool
	cut     bool // from the log
	waiting []pending
	bornEnd platform.Offset // end of the log at the start
	lost    bool            // could not read the log at some time
}

// pending is a read under way, or its answer on the way.
type pending struct {
	read   tail.Effect
	wait   time.Time // end of a long poll
	at     time.Time // earliest time of the answer
	answer tail.Event
}

func newWorld(t assert.TestingT, seed uint64) *world {
	w := &world{
		t:          t,
		rnd:        rand.New(rand.NewPCG(seed, 1)),
		now:        time.Unix(1000, 0),
		first:      1,
		keeper:     fold.KeeperConfig{MaxRecords: 40},
		cutFromLog: map[platform.Zone]bool{},
		cutZones:   map[[2]platform.Zone]bool{},
		revisions:  []config.Revision{0, 0},
	}
	w.reference = w.newNode("reference")
	return w
}

func (w *world) newNode(zone platform.Zone) *node { return w.newNodeWith(zone, tail.PeerFirst) }

func (w *world) newNodeWith(zone platform.Zone, bootstrap tail.Bootstrap) *node {
	w.born++
	id := platform.InstanceID(fmt.Sprintf("%s-%d", zone, w.born))
	f := config.NewFold(func(*config.Document) finding.List { return nil }, nil)
	return &node{
		id:      id,
		zone:    zone,
		fold:    f,
		stream:  fold.NewStream(f),
		tailer:  tail.New(tail.Config{Self: id, Zone: zone, Seed: w.rnd.Uint64(), Readers: readers, Bootstrap: bootstrap}, 1),
		keeper:  fold.NewKeeper(w.now, w.keeper),
		peers:   membership.NewPeers(membership.Peer{ID: id, Zone: zone, Address: string(id)}, membership.PeersConfig{}),
		bornEnd: w.end(),
	}
}

func (w *world) end() platform.Offset { return platform.Offset(len(w.log) + 1) }

func (w *world) append(entries ...platform.Entry) {
	payload, err := platform.EncodeEntries(entries)
	assert.NilError(w.t, err)
	w.appendRaw(payload)
}

func (w *world) appendRaw(payload []byte) {
	record := platform.Record{Offset: w.end(), Payload: payload}
	w.log = append(w.log, record)
	w.reference.stream.Apply(record)
	w.revisions = append(w.revisions, w.reference.fold.Document().Revision)
}

// publish appends a proposal that will be accepted.
func (w *world) publish(name config.SectionName) {
	w.publishBody(name, json.RawMessage(fmt.Sprint(len(w.log))))
}

func (w *world) publishBody(name config.SectionName, body json.RawMessage) {
	base := w.reference.fold.Document().Base(name)
	proposal := config.Proposal{Section: name, Base: base, Author: "operator", Body: body}
	entry, err := platform.NewEntry(fmt.Sprint("e", len(w.log)), config.KindProposal, "tool", proposal)
	assert.NilError(w.t, err)
	w.append(entry)
}

// truncate drops records from the log, though none that the newest snapshot
// needs.
func (w *world) truncate() { w.first = max(w.first, w.reference.stream.SnapshotBase()) }

func (w *world) reachesLog(n *node) bool { return !w.logDown && !w.cutFromLog[n.zone] && !n.cut }

func (w *world) connected(a, b platform.Zone) bool {
	return !w.cutZones[[2]platform.Zone{a, b}] && !w.cutZones[[2]platform.Zone{b, a}]
}

func (w *world) node(id platform.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id && !n.frozen {
			return n
		}
	}
	return nil
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for _, n := range w.nodes {
			if n.frozen {
				continue
			}
			w.exchange(n)
			w.answerReads(n)
			w.feed(n, tail.SeenPeers(n.peers, platform.StreamControl))
			w.feed(n, tail.Tick{})
			w.keep(n)
		}
	}
}

func (w *world) exchange(n *node) {
	n.peers.Tick(w.now)
	n.peers.SetControlNext(n.stream.Next())
	for _, other := range w.nodes {
		n.peers.Introduce(membership.KnownPeer{ID: other.id, Zone: other.zone, Address: string(other.id)})
	}
	for _, target := range n.peers.Targets(w.now, w.rnd) {
		other := w.node(target.ID)
		if other == nil || !w.connected(n.zone, other.zone) {
			continue
		}
		other.peers.SetControlNext(other.stream.Next())
		other.peers.Heard(w.now, n.peers.Digest(w.rnd))
		n.peers.Heard(w.now, other.peers.Digest(w.rnd))
	}
}

// feed hands an event to the tailer and carries out the effects.
func (w *world) feed(n *node, event tail.Event) {
	for _, effect := range n.tailer.Step(w.now, event) {
		switch effect := effect.(type) {
		case tail.ReadLog:
			w.logReads++
			w.begin(n, effect, w.now.Add(effect.Wait), w.now.Add(w.latency()))
		case tail.ReadPeer:
			w.peerReads++
			w.begin(n, effect, w.now, w.now.Add(time.Duration(w.rnd.IntN(20))*time.Millisecond))
		case tail.Deliver:
			for _, record := range effect.Records {
				assert.Assert(w.t, n.stream.Apply(record), "%s got %d, wants %d", n.id, record.Offset, n.stream.Next())
				n.recent.Add(record)
			}
		case tail.DeliverSnapshot:
			w.restore(n, effect)
		}
	}
	w.check(n)
}

func (w *world) latency() time.Duration {
	return time.Duration(w.rnd.Int64N(int64(20*time.Millisecond + w.logLatency)))
}

func (w *world) restore(n *node, effect tail.DeliverSnapshot) {
	snapshot, err := fold.DecodeSnapshot(effect.Snapshot)
	if err == nil {
		err = n.stream.Restore(snapshot)
	}
	w.feed(n, tail.SnapshotResult{Next: n.stream.Next(), Refused: err != nil})
}

func (w *world) begin(n *node, read tail.Effect, wait, at time.Time) {
	silent := w.rnd.Float64() < w.silent
	_, fromLog := read.(tail.ReadLog)
	if fromLog && (silent || at.After(wait.Add(tail.DefaultConfig().ReadTimeout))) {
		n.lost = true // a log that does not answer in time counts as down
	}
	if silent {
		return
	}
	n.waiting = append(n.waiting, pending{read: read, wait: wait, at: at})
}

// answerReads answers what is due. An answer that was made before a freeze or
// a cut arrives after it.
func (w *world) answerReads(n *node) {
	waiting := n.waiting
	n.waiting = nil
	for _, p := range waiting {
		if p.answer == nil {
			p.answer = w.answer(n, p)
		}
		if p.answer == nil || w.now.Before(p.at) {
			n.waiting = append(n.waiting, p)
			continue
		}
		w.feed(n, p.answer)
		if w.rnd.Float64() < w.doubled {
			n.waiting = append(n.waiting, pending{at: w.now.Add(time.Second), answer: p.answer})
		}
	}
}

func (w *world) answer(n *node, p pending) tail.Event {
	if read, ok := p.read.(tail.ReadLog); ok {
		return w.answerLog(n, read, p.wait)
	}
	read := p.read.(tail.ReadPeer)
	peer := w.node(read.Peer)
	if peer == nil || !w.connected(n.zone, peer.zone) {
		return tail.PeerFailed{Read: read.Read}
	}
	page, err := tail.Answer(peer.stream, &peer.recent, read.From, read.Limit)
	assert.NilError(w.t, err)
	page.Read = read.Read
	w.peerBytes += len(page.Snapshot) + payloadBytes(page.Records)
	return page
}

func (w *world) answerLog(n *node, read tail.ReadLog, wait time.Time) tail.Event {
	switch {
	case !w.reachesLog(n):
		n.lost = true
		return tail.LogFailed{Read: read.Read}
	case read.From < w.first:
		return tail.LogFailed{Read: read.Read, Truncated: true, First: w.first}
	case read.From >= w.end() && w.now.Before(wait):
		return nil
	}
	page := platform.Page{First: w.first, End: w.end(), Next: read.From}
	if read.From < w.end() {
		page.Records = w.log[read.From-1 : min(int(read.From)-1+read.Limit, len(w.log))]
		page.Next += platform.Offset(len(page.Records))
	}
	w.logBytes += payloadBytes(page.Records)
	return tail.LogPage{Read: read.Read, Page: page}
}

func payloadBytes(records []platform.Record) int {
	sum := 0
	for _, record := range records {
		sum += len(record.Payload)
	}
	return sum
}

// keep lets the node append a snapshot if its keeper says so.
func (w *world) keep(n *node) {
	view := fold.KeeperView{
		Next:         n.stream.Next(),
		SnapshotBase: n.stream.SnapshotBase(),
		Bytes:        n.stream.BytesSinceSnapshot(),
		MismatchBase: n.stream.MismatchBase(),
		First:        n.tailer.First(),
	}
	if w.quiet || !n.tailer.Ready() || !w.reachesLog(n) || !n.keeper.Due(w.now, view, n.peers.FleetRank("snapshot")) {
		return
	}
	snapshot, err := n.stream.Snapshot()
	assert.NilError(w.t, err)
	chunks, err := fold.Chunks(snapshot, n.id)
	assert.NilError(w.t, err)
	for _, chunk := range chunks {
		w.append(chunk)
	}
}

// check holds the node to the promises that hold at every moment.
func (w *world) check(n *node) {
	assert.Equal(w.t, n.fold.Document().Revision, w.revisions[n.stream.Next()], "%s at %d", n.id, n.stream.Next())
	if n.tailer.Ready() && !n.lost {
		assert.Assert(w.t, n.stream.Next() >= n.bornEnd, "%s ready at %d, the log ended at %d", n.id, n.stream.Next(), n.bornEnd)
	}
	if n.tailer.Ready() {
		assert.Assert(w.t, n.stream.Next() > 1 || n.bornEnd == 1, "%s ready without a state", n.id)
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.logDown = false
	w.logLatency = 0
	w.silent = 0
	w.doubled = 0
	clear(w.cutFromLog)
	clear(w.cutZones)
	for _, n := range w.nodes {
		n.frozen = false
	}
}

// longPolls counts the nodes of a zone that wait on the log.
func (w *world) longPolls(zone platform.Zone) int {
	return len(slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool {
		return n.zone != zone || !slices.ContainsFunc(n.waiting, func(p pending) bool {
			read, ok := p.read.(tail.ReadLog)
			return ok && read.Wait > 0
		})
	}))
}
