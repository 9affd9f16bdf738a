package experiment

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
	"github.com/wigeonusher/wigeonusher/policy/session"
)

// Names in the policy document of a fleet.
const (
	fleetModel     = document.ModelName("model")
	fleetIncumbent = document.VersionName("incumbent")
	fleetCandidate = document.VersionName("candidate")
	fleetAccount   = document.AccountID("account")
	fleetRollout   = document.RolloutID("rollout")
)

// fleetCase describes one run of a fleet.
type fleetCase struct {
	instances int
	zones     int
	// arrivals is the mean number of new sessions per second over the fleet. Each
	// session has one request.
	arrivals float64
	// candidateBad and incumbentBad are the shares of bad answers per version.
	candidateBad float64
	incumbentBad float64
	// degradesAt is the time from which candidateBad applies. Before it, the
	// candidate fails as often as the incumbent.
	degradesAt time.Duration
	// ratedShare is the share of answers that are rated, after serviceTime plus an
	// exponential delay of mean ratingDelay. ratingInverted is the share of the
	// ratings that are inverted.
	ratedShare     float64
	serviceTime    time.Duration
	ratingDelay    time.Duration
	ratingInverted float64
	// From partitionFrom to partitionUntil, zone 0 is cut off from the log and
	// from the other zones.
	partitionFrom  time.Duration
	partitionUntil time.Duration
	// limit is the maximum length of the run.
	limit   time.Duration
	rollout document.Rollout
	decider func(platform.InstanceID) rollout.Decider
}

// fleetResult is the result of a run.
type fleetResult struct {
	exposed  int
	bad      int
	endedAt  time.Duration
	halted   bool
	complete bool
	// exceededGrants is the largest number of requests by which the exposure
	// exceeded the grants in the log.
	exceededGrants int
	// entries counts the appended verdicts and grants.
	entries int
}

// fleet is one run of a fleetCase.
type fleet struct {
	fleetCase
	random          *rand.Rand
	policy          *document.Policy
	log             []platform.Record
	auditor         *fleetNode
	nodes           []*fleetNode
	pendingOutcomes outcomeHeap
	now             time.Duration
	sessions        int
	result          fleetResult
	published       []rollout.Counter
}

// fleetNode is one instance.
type fleetNode struct {
	id      platform.InstanceID
	zone    int
	stream  *fold.Stream
	runs    *rollout.Fold
	ledger  *rollout.Ledger
	merger  *rollout.Merger
	decider rollout.Decider
	writes  int
}

// pendingOutcome is the rating of one answer that its instance has not received
// yet.
type pendingOutcome struct {
	at   time.Duration
	node *fleetNode
	ref  document.Ref
	good bool
}

type outcomeHeap []pendingOutcome

func (h outcomeHeap) Len() int           { return len(h) }
func (h outcomeHeap) Less(a, b int) bool { return h[a].at < h[b].at }
func (h outcomeHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *outcomeHeap) Push(x any)        { *h = append(*h, x.(pendingOutcome)) }
func (h *outcomeHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

const fleetTick = time.Second

// runFleet runs a roll-out until every instance has read its end from the log, or
// until the limit.
func runFleet(c fleetCase, seed uint64) fleetResult {
	f := &fleet{fleetCase: c, random: rand.New(rand.NewPCG(seed, 1))}
	f.policy = fleetPolicy(c.rollout)
	f.auditor = f.newNode("judge", -1)
	for i := range c.instances {
		id := platform.InstanceID(fmt.Sprintf("i-%d", i))
		f.nodes = append(f.nodes, f.newNode(id, i%c.zones))
	}
	f.publish(c.rollout)
	for f.now < c.limit && !f.allEnded() {
		f.now += fleetTick
		f.tick()
	}
	f.result.endedAt = f.now
	return f.result
}

func fleetPolicy(r document.Rollout) *document.Policy {
	serving := document.Version{State: document.VersionServing}
	return &document.Policy{
		Accounts: map[document.AccountID]document.Account{
			fleetAccount: {Allow: []document.Grant{{Model: fleetModel}}},
		},
		Models: map[document.ModelName]document.Model{fleetModel: {
			Stable: fleetIncumbent,
			Versions: map[document.VersionName]document.Version{
				fleetIncumbent: serving,
				fleetCandidate: serving,
			},
		}},
		Rollouts: map[document.RolloutID]document.Rollout{fleetRollout: r},
	}
}

func (f *fleet) newNode(id platform.InstanceID, zone int) *fleetNode {
	accept := func(*config.Document) finding.List { return nil }
	documents := config.NewFold(accept, nil)
	runs := rollout.NewFold(documents.Document, nil)
	return &fleetNode{
		id:      id,
		zone:    zone,
		stream:  fold.NewStream(documents, runs),
		runs:    runs,
		ledger:  rollout.NewLedger(id),
		merger:  rollout.NewMerger(),
		decider: f.decider(id),
	}
}

func (f *fleet) publish(r document.Rollout) {
	body, _ := json.Marshal(map[document.RolloutID]document.Rollout{fleetRollout: r})
	proposal := config.Proposal{Section: document.SectionRollouts, Author: "operator", Body: body}
	entry, _ := platform.NewEntry("proposal", config.KindProposal, "operator", proposal)
	f.append(entry)
}

func (f *fleet) append(entry platform.Entry) {
	payload, _ := platform.EncodeEntries([]platform.Entry{entry})
	f.log = append(f.log, platform.Record{Offset: platform.Offset(len(f.log) + 1), Payload: payload})
}

func (f *fleet) isPartitioned(node *fleetNode) bool {
	return node.zone == 0 && f.now >= f.partitionFrom && f.now < f.partitionUntil
}

func (f *fleet) allEnded() bool {
	for _, node := range f.nodes {
		status, ok := node.runs.Status(fleetRollout)
		if !ok || !(status.Halted || status.Complete) {
			return false
		}
	}
	return true
}

// tick simulates one second: instances read the log, sessions arrive, ratings are
// delivered, counters are exchanged, and decisions are made, in that order.
func (f *fleet) tick() {
	f.read(f.auditor)
	for _, node := range f.nodes {
		if !f.isPartitioned(node) {
			f.read(node)
		}
		node.ledger.Update(node.runs.Statuses(), func(id document.RolloutID) rollout.Allotment {
			return node.runs.Allotted(id, node.id)
		})
	}
	for range poisson(f.random, f.arrivals*fleetTick.Seconds()) {
		f.arrive(f.nodes[f.random.IntN(len(f.nodes))])
	}
	f.deliverOutcomes()
	f.exchange()
	for _, node := range f.nodes {
		f.decide(node)
	}
	f.audit()
}

func (f *fleet) read(node *fleetNode) {
	for node.stream.Next() <= platform.Offset(len(f.log)) {
		node.stream.Apply(f.log[node.stream.Next()-1])
	}
}

func (f *fleet) arrive(node *fleetNode) {
	f.sessions++
	id := session.ID(fmt.Sprint("s-", f.sessions))
	pin := session.NewPinSet(f.policy, node.ledger, fleetAccount, id, time.UnixMilli(f.now.Milliseconds()))
	ref := document.Ref{Model: fleetModel, Version: pin.Pins[fleetModel]}
	badShare := f.incumbentBad
	if ref.Version == fleetCandidate {
		f.result.exposed++
		if f.now >= f.degradesAt {
			badShare = f.candidateBad
		}
	}
	good := f.random.Float64() >= badShare
	if !good && ref.Version == fleetCandidate {
		f.result.bad++
	}
	f.scheduleOutcome(node, ref, good)
}

func (f *fleet) scheduleOutcome(node *fleetNode, ref document.Ref, good bool) {
	if f.random.Float64() >= f.ratedShare {
		return
	}
	if f.random.Float64() < f.ratingInverted {
		good = !good
	}
	delay := time.Duration(f.random.ExpFloat64() * float64(f.ratingDelay))
	heap.Push(&f.pendingOutcomes, pendingOutcome{at: f.now + f.serviceTime + delay, node: node, ref: ref, good: good})
}

func (f *fleet) deliverOutcomes() {
	for len(f.pendingOutcomes) > 0 && f.pendingOutcomes[0].at <= f.now {
		due := heap.Pop(&f.pendingOutcomes).(pendingOutcome)
		due.node.ledger.Observe(due.ref, due.good)
	}
}

// exchange merges into every node the node's current counters, and the counters that
// nodes on the same side of the partition published one tick earlier.
func (f *fleet) exchange() {
	received := f.published
	f.published = nil
	for _, node := range f.nodes {
		local := node.ledger.Counters()
		for _, counter := range local {
			node.merger.Merge(counter)
		}
		f.published = append(f.published, local...)
	}
	for _, node := range f.nodes {
		for _, counter := range received {
			if f.isPartitioned(node) == f.isPartitioned(f.nodeOf(counter.Instance)) {
				node.merger.Merge(counter)
			}
		}
	}
}

func (f *fleet) nodeOf(id platform.InstanceID) *fleetNode {
	for _, node := range f.nodes {
		if node.id == id {
			return node
		}
	}
	return f.auditor
}

func (f *fleet) decide(node *fleetNode) {
	statuses := node.runs.Statuses()
	allotments := map[rollout.Run]rollout.Allotment{}
	for _, status := range statuses {
		allotments[status.Run] = node.runs.Allotted(status.Run.ID, node.id)
	}
	effects := node.decider.Step(time.UnixMilli(f.now.Milliseconds()), rollout.Tick{
		Statuses:   statuses,
		Allotments: allotments,
		Needs:      node.ledger.Needs(),
		Evidence:   node.merger.Total,
		Rank:       f.rank(node),
		Live:       f.instances,
	})
	for _, effect := range effects {
		f.perform(node, effect)
	}
}

func (f *fleet) rank(node *fleetNode) int {
	rank := 0
	for _, other := range f.nodes {
		if other == node {
			return rank
		}
		if f.isPartitioned(other) == f.isPartitioned(node) {
			rank++
		}
	}
	return rank
}

func (f *fleet) perform(node *fleetNode, effect rollout.Effect) {
	switch e := effect.(type) {
	case rollout.StopLocally:
		node.ledger.Stop(e.Run)
	case rollout.AppendVerdict:
		f.write(node, rollout.KindVerdict, e.Verdict)
	case rollout.AppendGrant:
		f.write(node, rollout.KindGrant, e.Grant)
	}
}

// write appends an entry to the log unless the node is cut off from it.
func (f *fleet) write(node *fleetNode, kind platform.Kind, body any) {
	if f.isPartitioned(node) {
		return
	}
	node.writes++
	f.result.entries++
	entry, _ := platform.NewEntry(fmt.Sprint(node.id, "-", node.writes), kind, node.id, body)
	f.append(entry)
}

// audit compares the exposure with the grants in the complete log.
func (f *fleet) audit() {
	f.read(f.auditor)
	status, ok := f.auditor.runs.Status(fleetRollout)
	if !ok {
		return
	}
	f.result.halted = status.Halted
	f.result.complete = status.Complete
	if !status.Complete {
		f.result.exceededGrants = max(f.result.exceededGrants, f.result.exposed-status.Granted)
	}
}

// poisson draws a Poisson-distributed count with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for remaining := mean - random.ExpFloat64(); remaining > 0; remaining -= random.ExpFloat64() {
		count++
	}
	return count
}
