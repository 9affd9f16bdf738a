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

// sessions looks at what endpoints ran, not only at what was answered: an
// attempt on another version breaks the invariant too.
func (e *evaluation) sessions() {
	row := e.table.row(SessionStays)
	versions := map[sessionModel]document.VersionName{}
	for _, run := range e.history.EngineRuns {
		o, known := e.byID[run.RequestID]
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
			row.violation("session %s began on %s@%s and %s ran on %s", o.Session, ref.Model, first, run.RequestID, run.Ref)
		}
	}
}
