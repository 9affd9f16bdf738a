package check

import (
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// sessionModel is one model within one session.
type sessionModel struct {
	account string
	session string
	model   document.ModelName
}

// checkSessions reports sessions that ran on several versions of a model. It
// checks what endpoints ran, not only what was answered: an attempt on another
// version violates the invariant too.
func (e *evaluation) checkSessions() {
	row := e.table.row(SessionsKeepVersions)
	versions := map[sessionModel]document.VersionName{}
	for _, run := range e.history.EngineRuns {
		o, known := e.observationsByID[run.RequestID]
		if !known || o.Session == "" {
			continue
		}
		ref := parseRef(run.Ref)
		key := sessionModel{account: o.Account, session: o.Session, model: ref.Model}
		first, seen := versions[key]
		if !seen {
			versions[key] = ref.Version
			continue
		}
		row.Checked++
		if first != ref.Version {
			row.addViolation("session %s began on %s@%s and %s ran on %s", o.Session, ref.Model, first, run.RequestID, run.Ref)
		}
	}
}
