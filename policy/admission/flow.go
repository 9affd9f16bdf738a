package admission

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// flow is the state of one account in a queue.
type flow struct {
	account document.AccountID
	weight  float64
	// virtual is the slot time used, in nanoseconds, divided by the weight.
	virtual float64
	// waiting holds the queued entries in the order in which they start.
	waiting []*entry
	// backlog is the expected slot time of the queued entries.
	backlog time.Duration
	running int
}

func (f *flow) last() *entry { return f.waiting[len(f.waiting)-1] }

// position returns where an entry of the priority would be queued.
func (f *flow) position(priority int) int {
	position := len(f.waiting)
	for position > 0 && f.waiting[position-1].request.Priority < priority {
		position--
	}
	return position
}

// end returns the virtual time at which the flow's queue would be served.
func (f *flow) end() float64 { return f.virtual + float64(f.backlog)/f.weight }

// flowSet keeps the flows that have requests, in order of their coming, and
// their common virtual time.
type flowSet struct {
	virtual float64
	byName  map[document.AccountID]*flow
	ordered []*flow
}

func newFlowSet() flowSet {
	return flowSet{byName: make(map[document.AccountID]*flow)}
}

// flow returns the account's flow. A new one starts at the common virtual time.
func (s *flowSet) flow(account document.AccountID, weight float64) *flow {
	if !(weight > 0) {
		weight = 1
	}
	known, ok := s.byName[account]
	if !ok {
		known = &flow{account: account, virtual: s.virtual}
		s.byName[account] = known
		s.ordered = append(s.ordered, known)
	}
	known.weight = weight
	return known
}

// release forgets a flow that has no requests and is not ahead of the others.
func (s *flowSet) release(f *flow) {
	if len(f.waiting) > 0 || f.running > 0 || f.virtual > s.virtual {
		return
	}
	delete(s.byName, f.account)
	s.ordered = slices.DeleteFunc(s.ordered, func(other *flow) bool { return other == f })
}

func (s *flowSet) push(added *entry) {
	f := added.flow
	if len(f.waiting) == 0 {
		f.virtual = max(f.virtual, s.virtual)
	}
	f.waiting = slices.Insert(f.waiting, f.position(added.request.Priority), added)
	f.backlog += added.expected
}

func (s *flowSet) remove(waiting *entry) {
	f := waiting.flow
	at := slices.Index(f.waiting, waiting)
	f.waiting = slices.Delete(f.waiting, at, at+1)
	f.backlog -= waiting.expected
	s.release(f)
}

// next returns the entry that starts next, or nil.
func (s *flowSet) next() *entry {
	var first *flow
	for _, f := range s.ordered {
		if len(f.waiting) > 0 && (first == nil || f.virtual < first.virtual) {
			first = f
		}
	}
	if first == nil {
		return nil
	}
	return first.waiting[0]
}

// start moves the entry returned by next from its queue to a slot, and charges
// its expected slot time.
func (s *flowSet) start(started *entry) {
	f := started.flow
	f.waiting = slices.Delete(f.waiting, 0, 1)
	f.backlog -= started.expected
	f.running++
	s.virtual = max(s.virtual, f.virtual)
	f.virtual += float64(started.expected) / f.weight
}

// finish corrects the charge by the slot time that was used.
func (s *flowSet) finish(ended *entry, took time.Duration) {
	f := ended.flow
	f.running--
	f.virtual += float64(took-ended.expected) / f.weight
	s.release(f)
	s.sweep()
}

// sweep forgets idle flows that the common virtual time has overtaken.
func (s *flowSet) sweep() {
	for i := len(s.ordered) - 1; i >= 0; i-- {
		s.release(s.ordered[i])
	}
}

// ahead returns the slot time of the queued work that would start before the
// added entry.
func (s *flowSet) ahead(added *entry) time.Duration {
	own := added.flow
	var before time.Duration
	for _, waiting := range own.waiting[:own.position(added.request.Priority)] {
		before += waiting.expected
	}
	begin := max(own.virtual, s.virtual)
	if len(own.waiting) > 0 {
		begin = own.virtual
	}
	turn := begin + float64(before)/own.weight
	for _, other := range s.ordered {
		if other == own || len(other.waiting) == 0 || other.virtual > turn {
			continue
		}
		served := time.Duration((turn-other.virtual)*other.weight) + other.waiting[0].expected
		before += min(other.backlog, served)
	}
	return before
}

// late returns the queued entries that would not finish before their deadline
// if they started now.
func (s *flowSet) late(now time.Time) []*entry {
	var late []*entry
	for _, f := range s.ordered {
		for _, waiting := range f.waiting {
			if now.Add(waiting.needed).After(waiting.deadline) {
				late = append(late, waiting)
			}
		}
	}
	return late
}

// longest returns the flow whose queue would be served last, or nil.
func (s *flowSet) longest() *flow {
	var longest *flow
	for _, f := range s.ordered {
		if len(f.waiting) > 0 && (longest == nil || f.end() > longest.end()) {
			longest = f
		}
	}
	return longest
}
