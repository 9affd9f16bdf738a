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
	mu       sync.Mutex
	outcomes map[string]probeOutcome
}

type probeOutcome struct {
	checkedAt time.Time
	result    relay.ProbeResult
}

func newDialProber() *dialProber { return &dialProber{outcomes: make(map[string]probeOutcome)} }

// Probe implements [relay.Prober]. An inconclusive result is not reused.
func (p *dialProber) Probe(ctx context.Context, address string) relay.ProbeResult {
	if result, ok := p.lookup(address); ok {
		return result
	}
	result := p.connect(ctx, address)
	if result == relay.ProbeInconclusive {
		return result
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for cached, outcome := range p.outcomes {
		if time.Since(outcome.checkedAt) > probeCacheTTL {
			delete(p.outcomes, cached)
		}
	}
	p.outcomes[address] = probeOutcome{checkedAt: time.Now(), result: result}
	return result
}

func (p *dialProber) lookup(address string) (result relay.ProbeResult, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome, found := p.outcomes[address]
	return outcome.result, found && time.Since(outcome.checkedAt) <= probeCacheTTL
}

func (p *dialProber) connect(ctx context.Context, address string) relay.ProbeResult {
	dialer := net.Dialer{Timeout: probeTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
		return relay.ProbeAccepted
	}
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return relay.ProbeInconclusive
	case errors.Is(err, syscall.ECONNRESET):
		return relay.ProbeAccepted // an endpoint without room for another connection resets it
	case errors.Is(err, syscall.ECONNREFUSED):
		return relay.ProbeRefused
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return relay.ProbeUnanswered
	default:
		return relay.ProbeInconclusive
	}
}
