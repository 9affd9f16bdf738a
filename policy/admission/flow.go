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
	// virtualTime advances by the slot time used, in nanoseconds, divided by the weight.
	virtualTime float64
	// waiting holds the queued entries in the order in which they start.
	waiting []*entry
	// backlog is the expected slot time of the queued entries.
	backlog time.Duration
	running int
}

func (f *flow) lastWaiting() *entry { return f.waiting[len(f.waiting)-1] }

// position returns the index at which a new entry of the given priority would be
// queued.
func (f *flow) position(priority int) int {
	position := len(f.waiting)
	for position > 0 && f.waiting[position-1].request.Priority < priority {
		position--
	}
	return position
}

// virtualEnd returns the virtual time at which all of the flow's queued entries would
// have been served.
func (f *flow) virtualEnd() float64 { return f.virtualTime + float64(f.backlog)/f.weight }

// flowSet holds the flows of the active accounts in order of arrival, and their
// common virtual time. A flow without requests is kept while its virtual time is
// ahead of the common one.
type flowSet struct {
	virtualTime float64
	byAccount   map[document.AccountID]*flow
	ordered     []*flow
}

func newFlowSet() flowSet {
	return flowSet{byAccount: make(map[document.AccountID]*flow)}
}

// flow returns the account's flow. A new flow starts at the common virtual time.
func (s *flowSet) flow(account document.AccountID, weight float64) *flow {
	if !(weight > 0) {
		weight = 1
	}
	f, ok := s.byAccount[account]
	if !ok {
		f = &flow{account: account, virtualTime: s.virtualTime}
		s.byAccount[account] = f
		s.ordered = append(s.ordered, f)
	}
	f.weight = weight
	return f
}

// removeIfIdle removes a flow that has no requests and whose virtual time is not ahead
// of the common one.
func (s *flowSet) removeIfIdle(f *flow) {
	if len(f.waiting) > 0 || f.running > 0 || f.virtualTime > s.virtualTime {
		return
	}
	delete(s.byAccount, f.account)
	s.ordered = slices.DeleteFunc(s.ordered, func(other *flow) bool { return other == f })
}

func (s *flowSet) push(e *entry) {
	f := e.flow
	if len(f.waiting) == 0 {
		f.virtualTime = max(f.virtualTime, s.virtualTime)
	}
	f.waiting = slices.Insert(f.waiting, f.position(e.request.Priority), e)
	f.backlog += e.expected
}

func (s *flowSet) remove(e *entry) {
	f := e.flow
	index := slices.Index(f.waiting, e)
	f.waiting = slices.Delete(f.waiting, index, index+1)
	f.backlog -= e.expected
	s.removeIfIdle(f)
}

// next returns the entry that starts next, or nil.
func (s *flowSet) next() *entry {
	var first *flow
	for _, f := range s.ordered {
		if len(f.waiting) > 0 && (first == nil || f.virtualTime < first.virtualTime) {
			first = f
		}
	}
	if first == nil {
		return nil
	}
	return first.waiting[0]
}

// start moves e, the first waiting entry of its flow, to a slot and charges the
// expected slot time to the flow.
func (s *flowSet) start(e *entry) {
	f := e.flow
	f.waiting = slices.Delete(f.waiting, 0, 1)
	f.backlog -= e.expected
	f.running++
	s.virtualTime = max(s.virtualTime, f.virtualTime)
	f.virtualTime += float64(e.expected) / f.weight
}

// finish releases the slot and replaces the expected slot time charged to the flow by
// the time used.
func (s *flowSet) finish(e *entry, took time.Duration) {
	f := e.flow
	f.running--
	f.virtualTime += float64(took-e.expected) / f.weight
	s.removeIfIdle(f)
	s.removeIdle()
}

// removeIdle removes the idle flows that the common virtual time has reached.
func (s *flowSet) removeIdle() {
	for i := len(s.ordered) - 1; i >= 0; i-- {
		s.removeIfIdle(s.ordered[i])
	}
}

// workAhead returns the expected slot time of the queued entries that would start
// before the new entry e.
func (s *flowSet) workAhead(e *entry) time.Duration {
	f := e.flow
	var ahead time.Duration
	for _, queued := range f.waiting[:f.position(e.request.Priority)] {
		ahead += queued.expected
	}
	flowTime := max(f.virtualTime, s.virtualTime)
	if len(f.waiting) > 0 {
		flowTime = f.virtualTime
	}
	virtualStart := flowTime + float64(ahead)/f.weight
	for _, other := range s.ordered {
		if other == f || len(other.waiting) == 0 || other.virtualTime > virtualStart {
			continue
		}
		served := time.Duration((virtualStart-other.virtualTime)*other.weight) + other.waiting[0].expected
		ahead += min(other.backlog, served)
	}
	return ahead
}

// overdue returns the queued entries that would miss their deadline even if they
// started now.
func (s *flowSet) overdue(now time.Time) []*entry {
	var overdue []*entry
	for _, f := range s.ordered {
		for _, e := range f.waiting {
			if now.Add(e.needed).After(e.deadline) {
				overdue = append(overdue, e)
			}
		}
	}
	return overdue
}

// lastToFinish returns the flow whose queue would be served last, or nil.
func (s *flowSet) lastToFinish() *flow {
	var last *flow
	for _, f := range s.ordered {
		if len(f.waiting) > 0 && (last == nil || f.virtualEnd() > last.virtualEnd()) {
			last = f
		}
	}
	return last
}
