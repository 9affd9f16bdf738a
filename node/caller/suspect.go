package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/suspect"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/node/suspects"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

const (
	// occupiedPollInterval is the time between checks for an endpoint on which no
	// other suspect runs, and maxOccupiedPolls the number of checks.
	occupiedPollInterval = 50 * time.Millisecond
	maxOccupiedPolls     = 40
	// crashProbeTimeout bounds the probe of an endpoint that cut a connection.
	crashProbeTimeout = 500 * time.Millisecond
)

// fingerprintOf returns a fingerprint of the request that is the same in all
// pools, so that the steps of a cascade together crash no more endpoints than one
// step may.
func fingerprintOf(request *chatRequest) suspect.Fingerprint {
	const anyPool = ""
	return suspect.NewFingerprint(string(request.account), anyPool, request.raw)
}

// pickPermitted picks any endpoint, or for a suspect request one on which no other
// suspect runs. It refuses a request that has crashed the endpoints that ran it.
func (p *chatPicker) pickPermitted(ctx context.Context, avoid []platform.EndpointID) (*chatLease, *relay.Refusal) {
	if p.crashedIsolated {
		return nil, crashSuspect("the request has crashed the endpoints that ran it", 0)
	}
	switch p.work.server.Suspects.Permission(p.fingerprint) {
	case suspect.Refused:
		return nil, crashSuspect("the request has crashed the endpoints that ran it", 0)
	case suspect.Isolated:
		return p.pickIsolated(ctx, avoid)
	default:
		return p.pickEndpoint(ctx, avoid, nil)
	}
}

// pickIsolated waits for an endpoint on which no other suspect runs, and claims
// the request's only isolated try through the log.
func (p *chatPicker) pickIsolated(ctx context.Context, avoid []platform.EndpointID) (*chatLease, *relay.Refusal) {
	for range maxOccupiedPolls {
		lease, claim := p.claimIsolatedTry(ctx, avoid)
		switch claim {
		case suspects.Granted:
			lease.isolated = true
			return lease, nil
		case suspects.Denied:
			return nil, crashSuspect("the request may have crashed an endpoint and cannot be tried alone now", retryAfter)
		default:
			if !sleep(ctx, occupiedPollInterval) {
				return nil, &relay.Refusal{Reason: relay.DeadlineExceeded}
			}
		}
	}
	return nil, p.noEndpoint()
}

// claimIsolatedTry picks an endpoint without a suspect and claims the isolated
// try there.
func (p *chatPicker) claimIsolatedTry(ctx context.Context, avoid []platform.EndpointID) (*chatLease, suspects.ClaimResult) {
	server := p.work.server
	lease, refusal := p.pickEndpoint(ctx, avoid, server.Suspects.IsOccupied)
	if refusal != nil {
		return nil, suspects.Occupied
	}
	claim := server.Suspects.ClaimTry(ctx, p.fingerprint, p.pool, lease.candidate.ID)
	if claim != suspects.Granted {
		lease.releaseReservation()
	}
	return lease, claim
}

// crashSuspect returns the refusal of a request that may crash endpoints. The
// parameter after is the suggested delay before a retry, 0 if a retry is of no use.
func crashSuspect(detail string, after time.Duration) *relay.Refusal {
	cause := problem.New(problem.CrashSuspect, http.StatusUnprocessableEntity, detail, notRun())
	if after > 0 {
		cause = cause.WithRetryAfter(after)
	}
	return &relay.Refusal{Reason: relay.CrashSuspect, RetryAfter: after, Cause: cause}
}

// reportToSuspects records with [Suspects] that the dispatch has ended and whether
// it crashed its endpoint. It records the result of an isolated try only if the
// try crashed the endpoint or succeeded.
func (l *chatLease) reportToSuspects(crashed bool, result pool.Result) {
	tracker, fingerprint := l.picker.work.server.Suspects, l.picker.fingerprint
	if crashed {
		tracker.RecordCrash(fingerprint, l.picker.pool, l.candidate.ID)
	} else {
		tracker.RecordFinish(fingerprint, l.candidate.ID)
	}
	if !l.isolated {
		return
	}
	l.picker.crashedIsolated = crashed
	if crashed || result == pool.Succeeded {
		tracker.RecordTryResult(fingerprint, crashed)
	}
}

// isUnreachable reports whether the endpoint accepts no connections any more.
func (l *chatLease) isUnreachable() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return !l.picker.work.server.Engines.Reachable(ctx, l.candidate.Address)
}

// sleep waits for the given time. It returns false if the context ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
