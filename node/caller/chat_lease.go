package caller

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/placement"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/engine"
)

// chatLease is the [relay.Lease] of a chat request at an engine.
type chatLease struct {
	relay.NopLease
	picker    *chatPicker
	candidate placement.Candidate
	// reserved reports that the endpoint's owner counts the dispatch.
	reserved bool
	// isolated reports that the request is a suspect, tried on an endpoint where
	// no other suspect runs.
	isolated bool
	// firstToken is the time from the dispatch to the first token.
	firstToken time.Duration
	// failure is the reason why the engine's answer is not complete, or nil.
	failure error
	ctx     context.Context
}

// search asks the owners of candidates for a free slot until one grants it or the
// search ends. Without a grant, it takes the candidate that the search returns
// last, and has its owner count the dispatch although no slot is free.
func (l *chatLease) search(ctx context.Context, search *placement.Search) {
	owners, slots := l.picker.work.server.Owners, l.picker.slots
	for {
		candidate, ask := search.Next()
		l.candidate = candidate
		if !ask && l.reserved {
			return
		}
		outstanding, granted, err := owners.Reserve(ctx, candidate.Zone, candidate.ID, slots, !ask)
		l.reserved = granted && err == nil
		switch {
		case !ask:
			return
		case err != nil:
			search.Unanswered(candidate)
		default:
			running := min(outstanding, slots)
			search.Answer(candidate, running, outstanding-running)
		}
	}
}

// releaseReservation reports to the endpoint's owner, if the owner counts the
// dispatch, that the dispatch has ended or does not take place.
func (l *chatLease) releaseReservation() {
	if l.reserved {
		l.reserved = false
		l.picker.work.server.Owners.Release(l.candidate.Zone, l.candidate.ID)
	}
}

// recordDispatch records the start of the dispatch.
func (l *chatLease) recordDispatch(ctx context.Context) {
	l.ctx = ctx
	server := l.picker.work.server
	server.Endpoints.RecordDispatch(time.Now(), l.candidate.ID, l.picker.prefix)
	server.Suspects.RecordStart(l.picker.fingerprint, l.candidate.ID)
}

// Endpoint implements [relay.Lease].
func (l *chatLease) Endpoint() pool.Record {
	return pool.Record{
		ID: l.candidate.ID, Service: route.ServiceName(l.picker.pool), Address: l.candidate.Address,
		Zone: l.candidate.Zone, Version: string(l.picker.ref.Version), Slots: l.picker.slots,
	}
}

// End implements [relay.Lease].
func (l *chatLease) End(attempt relay.AttemptResult) {
	server := l.picker.work.server
	l.releaseReservation()
	crashed := false
	switch {
	case attempt.Result == pool.Full:
		l.picker.lastRefused = true
		server.Endpoints.RecordCompletion(time.Now(), l.candidate.ID, 0, false)
		server.Endpoints.PollAfterRefusal(platform.ListedEndpoint{ID: l.candidate.ID, Address: l.candidate.Address})
	case attempt.Result == pool.Broken && l.ctx.Err() == nil:
		server.Endpoints.RecordCompletion(time.Now(), l.candidate.ID, 0, true)
		server.Planner.RecordFailure(l.picker.work.request.class, l.picker.ref)
		crashed = attempt.Crashed && errors.Is(l.failure, engine.ErrIncomplete) && l.isUnreachable()
	default:
		server.Endpoints.RecordCompletion(time.Now(), l.candidate.ID, l.firstToken, false)
	}
	l.reportToSuspects(crashed, attempt.Result)
}
