package relay

import (
	"time"

	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Tables gives the routing table in force.
type Tables interface {
	// Table returns the newest table and the moment at which it was last known
	// to be the newest; nil if none is known.
	Table() (*route.Table, boottime.Instant)
}

// TableGate is the [Gate] of a routing table.
type TableGate struct {
	Tables Tables
	// MaxAge gives the greatest age at which a table may still permit a request
	// that needs a key; 0 means any.
	MaxAge func() time.Duration
}

// Admit implements [Gate]. How old the table may be counts at the arrival of
// the request: one that was permitted when it came may go on at another
// endpoint. Only a table that is known to be current denies: an older one may
// lack a route or a key that was added since.
func (g *TableGate) Admit(request *Request) (Permission, *Refusal) {
	table, provenAt := g.Tables.Table()
	if table == nil {
		return Permission{}, &Refusal{Reason: NoConfig, NotRun: true, RetryAfter: request.comeBack()}
	}
	p := Permission{Revision: table.Revision, Age: max(0, time.Duration(request.ReceivedBoot-provenAt))}
	maxAge := g.MaxAge()
	current := maxAge == 0 || p.Age < maxAge
	found, ok := table.Match(request.Host, request.Path)
	if !ok {
		return p, denied(request, current, UnknownRoute)
	}
	p.Route, p.Priority = found, found.Priority
	if !table.NeedsKey(found) {
		return p, nil
	}
	if !current {
		return p, denied(request, current, UnknownKey)
	}
	account, ok := table.Account(request.Key)
	if !ok {
		return p, denied(request, current, UnknownKey)
	}
	p.Account = account.Name
	if account.Ranked {
		p.Priority = account.Priority
	}
	return p, nil
}

func denied(request *Request, current bool, reason Reason) *Refusal {
	if !current {
		return &Refusal{Reason: ConfigTooOld, NotRun: true, RetryAfter: request.comeBack()}
	}
	return &Refusal{Reason: reason, NotRun: true}
}
