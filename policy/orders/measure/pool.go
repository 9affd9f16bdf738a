// Package measure compares the planner of package orders with loading every
// version everywhere at once, in virtual time, on one pool with one weight
// store.
package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/orders"
)

// Engine is a model engine in virtual time.
type Engine struct {
	orders.Engine
	// Checks tells whether the engine refuses old fencing numbers.
	Checks  bool
	highest uint64
}

// NewEngine returns an engine in one of three availability zones.
func NewEngine(number int, checks bool, loaded ...document.Ref) *Engine {
	const zones = 3
	id := fmt.Sprintf("engine-%03d", number)
	return &Engine{Checks: checks, Engine: orders.Engine{
		ID:       platform.EndpointID(id),
		Zone:     platform.Zone(fmt.Sprintf("zone-%d", number%zones)),
		Address:  id,
		Reported: true,
		Loaded:   loaded,
	}}
}

// Apply carries an order out, or refuses it as old.
func (e *Engine) Apply(order orders.Order) orders.Result {
	if e.Checks && order.Fencing < e.highest {
		return orders.Stale
	}
	e.highest = max(e.highest, order.Fencing)
	e.Loaded = slices.DeleteFunc(slices.Clone(e.Loaded), func(r document.Ref) bool { return r == order.Ref })
	if order.Action == orders.Load {
		e.Loaded = append(e.Loaded, order.Ref)
	}
	return orders.Done
}

// Store is a weight store that admits loads one after another.
type Store struct {
	// BytesPerSecond is the rate of the store.
	BytesPerSecond float64
	// Slots is the number of loads admitted.
	Slots int
	free  time.Time
}

// Reserve admits a load, and returns how long to wait before it may start.
func (s *Store) Reserve(now time.Time, bytes int64) time.Duration {
	start := s.free
	if start.Before(now) {
		start = now
	}
	s.free = start.Add(time.Duration(float64(bytes) / s.BytesPerSecond * float64(time.Second)))
	s.Slots++
	return start.Sub(now)
}

// Wait returns the wait that a load would get now.
func (s *Store) Wait(now time.Time) time.Duration { return max(0, s.free.Sub(now)) }

// Copies returns the number of engines that take work and have the version.
func Copies(engines []*Engine, ref document.Ref) int {
	count := 0
	for _, e := range engines {
		if !e.Leaving && slices.Contains(e.Loaded, ref) {
			count++
		}
	}
	return count
}
