package rollout

import (
	"sync"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
)

// MaxIncumbentRatio bounds the incumbent's answers counted per answer of the
// candidate; more of them hardly sharpen the comparison.
const MaxIncumbentRatio = 20

// minIncumbentCount is the number of the incumbent's answers that is counted
// before the first answer of the candidate.
const minIncumbentCount = 20

// Ledger is one instance's share of all runs: what it may still expose, and
// the counters of what came of it. It implements session.Exposer and is safe
// for concurrent use.
type Ledger struct {
	instance platform.InstanceID

	mu       sync.Mutex
	runs     map[Run]*account
	byModel  map[document.ModelName]*account
	sequence uint64
}

// account is the ledger's view of one run. It must live as long as the run is
// present, because what it spent is recorded nowhere else.
type account struct {
	status  Status
	granted int
	spent   int
	// wanted counts sessions that fell inside the share without exposure
	// left, since the last update.
	wanted int
	// stopped is set by a local brake and never cleared.
	stopped  bool
	evidence Evidence
}

// NewLedger returns the ledger of an instance that was granted nothing yet.
func NewLedger(instance platform.InstanceID) *Ledger {
	return &Ledger{instance: instance}
}

// Update takes the fold's state over: the present runs and what each grants to
// this instance.
func (l *Ledger) Update(statuses []Status, allotted func(document.RolloutID) Allotment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[Run]*account, len(statuses))
	byModel := make(map[document.ModelName]*account, len(statuses))
	for _, status := range statuses {
		run := l.updated(status, allotted(status.Run.ID))
		present[status.Run] = run
		other, taken := byModel[status.Rollout.Model]
		if !taken || other.status.Rollout.State != document.RolloutRunning {
			byModel[status.Rollout.Model] = run
		}
	}
	l.runs = present
	l.byModel = byModel
}

func (l *Ledger) updated(status Status, allotment Allotment) *account {
	run, ok := l.runs[status.Run]
	if !ok {
		run = &account{}
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
		run.wanted++
		return "", false
	}
	run.spent++
	return run.status.Rollout.Candidate, true
}

// Charge counts a later request of a session whose pinned version is ref. It
// is never refused, because a session keeps its version.
func (l *Ledger) Charge(ref document.Ref) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, ok := l.byModel[ref.Model]
	if ok && run.status.Rollout.Candidate == ref.Version && !run.status.Complete {
		run.spent++
	}
}

// Observe counts an answer of a model version, once its worth is known: bad if
// it failed or was rated not good enough.
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

// Stop gives the run's candidate to no new session of this instance, without
// waiting for the log. It lasts as long as the run.
func (l *Ledger) Stop(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if account, ok := l.runs[run]; ok {
		account.stopped = true
	}
}

// Counters returns the instance's counters of all present runs.
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

// Need is what the instance lacks of one run.
type Need struct {
	Run Run
	// Left is the exposure left; negative after overdrawing.
	Left int
	// Wanted counts the sessions since the last call that found none left.
	Wanted int
}

// Needs returns what the instance lacks, and starts counting anew.
func (l *Ledger) Needs() map[Run]Need {
	l.mu.Lock()
	defer l.mu.Unlock()
	needs := make(map[Run]Need, len(l.runs))
	for _, run := range l.runs {
		needs[run.status.Run] = Need{
			Run:    run.status.Run,
			Left:   run.granted - run.spent,
			Wanted: run.wanted,
		}
		run.wanted = 0
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
