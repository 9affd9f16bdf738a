package demo

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonusher/wigeonusher/cmd/internal/fleet"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/check"
	"github.com/wigeonusher/wigeonusher/standin/endpoint"
	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/environment"
	"github.com/wigeonusher/wigeonusher/standin/faults"
	"github.com/wigeonusher/wigeonusher/standin/load"
)

const (
	sampleInterval    = 100 * time.Millisecond
	balancerLag       = 300 * time.Millisecond // interval at which the balancer's view is refreshed
	crashPollInterval = 100 * time.Millisecond
	replacementDelay  = 2 * time.Second
)

// runEvery starts a goroutine that calls the function do immediately and then at
// every interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, do func()) {
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			do()
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
}

// revisionSampler records which configuration revision each instance has in
// force.
type revisionSampler struct {
	mu      sync.Mutex
	samples []check.Sample
}

func (s *revisionSampler) start(ctx context.Context, f *fleet.Fleet) {
	runEvery(ctx, sampleInterval, func() {
		samples := f.Samples()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.samples = append(s.samples, samples...)
	})
}

func (s *revisionSampler) all() []check.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]check.Sample{}, s.samples...)
}

// balancerView is the set of instances that the balancer considers ready. It is
// refreshed only every balancerLag.
type balancerView struct {
	fleet   *fleet.Fleet
	serving atomic.Pointer[map[string]bool]
}

func newBalancerView(f *fleet.Fleet) *balancerView {
	v := &balancerView{fleet: f}
	v.refresh()
	return v
}

func (v *balancerView) start(ctx context.Context) { runEvery(ctx, balancerLag, v.refresh) }

func (v *balancerView) refresh() {
	serving := v.fleet.ServingAddresses()
	v.serving.Store(&serving)
}

func (v *balancerView) isReady(address string) bool { return (*v.serving.Load())[address] }

// crashMonitor counts the engines that have crashed, and replaces them.
type crashMonitor struct {
	mu        sync.Mutex
	faults    faults.Set
	crashedAt map[platform.EndpointID]time.Time // zero once replaced
	count     int
}

// start sets the crash marker on all engines and begins to replace those that
// crash.
func (c *crashMonitor) start(ctx context.Context, d *demonstration) {
	c.crashedAt = map[platform.EndpointID]time.Time{}
	c.setFaults(d.env, faults.Set{CrashMarker: crashMarker})
	runEvery(ctx, crashPollInterval, func() { c.poll(ctx, d) })
}

// setFaults sets the faults of all engines and of replacements added later.
func (c *crashMonitor) setFaults(env *environment.Environment, set faults.Set) {
	c.mu.Lock()
	c.faults = set
	c.mu.Unlock()
	for _, server := range env.Engines() {
		server.Faults.Set(set)
	}
}

func (c *crashMonitor) poll(ctx context.Context, d *demonstration) {
	for _, server := range d.env.Engines() {
		if ctx.Err() == nil && hasStopped(server) {
			c.handleCrash(d, server)
		}
	}
}

func hasStopped(server *engine.Server) bool {
	select {
	case <-server.Done():
		return true
	default:
		return false
	}
}

// handleCrash is called at every poll with each engine that has stopped. The first
// call for an engine records the crash, and the first one later than
// replacementDelay after that starts a replacement.
func (c *crashMonitor) handleCrash(d *demonstration, crashed *engine.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashedAt, known := c.crashedAt[crashed.ID()]
	switch {
	case !known:
		c.count++
		c.crashedAt[crashed.ID()] = time.Now()
		d.progress.writeEvent("engine " + string(crashed.ID()) + " crashed")
	case !crashedAt.IsZero() && time.Since(crashedAt) > replacementDelay:
		c.crashedAt[crashed.ID()] = time.Time{}
		c.replace(d, crashed.Identity())
	}
}

func (c *crashMonitor) replace(d *demonstration, identity endpoint.Identity) {
	identity.ID += "-r"
	replacement, err := d.env.AddEngine(identity)
	if err != nil {
		d.progress.writeEvent("FAILED: " + err.Error())
		return
	}
	replacement.Faults.Set(c.faults)
}

// counts returns the number of crashed engines and of marked requests. Attempts
// of one request count once: their IDs differ only after "-t".
func (c *crashMonitor) counts(report *load.Report) (crashed, marked int) {
	operations := map[string]bool{}
	for _, o := range report.Observations {
		if o.Marked {
			operation, _, _ := strings.Cut(o.RequestID, "-t")
			operations[operation] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, len(operations)
}
