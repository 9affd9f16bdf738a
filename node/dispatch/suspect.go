package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/suspect"
	"github.com/wigeonusher/wigeonusher/node/suspects"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/problem"
)

const (
	// occupiedPause is the wait for an endpoint on which no other suspect is
	// tried, and maxOccupiedPauses the number of such waits.
	occupiedPause     = 50 * time.Millisecond
	maxOccupiedPauses = 40
	// crashProbeTimeout bounds the look whether an endpoint that cut a
	// connection still lives.
	crashProbeTimeout = 500 * time.Millisecond
)

// errOccupied reports that a suspect could not be tried alone just now.
var errOccupied = eris.New("dispatch: no endpoint free for a suspect")

// fingerprintOf identifies the request over all pools, so that the steps of a
// cascade together cost no more endpoints than one.
func fingerprintOf(request *Request) suspect.Fingerprint {
	const anyPool = ""
	return suspect.NewFingerprint(string(request.Account), anyPool, request.Raw)
}

// tryAlone dispatches a suspect once, on an endpoint where no other suspect is
// tried, if the log grants it.
func (s *step) tryAlone(ctx context.Context) (*engine.Answer, error) {
	d := s.dispatcher
	candidate, err := s.place(ctx, d.Suspects.Occupied)
	if err != nil {
		return nil, errOccupied
	}
	claim := d.Suspects.Try(ctx, s.fingerprint, s.pool, candidate.ID)
	if claim != suspects.Granted {
		s.uncount(candidate)
	}
	switch claim {
	case suspects.Denied:
		return nil, s.crashSuspect("the request may have crashed an endpoint and cannot be tried alone now").After(retryAfter)
	case suspects.Occupied:
		return nil, errOccupied
	}
	answer, crashed, err := s.dispatch(ctx, candidate)
	if err == nil || crashed {
		d.Suspects.End(s.fingerprint, crashed)
	}
	if crashed {
		return nil, s.crashSuspect("the request has crashed the endpoints that ran it")
	}
	return answer, err
}

func (s *step) crashSuspect(detail string) *problem.Problem {
	return problem.New(problem.CrashSuspect, http.StatusUnprocessableEntity, detail, &s.request.Attempt)
}

// gone reports whether nothing listens at the address any more.
func (s *step) gone(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return !s.dispatcher.Engines.Reachable(ctx, address)
}
