package faults

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrClosed reports that the stand-in was closed while a call was waiting.
var ErrClosed = eris.New("faults: stand-in closed")

// Set is the set of faults of one stand-in. The zero value has no faults.
type Set struct {
	// LatencyMillis is the delay, in milliseconds, before each call runs.
	LatencyMillis int `json:"latency_ms"`
	// FailRate is the probability, in [0, 1], that a call is refused with 503.
	FailRate float64 `json:"fail_rate"`
	// LoseRate is the probability, in [0, 1], that a call takes effect but its
	// connection is closed without an answer.
	LoseRate float64 `json:"lose_rate"`
	// Down makes the stand-in refuse every call with 503.
	Down bool `json:"down"`
	// Frozen blocks every call until Frozen is unset. Blocked calls continue then;
	// unless LatencyMillis is set, so do those whose caller has disconnected.
	Frozen bool `json:"frozen"`
	// Silent permanently silences the connections that are open when it is set:
	// they stay open but pass no more data. Setting it again silences the
	// connections opened since. The connection of the request that sets it is
	// not silenced.
	Silent bool `json:"silent"`
	// CrashMarker is a text that stops the stand-in when it occurs in a request
	// body.
	CrashMarker string `json:"crash_marker,omitempty"`
	// BadVersions is the probability, in [0, 1], that an answer is made bad, per
	// "model@version".
	BadVersions map[string]float64 `json:"bad_versions,omitempty"`
	// CutRate is the probability, in [0, 1], that a stream is cut in the middle.
	CutRate float64 `json:"cut_rate"`
	// Unframed makes streams have neither a length nor chunks: they end with their
	// connection.
	Unframed bool `json:"unframed"`
}

// Injector holds the current faults of a stand-in. It is safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	set      Set
	random   *rand.Rand
	unfrozen chan struct{} // closed while not frozen
	closed   chan struct{}
	crash    func()
	silence  func(except net.Conn)
}

// NewInjector returns an injector without faults. Equal seeds and equal sequences
// of draws give equal results.
func NewInjector(seed uint64) *Injector {
	unfrozen := make(chan struct{})
	close(unfrozen)
	return &Injector{
		random:   rand.New(rand.NewPCG(seed, seed)),
		unfrozen: unfrozen,
		closed:   make(chan struct{}),
		crash:    func() {},
		silence:  func(net.Conn) {},
	}
}

// OnCrash sets the function to call when a request body contains the text
// [Set.CrashMarker].
func (i *Injector) OnCrash(crash func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.crash = crash
}

// Set replaces the faults.
func (i *Injector) Set(set Set) { i.replace(set, nil) }

// replace replaces the faults. It does not silence requester, the connection of the
// request that sets the new faults, so that its caller receives the answer.
func (i *Injector) replace(set Set, requester net.Conn) {
	i.mu.Lock()
	if i.set.Frozen != set.Frozen {
		if set.Frozen {
			i.unfrozen = make(chan struct{})
		} else {
			close(i.unfrozen)
		}
	}
	i.set = set
	silence := i.silence
	i.mu.Unlock()
	if set.Silent {
		silence(requester)
	}
}

// Get returns the current faults.
func (i *Injector) Get() Set {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.set
}

// Draw returns true with the given probability.
func (i *Injector) Draw(probability float64) bool {
	if probability <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.random.Float64() < probability
}

// WaitUnfrozen blocks while the stand-in is frozen. It returns [ErrClosed] if the
// stand-in is closed meanwhile.
func (i *Injector) WaitUnfrozen() error {
	for {
		i.mu.Lock()
		unfrozen := i.unfrozen
		frozen := i.set.Frozen
		i.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-unfrozen:
		case <-i.closed:
			return ErrClosed
		}
	}
}

// Sleep waits for the duration and then until the stand-in is not frozen. It
// returns [ErrClosed] if the stand-in is closed meanwhile, or the error of a context
// that ends during the duration.
func (i *Injector) Sleep(ctx context.Context, duration time.Duration) error {
	if duration > 0 {
		timer := time.NewTimer(duration)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-i.closed:
			return ErrClosed
		}
	}
	return i.WaitUnfrozen()
}

// Close makes [Injector.Sleep] and [Injector.WaitUnfrozen] return [ErrClosed] instead
// of waiting. It must be called only once.
func (i *Injector) Close() { close(i.closed) }
