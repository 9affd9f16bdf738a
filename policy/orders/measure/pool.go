// Package measure compares the planner of package orders with a baseline that
// immediately loads every version on every engine. It simulates one pool with one
// weight store in virtual time.
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
	// ChecksFencing is true if the engine refuses fencing numbers below the
	// highest one it has seen.
	ChecksFencing  bool
	highestFencing uint64
}

// NewEngine returns the engine with the given number, in one of three
// availability zones.
func NewEngine(number int, checksFencing bool, loaded ...document.Ref) *Engine {
	const zones = 3
	id := fmt.Sprintf("engine-%03d", number)
	return &Engine{ChecksFencing: checksFencing, Engine: orders.Engine{
		ID:       platform.EndpointID(id),
		Zone:     platform.Zone(fmt.Sprintf("zone-%d", number%zones)),
		Address:  id,
		Reported: true,
		Loaded:   loaded,
	}}
}

// Apply executes an order, or refuses it if its fencing number is stale.
func (e *Engine) Apply(order orders.Order) orders.Result {
	if e.ChecksFencing && order.Fencing < e.highestFencing {
		return orders.Stale
	}
	e.highestFencing = max(e.highestFencing, order.Fencing)
	e.Loaded = slices.DeleteFunc(slices.Clone(e.Loaded), func(r document.Ref) bool { return r == order.Ref })
	if order.Action == orders.Load {
		e.Loaded = append(e.Loaded, order.Ref)
	}
	return orders.Done
}

// Store is a weight store that admits one load at a time.
type Store struct {
	// BytesPerSecond is the read rate of the store.
	BytesPerSecond float64
	// Slots is the number of loads admitted.
	Slots  int
	freeAt time.Time
}

// Reserve admits a load and returns how long it must wait before it starts.
func (s *Store) Reserve(now time.Time, bytes int64) time.Duration {
	start := s.freeAt
	if start.Before(now) {
		start = now
	}
	s.freeAt = start.Add(time.Duration(float64(bytes) / s.BytesPerSecond * float64(time.Second)))
	s.Slots++
	return start.Sub(now)
}

// Wait returns how long a load reserved now would have to wait.
func (s *Store) Wait(now time.Time) time.Duration { return max(0, s.freeAt.Sub(now)) }

// Copies returns the number of engines that are not leaving and have the version
// loaded.
func Copies(engines []*Engine, ref document.Ref) int {
	count := 0
	for _, e := range engines {
		if !e.Leaving && slices.Contains(e.Loaded, ref) {
			count++
		}
	}
	return count
}
