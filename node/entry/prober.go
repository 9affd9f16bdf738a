package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonusher/wigeonusher/node/relay"
)

const (
	// probeTimeout bounds a connection attempt. It is much longer than the round
	// trip to the farthest zone.
	probeTimeout = 150 * time.Millisecond
	// probeCacheTTL is how long an outcome is reused.
	probeCacheTTL = 50 * time.Millisecond
)

// dialProber checks whether endpoints accept TCP connections.
type dialProber struct {
	dial     dialFunc
	mu       sync.Mutex
	outcomes map[string]cachedProbe
}

// dialFunc connects to an endpoint.
type dialFunc func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

type cachedProbe struct {
	checkedAt time.Time
	outcome   relay.ProbeOutcome
}

func newDialProber(dial dialFunc) *dialProber {
	return &dialProber{dial: dial, outcomes: make(map[string]cachedProbe)}
}

// Probe implements [relay.Prober]. It reuses an outcome for probeCacheTTL, except for
// [relay.ProbeFailed].
func (p *dialProber) Probe(ctx context.Context, address string) relay.ProbeOutcome {
	if outcome, ok := p.lookup(address); ok {
		return outcome
	}
	outcome := p.connect(ctx, address)
	if outcome == relay.ProbeFailed {
		return outcome
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, cached := range p.outcomes {
		if time.Since(cached.checkedAt) > probeCacheTTL {
			delete(p.outcomes, other)
		}
	}
	p.outcomes[address] = cachedProbe{checkedAt: time.Now(), outcome: outcome}
	return outcome
}

func (p *dialProber) lookup(address string) (relay.ProbeOutcome, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cached, found := p.outcomes[address]
	return cached.outcome, found && time.Since(cached.checkedAt) <= probeCacheTTL
}

func (p *dialProber) connect(ctx context.Context, address string) relay.ProbeOutcome {
	conn, err := p.dial(ctx, address, probeTimeout)
	switch {
	case err == nil:
		conn.Close()
		return relay.ProbeReached
	case ctx.Err() != nil:
		return relay.ProbeFailed
	default:
		return outcomeOfDialError(err)
	}
}

// outcomeOfDialError returns the outcome of a probe that was not canceled.
func outcomeOfDialError(err error) relay.ProbeOutcome {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		// An endpoint without room for another connection resets it; it still
		// counts as reached.
		return relay.ProbeReached
	case errors.Is(err, syscall.ECONNREFUSED):
		return relay.ProbeRefused
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return relay.ProbeTimedOut
	default:
		return relay.ProbeFailed
	}
}
