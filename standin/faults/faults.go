package faults

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrClosed reports that the stand-in was closed while a call waited.
var ErrClosed = eris.New("faults: stand-in closed")

// Set is the faults of one stand-in. The zero value is a healthy one.
type Set struct {
	// LatencyMillis is added to every answer, in milliseconds.
	LatencyMillis int `json:"latency_ms"`
	// FailRate is the share of calls, in [0, 1], refused with 503.
	FailRate float64 `json:"fail_rate"`
	// LoseRate is the share of calls, in [0, 1], that take effect and lose
	// their answer.
	LoseRate float64 `json:"lose_rate"`
	// Down refuses every call with 503.
	Down bool `json:"down"`
	// Frozen holds every call until it is unset; they go on then, also those
	// whose caller has given up.
	Frozen bool `json:"frozen"`
	// Silent makes the connections that are open when it is set go silent
	// for good. Setting it again silences those opened since.
	Silent bool `json:"silent"`
	// CrashMarker stops the stand-in when a request body has this text.
	CrashMarker string `json:"crash_marker,omitempty"`
	// BadVersions is the share of bad answers per "model@version".
	BadVersions map[string]float64 `json:"bad_versions,omitempty"`
	// CutRate is the share of streams, in [0, 1], that end in the middle.
	CutRate float64 `json:"cut_rate"`
}

// Switch holds the faults in force. It is safe for concurrent use.
type Switch struct {
	mu      sync.Mutex
	set     Set
	random  *rand.Rand
	thawed  chan struct{} // closed while not frozen
	closed  chan struct{}
	crash   func()
	silence func(except net.Conn)
}

// NewSwitch returns a switch without faults. Equal seeds draw equal faults
// from equal calls.
func NewSwitch(seed uint64) *Switch {
	thawed := make(chan struct{})
	close(thawed)
	return &Switch{
		random:  rand.New(rand.NewPCG(seed, seed)),
		thawed:  thawed,
		closed:  make(chan struct{}),
		crash:   func() {},
		silence: func(net.Conn) {},
	}
}

// OnCrash names what a marked request does to the stand-in.
func (s *Switch) OnCrash(crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash = crash
}

// Set replaces the faults.
func (s *Switch) Set(set Set) { s.replace(set, nil) }

// replace replaces the faults. The connection that asked for it is not
// silenced, so that the answer arrives.
func (s *Switch) replace(set Set, asking net.Conn) {
	s.mu.Lock()
	if s.set.Frozen != set.Frozen {
		if set.Frozen {
			s.thawed = make(chan struct{})
		} else {
			close(s.thawed)
		}
	}
	s.set = set
	silence := s.silence
	s.mu.Unlock()
	if set.Silent {
		silence(asking)
	}
}

// Get returns the faults in force.
func (s *Switch) Get() Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Draw returns true with the probability given.
func (s *Switch) Draw(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// WaitThawed returns once the stand-in is not frozen. The error is
// [ErrClosed].
func (s *Switch) WaitThawed() error {
	for {
		s.mu.Lock()
		thawed := s.thawed
		frozen := s.set.Frozen
		s.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-thawed:
		case <-s.closed:
			return ErrClosed
		}
	}
}

// Sleep waits for the duration and then until the stand-in is not frozen. The
// errors are the context's and [ErrClosed].
func (s *Switch) Sleep(ctx context.Context, duration time.Duration) error {
	if duration > 0 {
		timer := time.NewTimer(duration)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-s.closed:
			return ErrClosed
		}
	}
	return s.WaitThawed()
}

// Close releases all calls that wait. It may be called once.
func (s *Switch) Close() { close(s.closed) }
