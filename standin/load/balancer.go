package load

import (
	"math/rand/v2"
	"sync"
	"time"
)

// exclusionTime is how long an address that refused a connection gets no
// requests.
const exclusionTime = 2 * time.Second

// balancer spreads requests at random over the addresses that are ready and
// have not refused a connection within exclusionTime.
type balancer struct {
	mu            sync.Mutex
	addresses     []string
	isReady       func(address string) bool
	excludedUntil map[string]time.Time
}

func newBalancer(addresses []string, isReady func(string) bool) *balancer {
	if isReady == nil {
		isReady = func(string) bool { return true }
	}
	return &balancer{addresses: addresses, isReady: isReady, excludedUntil: map[string]time.Time{}}
}

// choose returns a random available address, or any address if none is
// available.
func (b *balancer) choose() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	available := make([]string, 0, len(b.addresses))
	for _, address := range b.addresses {
		if now.After(b.excludedUntil[address]) && b.isReady(address) {
			available = append(available, address)
		}
	}
	if len(available) == 0 {
		available = b.addresses
	}
	return available[rand.IntN(len(available))]
}

// exclude makes choose avoid the address for exclusionTime.
func (b *balancer) exclude(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excludedUntil[address] = time.Now().Add(exclusionTime)
}
