package load

import (
	"math/rand/v2"
	"sync"
	"time"
)

// outOfRotation is how long an address that refused a connection is left out.
const outOfRotation = 2 * time.Second

// balancer spreads requests over addresses and leaves those out that refused
// a connection or are not ready.
type balancer struct {
	mu        sync.Mutex
	addresses []string
	ready     func(address string) bool
	out       map[string]time.Time // until when
}

func newBalancer(addresses []string, ready func(string) bool) *balancer {
	if ready == nil {
		ready = func(string) bool { return true }
	}
	return &balancer{addresses: addresses, ready: ready, out: map[string]time.Time{}}
}

// choose returns an address in rotation, or any if there is none.
func (b *balancer) choose() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	in := make([]string, 0, len(b.addresses))
	for _, address := range b.addresses {
		if now.After(b.out[address]) && b.ready(address) {
			in = append(in, address)
		}
	}
	if len(in) == 0 {
		in = b.addresses
	}
	return in[rand.IntN(len(in))]
}

func (b *balancer) takeOut(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out[address] = time.Now().Add(outOfRotation)
}
