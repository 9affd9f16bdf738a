package rollout

import (
	"strconv"
	"strings"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// MaxCountersPerStep bounds the instances whose counters a [Merger] keeps for
// one step of one run.
const MaxCountersPerStep = 4096

// Counter is one instance's evidence at one step of one run. Evidence is counted
// since the start of the instance or of the step, whichever is later. The counts
// never decrease.
type Counter struct {
	Instance platform.InstanceID
	// Sequence orders the counters of one instance.
	Sequence uint64
	Run      Run
	Step     int
	// Exposed is the number of requests charged to the instance's grants of the
	// run, at all steps.
	Exposed  int
	Evidence Evidence
}

// Key encodes the run and the step of a counter for peer messages. See
// [ParseKey].
func (c Counter) Key() string {
	return strconv.FormatUint(c.Run.Revision, 10) + "/" + strconv.Itoa(c.Step) + "/" + string(c.Run.ID)
}

// ParseKey decodes a [Counter.Key].
func ParseKey(key string) (run Run, step int, ok bool) {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) != 3 || parts[2] == "" {
		return Run{}, 0, false
	}
	revision, err := strconv.ParseUint(parts[0], 10, 64)
	if err != nil {
		return Run{}, 0, false
	}
	step, err = strconv.Atoi(parts[1])
	if err != nil || step < 0 {
		return Run{}, 0, false
	}
	return Run{ID: document.RolloutID(parts[2]), Revision: revision}, step, true
}

// Merger sums the latest counter of each instance, including instances that
// have left. It is not safe for concurrent use.
type Merger struct {
	steps map[stepKey]map[platform.InstanceID]Counter
}

type stepKey struct {
	run  Run
	step int
}

// NewMerger returns a merger without counters.
func NewMerger() *Merger {
	return &Merger{steps: map[stepKey]map[platform.InstanceID]Counter{}}
}

// Merge records a counter. It drops a counter that has a negative count, that is
// not newer than the recorded one of its instance, or that is the first of its instance
// when [MaxCountersPerStep] instances are recorded.
func (m *Merger) Merge(counter Counter) {
	if !counter.Evidence.valid() {
		return
	}
	key := stepKey{run: counter.Run, step: counter.Step}
	counters, ok := m.steps[key]
	if !ok {
		counters = map[platform.InstanceID]Counter{}
		m.steps[key] = counters
	}
	previous, ok := counters[counter.Instance]
	if ok && previous.Sequence >= counter.Sequence {
		return
	}
	if !ok && len(counters) >= MaxCountersPerStep {
		return
	}
	counters[counter.Instance] = counter
}

// Total returns the sum of the recorded evidence at one step of one run.
func (m *Merger) Total(run Run, step int) Evidence {
	var total Evidence
	for _, counter := range m.steps[stepKey{run: run, step: step}] {
		total = total.Plus(counter.Evidence)
	}
	return total
}

// Retain drops the counters of all steps except the current step of each run
// in statuses, which bounds the size of the merger.
func (m *Merger) Retain(statuses []Status) {
	current := make(map[stepKey]bool, len(statuses))
	for _, status := range statuses {
		current[stepKey{run: status.Run, step: status.Step}] = true
	}
	for key := range m.steps {
		if !current[key] {
			delete(m.steps, key)
		}
	}
}
