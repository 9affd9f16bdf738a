package rollout

import (
	"sync"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
)

// MaxIncumbentRatio bounds the incumbent's answers counted per answer of the
// candidate. More of them hardly improve the precision of the comparison.
const MaxIncumbentRatio = 20

// minIncumbentCount is the number of the incumbent's answers that may be
// counted before the first answer of the candidate.
const minIncumbentCount = 20

// Ledger tracks one instance's grants and exposure of all runs and counts the
// answers. It implements session.Exposer and is safe for concurrent use.
type Ledger struct {
	instance platform.InstanceID

	mu       sync.Mutex
	runs     map[Run]*runExposure
	byModel  map[document.ModelName]*runExposure
	sequence uint64
}

// runExposure is the ledger's state of one run. It must be kept as long as the
// run is current, because spent is never restored from anywhere else. A new state
// would allow the spent grants to be spent again.
type runExposure struct {
	status  Status
	granted int
	spent   int
	// unexposed counts the sessions inside the share since the last call of
	// Needs that were not exposed because all grants were spent.
	unexposed int
	// stopped is set by Stop and never cleared.
	stopped  bool
	evidence Evidence
}

// NewLedger returns the ledger of an instance. The ledger has no grants yet.
func NewLedger(instance platform.InstanceID) *Ledger {
	return &Ledger{instance: instance}
}

// Update replaces the current runs by those in statuses and this instance's
// grants by the results of the function allotted. Both come from the fold.
func (l *Ledger) Update(statuses []Status, allotted func(document.RolloutID) Allotment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := make(map[Run]*runExposure, len(statuses))
	byModel := make(map[document.ModelName]*runExposure, len(statuses))
	for _, status := range statuses {
		run := l.updateRun(status, allotted(status.Run.ID))
		current[status.Run] = run
		other, taken := byModel[status.Rollout.Model]
		if !taken || other.status.Rollout.State != document.RolloutRunning {
			byModel[status.Rollout.Model] = run
		}
	}
	l.runs = current
	l.byModel = byModel
}

func (l *Ledger) updateRun(status Status, allotment Allotment) *runExposure {
	run, ok := l.runs[status.Run]
	if !ok {
		run = &runExposure{}
	}
	if run.status.Step != status.Step {
		run.evidence = Evidence{}
	}
	run.status = status
	run.granted = allotment.Requests
	return run
}

// Expose implements session.Exposer.
func (l *Ledger) Expose(
	model document.ModelName,
	id session.ID,
	allowed func(document.VersionName) bool,
) (document.VersionName, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, ok := l.byModel[model]
	if !ok || run.stopped || Bucket(run.status.Run, id) >= run.status.Share {
		return "", false
	}
	if !allowed(run.status.Rollout.Candidate) {
		return "", false
	}
	if run.status.Complete {
		return run.status.Rollout.Candidate, true
	}
	if run.spent >= run.granted {
		run.unexposed++
		return "", false
	}
	run.spent++
	return run.status.Rollout.Candidate, true
}

// Charge counts a later request of a session whose pinned version is ref, if ref
// is the candidate of a run that is not complete. The request is never refused,
// because a session keeps its version.
func (l *Ledger) Charge(ref document.Ref) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, ok := l.byModel[ref.Model]
	if ok && run.status.Rollout.Candidate == ref.Version && !run.status.Complete {
		run.spent++
	}
}

// Observe counts an answer of a model version. An answer is not good if it failed
// or was rated not good enough. Every version other than the candidate counts as
// the incumbent, whose further answers are ignored above the limit set by
// [MaxIncumbentRatio].
func (l *Ledger) Observe(ref document.Ref, good bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, ok := l.byModel[ref.Model]
	if !ok {
		return
	}
	if ref.Version == run.status.Rollout.Candidate {
		run.evidence = run.evidence.Plus(candidateAnswer(good))
		return
	}
	if run.evidence.Incumbent() < minIncumbentCount+MaxIncumbentRatio*run.evidence.Candidate() {
		run.evidence = run.evidence.Plus(incumbentAnswer(good))
	}
}

// Stop excludes new sessions of this instance from the run's candidate until
// the run ends, without waiting for a verdict in the log.
func (l *Ledger) Stop(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if exposure, ok := l.runs[run]; ok {
		exposure.stopped = true
	}
}

// Counters returns the instance's counters of all current runs.
func (l *Ledger) Counters() []Counter {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	counters := make([]Counter, 0, len(l.runs))
	for _, run := range l.runs {
		counters = append(counters, Counter{
			Instance: l.instance,
			Sequence: l.sequence,
			Run:      run.status.Run,
			Step:     run.status.Step,
			Exposed:  run.spent,
			Evidence: run.evidence,
		})
	}
	return counters
}

// Need describes an instance's demand for further grants of one run.
type Need struct {
	Run Run
	// Remaining is the number of granted requests not spent yet. It is
	// negative after overdrawing.
	Remaining int
	// Unexposed counts the sessions since the last call of [Ledger.Needs] that
	// were not exposed because all grants were spent.
	Unexposed int
}

// Needs returns the instance's needs of all current runs and resets the counts
// of unexposed sessions.
func (l *Ledger) Needs() map[Run]Need {
	l.mu.Lock()
	defer l.mu.Unlock()
	needs := make(map[Run]Need, len(l.runs))
	for _, run := range l.runs {
		needs[run.status.Run] = Need{
			Run:       run.status.Run,
			Remaining: run.granted - run.spent,
			Unexposed: run.unexposed,
		}
		run.unexposed = 0
	}
	return needs
}

func candidateAnswer(good bool) Evidence {
	if good {
		return Evidence{CandidateGood: 1}
	}
	return Evidence{CandidateBad: 1}
}

func incumbentAnswer(good bool) Evidence {
	if good {
		return Evidence{IncumbentGood: 1}
	}
	return Evidence{IncumbentBad: 1}
}
