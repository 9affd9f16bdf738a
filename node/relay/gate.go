package relay

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/route"
)

// permission is what the gate says of a request under one revision.
type permission struct {
	table   *route.Table
	route   *route.Route
	account route.AccountName
	// priority ranks the request; 0 is the most urgent.
	priority int
	age      time.Duration
}

// gate decides whether the request may run now. It is asked before each
// attempt, and by the newest table known. How old that may be counts at the
// arrival of the request: one that was permitted when it came may go on at
// another endpoint. Only a table that is known to be current denies: an older
// one may lack a route or a key that was added since.
func (r *Relay) gate(request *Request) (permission, *Refusal) {
	table, provenAt := r.Tables.Table()
	if table == nil {
		return permission{}, &Refusal{Reason: NoConfig, NotRun: true, RetryAfter: defaultRetryAfter}
	}
	p := permission{table: table, age: max(0, time.Duration(request.ReceivedBoot-provenAt))}
	current := r.Tuning.ConfigMaxAge == 0 || p.age < r.Tuning.ConfigMaxAge
	found, ok := table.Match(request.Host, request.Path)
	if !ok {
		return p, denied(current, UnknownRoute)
	}
	p.route, p.priority = found, found.Priority
	if !table.NeedsKey(found) {
		return p, nil
	}
	if !current {
		return p, denied(current, UnknownKey)
	}
	account, ok := table.Account(request.Key)
	if !ok {
		return p, denied(current, UnknownKey)
	}
	p.account = account.Name
	if account.Ranked {
		p.priority = account.Priority
	}
	return p, nil
}

func denied(current bool, reason Reason) *Refusal {
	if !current {
		return &Refusal{Reason: ConfigTooOld, NotRun: true, RetryAfter: defaultRetryAfter}
	}
	return &Refusal{Reason: reason, NotRun: true}
}
