package check

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// judge is the state of one judgement.
type judge struct {
	history  History
	table    *Table
	bills    map[string][]Bill
	eras     []era
	byID     map[string]observation.Observation
	runsByID map[string][]engine.Run
}

// Judge folds a history into a table.
func Judge(history History) *Table {
	j := &judge{
		history:  history,
		table:    &Table{},
		bills:    history.billsByRequest(),
		eras:     history.eras(),
		byID:     map[string]observation.Observation{},
		runsByID: map[string][]engine.Run{},
	}
	for _, o := range history.Observations {
		j.byID[o.RequestID] = o
	}
	for _, run := range history.EngineRuns {
		j.runsByID[run.RequestID] = append(j.runsByID[run.RequestID], run)
	}
	j.answers()
	j.refusals()
	j.billing()
	j.bookings()
	j.sessions()
	j.permissions()
	j.leaving()
	j.exposure()
	j.crashes()
	j.revisions()
	j.plannedStops()
	j.quality()
	j.figures()
	j.table.Held = len(j.table.Broken()) == 0
	return j.table
}

// Unbilled counts answered chat requests whose bill is not in the log.
func Unbilled(history History) int {
	bills := history.billsByRequest()
	unbilled := 0
	for _, o := range history.Observations {
		if o.Result == observation.Answered && o.Kind.IsChat() && len(bills[o.RequestID]) == 0 {
			unbilled++
		}
	}
	return unbilled
}

func (j *judge) answers() {
	answers := j.table.row(OwnWholeAnswer)
	sayings := j.table.row(RefusalsSayEnough)
	for _, o := range j.history.Observations {
		if o.Status >= 400 {
			sayings.Checked++
		} else if o.Status > 0 {
			answers.Checked++
		}
		if o.Result != observation.Defective {
			continue
		}
		row := answers
		if o.Status >= 400 {
			row = sayings
		}
		row.breach("%s of %s by %s: %s", o.Kind, o.RequestID, o.Instance, o.Problem)
	}
}

// refusals holds each statement "not run" against what the endpoints ran.
func (j *judge) refusals() {
	row := j.table.row(NotRunIsTrue)
	served := map[string]int{}
	for _, run := range j.history.ServiceRuns {
		served[run.RequestID]++
	}
	for _, o := range j.history.Observations {
		if o.Result != observation.NotRun {
			continue
		}
		row.Checked++
		if ran := len(j.runsByID[o.RequestID]) + served[o.RequestID]; ran > 0 {
			row.breach("%s %s was refused (%s) and ran %d times", o.Kind, o.RequestID, o.Problem, ran)
		}
	}
}

func (j *judge) billing() {
	once := j.table.row(BilledOnce)
	for _, o := range j.history.Observations {
		if o.Result != observation.Answered || !o.Kind.IsChat() {
			continue
		}
		once.Checked++
		if len(j.bills[o.RequestID]) == 0 {
			once.breach("%s, answered by %s, has no bill", o.RequestID, o.Instance)
		}
	}
	most := j.table.row(BilledAtMostOnce)
	for _, id := range sortedKeys(j.bills) {
		most.Checked++
		if bills := j.bills[id]; len(bills) > 1 {
			most.breach("%s has %d bills", id, len(bills))
		}
		if len(j.runsByID[id]) == 0 {
			most.breach("%s has a bill and no endpoint ran it", id)
		}
	}
}

func (j *judge) bookings() {
	runs := map[string]int{}
	for _, run := range j.history.ServiceRuns {
		if run.Repeatable() {
			continue
		}
		key := run.Key
		if key == "" {
			key = run.RequestID
		}
		runs[key]++
	}
	twice := j.table.row(BookedAtMostOnce)
	twice.Checked = len(runs)
	for _, key := range sortedKeys(runs) {
		if runs[key] > 1 {
			j.table.Figures.DoubleRuns++
			twice.breach("%s ran %d times", key, runs[key])
		}
	}
	lost := j.table.row(BookedIfAnswered)
	for _, o := range j.history.Observations {
		if o.Kind != observation.Booking || o.Result != observation.Answered {
			continue
		}
		lost.Checked++
		if runs[o.Key] == 0 {
			lost.breach("%s was confirmed and never ran", o.Key)
		}
	}
}

// sessionModel is one model within one session.
type sessionModel struct {
	account string
	session string
	model   document.ModelName
}

// sessions looks at what endpoints ran, not only at what was answered: an
// attempt on another version breaks the promise too.
func (j *judge) sessions() {
	row := j.table.row(SessionStays)
	versions := map[sessionModel]document.VersionName{}
	for _, run := range j.history.EngineRuns {
		o, known := j.byID[run.RequestID]
		if !known || o.Session == "" {
			continue
		}
		ref := splitRef(run.Ref)
		key := sessionModel{account: o.Account, session: o.Session, model: ref.Model}
		first, met := versions[key]
		if !met {
			versions[key] = ref.Version
			continue
		}
		row.Checked++
		if first != ref.Version {
			row.breach("session %s began on %s@%s and %s ran on %s", o.Session, ref.Model, first, run.RequestID, run.Ref)
		}
	}
}

// permissions holds each run against the policies in force at that time or
// shortly before.
func (j *judge) permissions() {
	withdrawn := j.table.row(WithdrawnIsIdle)
	allowed := j.table.row(OnlyAllowed)
	for _, run := range j.history.EngineRuns {
		policies := j.inForce(run)
		if len(policies) == 0 {
			continue
		}
		ref := splitRef(run.Ref)
		withdrawn.Checked++
		if !slices.ContainsFunc(policies, func(p *document.Policy) bool { return isServing(p, ref) }) {
			withdrawn.breach("%s ran %s on %s", run.Endpoint, run.RequestID, run.Ref)
		}
		o, known := j.byID[run.RequestID]
		if !known {
			continue
		}
		allowed.Checked++
		account := document.AccountID(o.Account)
		if !slices.ContainsFunc(policies, func(p *document.Policy) bool { return isGranted(p, account, ref) }) {
			allowed.breach("%s ran %s of account %s on %s", run.Endpoint, run.RequestID, account, run.Ref)
		}
	}
}

// inForce returns the policies that may have been in force somewhere when the
// engine received the run: the newest accepted by then, and those that it
// replaced less than the grace before.
func (j *judge) inForce(run engine.Run) []*document.Policy {
	var policies []*document.Policy
	for i, e := range j.eras {
		if e.since.After(run.Received) {
			break
		}
		replaced := i+1 < len(j.eras) && j.eras[i+1].since.Add(j.history.SettleGrace).Before(run.Received)
		if !replaced {
			policies = append(policies, e.policy)
		}
	}
	return policies
}

func isServing(policy *document.Policy, ref document.Ref) bool {
	version, ok := policy.Models[ref.Model].Versions[ref.Version]
	return ok && version.State == document.VersionServing
}

func isGranted(policy *document.Policy, account document.AccountID, ref document.Ref) bool {
	for _, grant := range policy.Accounts[account].Allow {
		if grant.Model == ref.Model && grant.Covers(ref.Version) {
			return true
		}
	}
	return false
}

func (j *judge) leaving() {
	row := j.table.row(LeavingIsIdle)
	for _, late := range j.history.Late {
		row.Checked++
		if late.After > j.history.SettleGrace {
			row.breach("%s got %s %s after it began to leave", late.Endpoint, late.RequestID, late.After)
		}
	}
}

func (j *judge) exposure() {
	exposed := map[string]bool{}
	for _, run := range j.history.EngineRuns {
		if run.Faulty {
			exposed[run.RequestID] = true
		}
	}
	j.table.Figures.Exposed = len(exposed)
	for _, o := range j.history.Observations {
		if o.Result == observation.Answered && exposed[o.RequestID] && j.isFaulty(o) {
			j.table.Figures.ExposedAnswers++
		}
	}
	if j.history.ExposureLimit < 0 {
		return
	}
	row := j.table.row(ExposureBounded)
	row.Checked = len(exposed)
	if len(exposed) > j.history.ExposureLimit {
		row.breach("%d requests met a bad version, the limit is %d", len(exposed), j.history.ExposureLimit)
	}
}

// isFaulty reports whether the version that answered was a bad one.
func (j *judge) isFaulty(o observation.Observation) bool {
	return slices.ContainsFunc(j.runsByID[o.RequestID], func(run engine.Run) bool {
		return run.Faulty && run.Ref == o.Ref
	})
}

func (j *judge) crashes() {
	if j.history.MarkedRequests == 0 {
		return
	}
	const endpointsPerRequest = 2
	row := j.table.row(CrashesBounded)
	row.Checked = j.history.MarkedRequests
	if limit := endpointsPerRequest * j.history.MarkedRequests; j.history.CrashedEndpoints > limit {
		row.breach("%d marked requests stopped %d endpoints", j.history.MarkedRequests, j.history.CrashedEndpoints)
	}
}

// revisions holds what instances had in force against what was accepted.
func (j *judge) revisions() {
	if len(j.history.Samples) == 0 {
		return
	}
	soon := j.table.row(InForceSoon)
	reverts := j.table.row(NeverReverts)
	last := map[string]uint64{}
	for _, sample := range j.history.Samples {
		soon.Checked++
		reverts.Checked++
		if due := j.revisionDue(sample.Time); sample.Revision < due {
			soon.breach("%s had revision %d when %d was overdue", sample.Instance, sample.Revision, due)
		}
		if sample.Revision < last[sample.Instance] {
			reverts.breach("%s went from revision %d to %d", sample.Instance, last[sample.Instance], sample.Revision)
		}
		last[sample.Instance] = sample.Revision
	}
}

// revisionDue returns the newest revision accepted more than the grace before.
func (j *judge) revisionDue(now time.Time) uint64 {
	due := uint64(0)
	for _, e := range j.eras {
		if e.since.Add(j.history.SettleGrace).Before(now) {
			due = uint64(e.policy.Revision)
		}
	}
	return due
}

// plannedStops looks for requests that lost their connection to an instance
// that was only ever stopped in the planned way.
func (j *judge) plannedStops() {
	if len(j.history.StoppedAddresses) == 0 {
		return
	}
	row := j.table.row(StopCutsNothing)
	for _, o := range j.history.Observations {
		if !slices.Contains(j.history.StoppedAddresses, o.Address) {
			continue
		}
		row.Checked++
		if o.Problem == observation.ProblemConnectionLost {
			row.breach("%s %s to %s lost its connection", o.Kind, o.RequestID, o.Address)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
