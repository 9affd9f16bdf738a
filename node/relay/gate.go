package relay

import (
	"time"

	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// TableSource returns the current routing table.
type TableSource interface {
	// Table returns the newest known table and the moment at which it was last
	// known to be current; nil if none is known.
	Table() (*route.Table, boottime.Instant)
}

// TableGate is a [Gate] that admits requests by a routing table.
type TableGate struct {
	Tables TableSource
	// MaxAge returns the age at which a table no longer permits requests that
	// need a key; 0 sets no limit.
	MaxAge func() time.Duration
}

// Admit implements [Gate]. The age of the table is measured at the arrival of
// the request, so that a request that was admitted may be retried at another
// endpoint. A route or key counts as unknown only if the table is current: an
// older table may lack one that was added since, so the refusal then gives the age
// of the table as its reason.
func (g *TableGate) Admit(request *Request) (Permission, *Refusal) {
	table, verifiedAt := g.Tables.Table()
	if table == nil {
		return Permission{}, &Refusal{Reason: NoConfig, NotRun: true, RetryAfter: request.RetryAfter()}
	}
	p := Permission{Revision: table.Revision, Age: max(0, time.Duration(request.ReceivedBoot-verifiedAt))}
	maxAge := g.MaxAge()
	current := maxAge == 0 || p.Age < maxAge
	found, ok := table.Match(request.Host, request.Path)
	if !ok {
		return p, deny(request, p.Age, current, UnknownRoute)
	}
	p.Route, p.Priority = found, found.Priority
	if !table.NeedsKey(found) {
		return p, nil
	}
	if !current {
		return p, deny(request, p.Age, current, UnknownKey)
	}
	account, ok := table.Account(request.Key)
	if !ok {
		return p, deny(request, p.Age, current, UnknownKey)
	}
	p.Account = account.Name
	if account.HasPriority {
		p.Priority = account.Priority
	}
	return p, nil
}

func deny(request *Request, age time.Duration, current bool, reason Reason) *Refusal {
	if !current {
		return &Refusal{Reason: ConfigTooOld, NotRun: true, RetryAfter: request.retryAfterOutage(age)}
	}
	return &Refusal{Reason: reason, NotRun: true}
}
