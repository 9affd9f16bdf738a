package rollout

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Change records a verdict on a run for the audit trail. It is the same on
// every instance.
type Change struct {
	Position platform.Position   `json:"position"`
	EntryID  string              `json:"entry_id"`
	Writer   platform.InstanceID `json:"writer"`
	Verdict  Verdict             `json:"verdict"`
	// Applied reports whether the verdict changed the run.
	Applied bool `json:"counted"`
}

// Fold folds the control stream into the state of all runs. It implements
// fold.Part.
//
// The roll-outs in force come from the same stream. The fold reads them from
// the document of config.Fold, so config.Fold must precede it in the stream's
// list of parts: config.Fold has then already applied the entry, and all
// instances read the same document at the same position.
type Fold struct {
	document func() *config.Document
	onChange func(Change)
	state    foldState
}

// foldState is the state of a Fold. Its JSON encoding is the snapshot.
type foldState struct {
	// Section is the revision of the roll-outs section that Runs reflects.
	Section config.Revision                  `json:"section"`
	Runs    map[document.RolloutID]*runState `json:"runs"`
}

type runState struct {
	Run      Run                               `json:"run"`
	Rollout  document.Rollout                  `json:"rollout"`
	Step     int                               `json:"step"`
	Halted   bool                              `json:"braked"`
	Complete bool                              `json:"complete"`
	Reason   string                            `json:"reason"`
	Granted  int                               `json:"granted"`
	Grants   map[platform.InstanceID]allotment `json:"grants"`
	// Extra is the number of requests that accepted verdicts added to the
	// budget.
	Extra int `json:"extra"`
	// PriorGood counts the candidate's good answers at earlier steps, according to
	// the evidence of accepted verdicts.
	PriorGood int `json:"proven"`
}

// allotment sums the accepted grants of one instance.
type allotment struct {
	Requests int    `json:"requests"`
	Sequence uint64 `json:"sequence"`
}

// NewFold returns a fold without runs. The function document returns the document
// of the config fold that precedes this one in the stream's list of parts. The
// function onChange, if not nil, is called for every well-formed verdict on a
// current run, whether applied or not.
func NewFold(document func() *config.Document, onChange func(Change)) *Fold {
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Fold{document: document, onChange: onChange, state: newFoldState()}
}

func newFoldState() foldState {
	return foldState{Runs: map[document.RolloutID]*runState{}}
}

// Name implements fold.Part.
func (f *Fold) Name() string { return "rollouts" }

// Apply implements fold.Part.
func (f *Fold) Apply(position platform.Position, entry platform.Entry) {
	switch entry.Kind {
	case config.KindProposal, config.KindSnapshot:
		f.syncRuns()
	case KindVerdict:
		f.applyVerdict(position, entry)
	case KindGrant:
		f.applyGrant(entry)
	}
}

// Snapshot implements fold.Part.
func (f *Fold) Snapshot() (json.RawMessage, error) {
	snapshot, err := json.Marshal(f.state)
	return snapshot, eris.Wrap(err, "rollout: encode snapshot")
}

// Restore implements fold.Part.
func (f *Fold) Restore(snapshot json.RawMessage) error {
	state := newFoldState()
	if err := json.Unmarshal(snapshot, &state); err != nil {
		return eris.Wrap(err, "rollout: decode snapshot")
	}
	if state.Runs == nil {
		state.Runs = newFoldState().Runs
	}
	for id, run := range state.Runs {
		if run == nil || !run.valid(id) {
			return eris.Errorf("rollout: snapshot contains an inconsistent run %q", id)
		}
		if run.Grants == nil {
			run.Grants = map[platform.InstanceID]allotment{}
		}
	}
	f.state = state
	return nil
}

// Status returns the state of the current run of a roll-out.
func (f *Fold) Status(id document.RolloutID) (Status, bool) {
	run, ok := f.state.Runs[id]
	if !ok {
		return Status{}, false
	}
	return run.status(), true
}

// Statuses returns the state of all current runs, sorted by roll-out name.
func (f *Fold) Statuses() []Status {
	statuses := make([]Status, 0, len(f.state.Runs))
	for _, id := range slices.Sorted(maps.Keys(f.state.Runs)) {
		statuses = append(statuses, f.state.Runs[id].status())
	}
	return statuses
}

// Allotment is one instance's total of accepted grants of one run.
type Allotment struct {
	Run      Run
	Requests int
	// Sequence is the highest sequence number of the instance's grants.
	Sequence uint64
}

// Allotted returns the instance's grants of the current run of a roll-out, or the
// zero value if the roll-out has no run.
func (f *Fold) Allotted(id document.RolloutID, instance platform.InstanceID) Allotment {
	run, ok := f.state.Runs[id]
	if !ok {
		return Allotment{}
	}
	grant := run.Grants[instance]
	return Allotment{Run: run.Run, Requests: grant.Requests, Sequence: grant.Sequence}
}

// syncRuns creates, updates and removes runs to match the roll-outs section in
// force.
func (f *Fold) syncRuns() {
	section := f.document().Sections[document.SectionRollouts]
	if section.Revision == f.state.Section {
		return
	}
	var rollouts map[document.RolloutID]document.Rollout
	if err := json.Unmarshal(section.Body, &rollouts); err != nil {
		return
	}
	f.state.Section = section.Revision
	runs := make(map[document.RolloutID]*runState, len(rollouts))
	for id, rollout := range rollouts {
		run, ok := f.state.Runs[id]
		if ok && isSameRun(run.Rollout, rollout) {
			run.Rollout.State = rollout.State
			runs[id] = run
			continue
		}
		runs[id] = &runState{
			Run:     Run{ID: id, Revision: uint64(section.Revision)},
			Rollout: rollout,
			Grants:  map[platform.InstanceID]allotment{},
		}
	}
	f.state.Runs = runs
}

// isSameRun reports whether the run continues after an edit of its roll-out. A
// change of any field other than the state, or a change of the state from
// aborted to another one, starts a new run.
func isSameRun(before, after document.Rollout) bool {
	restarted := before.State == document.RolloutAborted && after.State != document.RolloutAborted
	return !restarted &&
		before.Model == after.Model &&
		before.Candidate == after.Candidate &&
		before.Budget == after.Budget &&
		before.MaxErrorRate == after.MaxErrorRate &&
		slices.Equal(before.Steps, after.Steps)
}

func (f *Fold) applyVerdict(position platform.Position, entry platform.Entry) {
	var verdict Verdict
	if err := json.Unmarshal(entry.Body, &verdict); err != nil || !verdict.Evidence.valid() {
		return
	}
	run, ok := f.state.Runs[verdict.Run.ID]
	if !ok || run.Run != verdict.Run {
		return
	}
	applied := run.applyVerdict(verdict)
	f.onChange(Change{
		Position: position,
		EntryID:  entry.ID,
		Writer:   entry.Writer,
		Verdict:  verdict,
		Applied:  applied,
	})
}

func (f *Fold) applyGrant(entry platform.Entry) {
	var grant Grant
	if err := json.Unmarshal(entry.Body, &grant); err != nil || grant.Requests < 0 {
		return
	}
	run, ok := f.state.Runs[grant.Run.ID]
	if !ok || run.Run != grant.Run {
		return
	}
	run.applyGrant(grant)
}

// applyVerdict applies a verdict and reports whether it changed the run.
func (r *runState) applyVerdict(verdict Verdict) bool {
	if verdict.Action == Halt {
		return r.halt(verdict)
	}
	if r.Halted || r.Complete || verdict.Step != r.Step {
		return false
	}
	good := min(r.PriorGood+verdict.Evidence.CandidateGood, r.Granted)
	extra := min(verdict.Allowance-r.Rollout.Budget, ExposurePerGood*good)
	last := r.Step >= len(r.Rollout.Steps)-1
	switch {
	case verdict.Action == Extend && extra > r.Extra:
	case verdict.Action == Advance && !last:
		r.PriorGood = max(r.PriorGood, good)
		r.Step++
	case verdict.Action == Complete && last:
		r.Complete = true
	default:
		return false
	}
	r.Extra = max(r.Extra, extra)
	r.Reason = verdict.Reason
	return true
}

func (r *runState) halt(verdict Verdict) bool {
	if r.Halted || verdict.Step < 0 || verdict.Step > r.Step {
		return false
	}
	r.Halted = true
	r.Reason = verdict.Reason
	return true
}

func (r *runState) applyGrant(grant Grant) {
	granted := r.Grants[grant.Instance]
	if r.Halted || grant.Sequence <= granted.Sequence {
		return
	}
	requests := min(grant.Requests, r.allowance()-r.Granted)
	granted.Requests += requests
	granted.Sequence = grant.Sequence
	r.Grants[grant.Instance] = granted
	r.Granted += requests
}

// allowance returns the run's allowance. It never decreases during a run.
func (r *runState) allowance() int { return r.Rollout.Budget + r.Extra }

func (r *runState) share() float64 {
	switch {
	case r.Halted || r.Rollout.State != document.RolloutRunning:
		return 0
	case r.Complete:
		return 1
	default:
		return min(r.Rollout.Steps[r.Step], MaxShare)
	}
}

func (r *runState) status() Status {
	return Status{
		Run:       r.Run,
		Step:      r.Step,
		Halted:    r.Halted,
		Complete:  r.Complete,
		Granted:   r.Granted,
		Reason:    r.Reason,
		Share:     r.share(),
		Allowance: r.allowance(),
		PriorGood: r.PriorGood,
		Rollout:   r.Rollout,
	}
}

// valid reports whether the state belongs to the roll-out id and satisfies the
// invariants that folding entries preserves.
func (r *runState) valid(id document.RolloutID) bool {
	sum := 0
	for _, grant := range r.Grants {
		if grant.Requests < 0 || grant.Requests > r.Granted {
			return false
		}
		sum += grant.Requests
	}
	return r.Run.ID == id &&
		r.Step >= 0 && r.Step < len(r.Rollout.Steps) &&
		r.Extra >= 0 && r.PriorGood >= 0 &&
		r.Granted == sum && r.Granted <= r.allowance()
}
