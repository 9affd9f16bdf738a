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

// Change is one entry's effect on a run, for the audit trail. It is the same
// on every instance.
type Change struct {
	Position platform.Position   `json:"position"`
	EntryID  string              `json:"entry_id"`
	Writer   platform.InstanceID `json:"writer"`
	Verdict  Verdict             `json:"verdict"`
	// Counted tells whether the verdict moved the run.
	Counted bool `json:"counted"`
}

// Fold is the state of all runs. It implements fold.Part.
//
// The roll-outs in force come from the same stream. The fold reads them from
// the document that config.Fold holds, so config.Fold must stand before it in
// the stream's list of parts: then it has applied the entry already, and all
// instances see the same document at the same position.
type Fold struct {
	document func() *config.Document
	onChange func(Change)
	state    foldState
}

// foldState is the whole state of a Fold, and the form of its snapshot.
type foldState struct {
	// Section is the revision of the roll-outs section that Runs follow.
	Section config.Revision                  `json:"section"`
	Runs    map[document.RolloutID]*runState `json:"runs"`
}

type runState struct {
	Run      Run                               `json:"run"`
	Rollout  document.Rollout                  `json:"rollout"`
	Step     int                               `json:"step"`
	Braked   bool                              `json:"braked"`
	Complete bool                              `json:"complete"`
	Reason   string                            `json:"reason"`
	Granted  int                               `json:"granted"`
	Grants   map[platform.InstanceID]allotment `json:"grants"`
	// Extra is what accepted evidence added to the budget.
	Extra int `json:"extra"`
	// Proven counts the candidate's good answers of earlier steps in accepted
	// evidence.
	Proven int `json:"proven"`
}

// allotment is what one instance was granted.
type allotment struct {
	Requests int    `json:"requests"`
	Sequence uint64 `json:"sequence"`
}

// NewFold returns a fold without runs. document returns the document of the
// config fold that stands before this one in the stream; onChange, if not
// nil, is called for every verdict on a run in force.
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
		f.follow()
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
			return eris.Errorf("rollout: snapshot holds an impossible run %q", id)
		}
		if run.Grants == nil {
			run.Grants = map[platform.InstanceID]allotment{}
		}
	}
	f.state = state
	return nil
}

// Status returns the state of the present run of a roll-out.
func (f *Fold) Status(id document.RolloutID) (Status, bool) {
	run, ok := f.state.Runs[id]
	if !ok {
		return Status{}, false
	}
	return run.status(), true
}

// Statuses returns the state of all present runs, in order of their names.
func (f *Fold) Statuses() []Status {
	statuses := make([]Status, 0, len(f.state.Runs))
	for _, id := range slices.Sorted(maps.Keys(f.state.Runs)) {
		statuses = append(statuses, f.state.Runs[id].status())
	}
	return statuses
}

// Allotment is what one instance may expose of one run.
type Allotment struct {
	Run      Run
	Requests int
	// Sequence is the highest number of a grant of the instance so far.
	Sequence uint64
}

// Allotted returns what the instance was granted of the present run.
func (f *Fold) Allotted(id document.RolloutID, instance platform.InstanceID) Allotment {
	run, ok := f.state.Runs[id]
	if !ok {
		return Allotment{}
	}
	grant := run.Grants[instance]
	return Allotment{Run: run.Run, Requests: grant.Requests, Sequence: grant.Sequence}
}

// follow brings the runs in line with the roll-outs section in force.
func (f *Fold) follow() {
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
		if ok && continues(run.Rollout, rollout) {
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

// continues reports whether an edit leaves the run going. Any change but of
// the state, and any way back from aborted, starts a new run.
func continues(before, after document.Rollout) bool {
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
	counted := run.move(verdict)
	f.onChange(Change{
		Position: position,
		EntryID:  entry.ID,
		Writer:   entry.Writer,
		Verdict:  verdict,
		Counted:  counted,
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
	run.allot(grant)
}

// move applies a verdict and reports whether it counted.
func (r *runState) move(verdict Verdict) bool {
	if verdict.Move == Brake {
		return r.brake(verdict)
	}
	if r.Braked || r.Complete || verdict.Step != r.Step {
		return false
	}
	good := min(r.Proven+verdict.Evidence.CandidateGood, r.Granted)
	extra := min(verdict.Allowance-r.Rollout.Budget, ExposurePerGood*good)
	last := r.Step >= len(r.Rollout.Steps)-1
	switch {
	case verdict.Move == Extend && extra > r.Extra:
	case verdict.Move == Advance && !last:
		r.Proven = max(r.Proven, good)
		r.Step++
	case verdict.Move == Complete && last:
		r.Complete = true
	default:
		return false
	}
	r.Extra = max(r.Extra, extra)
	r.Reason = verdict.Reason
	return true
}

func (r *runState) brake(verdict Verdict) bool {
	if r.Braked || verdict.Step < 0 || verdict.Step > r.Step {
		return false
	}
	r.Braked = true
	r.Reason = verdict.Reason
	return true
}

func (r *runState) allot(grant Grant) {
	held := r.Grants[grant.Instance]
	if r.Braked || grant.Sequence <= held.Sequence {
		return
	}
	requests := min(grant.Requests, r.allowed()-r.Granted)
	held.Requests += requests
	held.Sequence = grant.Sequence
	r.Grants[grant.Instance] = held
	r.Granted += requests
}

// allowed never shrinks during a run.
func (r *runState) allowed() int { return r.Rollout.Budget + r.Extra }

func (r *runState) share() float64 {
	switch {
	case r.Braked || r.Rollout.State != document.RolloutRunning:
		return 0
	case r.Complete:
		return 1
	default:
		return min(r.Rollout.Steps[r.Step], MaxShare)
	}
}

func (r *runState) status() Status {
	return Status{
		Run:      r.Run,
		Step:     r.Step,
		Braked:   r.Braked,
		Complete: r.Complete,
		Granted:  r.Granted,
		Reason:   r.Reason,
		Share:    r.share(),
		Allowed:  r.allowed(),
		Proven:   r.Proven,
		Rollout:  r.Rollout,
	}
}

// valid reports whether a fold can have reached the state.
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
		r.Extra >= 0 && r.Proven >= 0 &&
		r.Granted == sum && r.Granted <= r.allowed()
}
