package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// reachTimeout bounds the connection that shows whether an endpoint can be
	// reached: much more than a way through the farthest zone.
	reachTimeout = 150 * time.Millisecond
	// reachMemory is how long an outcome serves further questions.
	reachMemory = 50 * time.Millisecond
)

// reach finds out whether endpoints accept connections.
type reach struct {
	mu    sync.Mutex
	known map[string]reachOutcome
}

type reachOutcome struct {
	at        time.Time
	reachable bool
}

func newReach() *reach { return &reach{known: make(map[string]reachOutcome)} }

// Reachable implements [relay.Reach]. An endpoint that refuses or resets the
// connection has lost what it ran: it does not count as reachable.
func (r *reach) Reachable(ctx context.Context, address string) bool {
	if known, ok := r.lookup(address); ok {
		return known
	}
	reachable := r.connect(ctx, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, outcome := range r.known {
		if time.Since(outcome.at) > reachMemory {
			delete(r.known, other)
		}
	}
	r.known[address] = reachOutcome{at: time.Now(), reachable: reachable}
	return reachable
}

func (r *reach) lookup(address string) (reachable, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome, found := r.known[address]
	return outcome.reachable, found && time.Since(outcome.at) <= reachMemory
}

func (r *reach) connect(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: reachTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		// A reset comes from an endpoint that has no room for connections.
		return errors.Is(err, syscall.ECONNRESET)
	}
	conn.Close()
	return true
}
