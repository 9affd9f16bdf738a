package orders

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

// JobID identifies a job of one planner.
type JobID uint64

// Event is an input of [Planner.Step]: an [Observation], a [Reserved], a
// [ReserveFailed] or an [Answered].
type Event interface{ event() }

// Observation is the state of the pool at one poll.
type Observation struct {
	// Fencing is the fencing number with which the instance holds the pool's
	// claim according to its local fold; 0 if it does not hold the claim.
	Fencing  uint64
	Policy   *document.Policy
	Statuses []rollout.Status
	Engines  []Engine
}

// Reserved reports that the weight store admits a job's load after Wait.
type Reserved struct {
	Job  JobID
	Wait time.Duration
}

// ReserveFailed reports that the weight store did not grant a slot.
type ReserveFailed struct{ Job JobID }

// Answered reports the result of a job's order.
type Answered struct {
	Job    JobID
	Result Result
}

// Result is the result of an order, as far as the caller knows it.
type Result int

// Results of an order.
const (
	// Done orders took effect.
	Done Result = iota
	// Unknown orders may or may not have taken effect.
	Unknown
	// Stale orders were refused because the engine has seen a higher fencing
	// number.
	Stale
)

func (Observation) event()   {}
func (Reserved) event()      {}
func (ReserveFailed) event() {}
func (Answered) event()      {}

// Effect is a call that the planner asks its caller to make: a [Reserve] or an
// [Order].
type Effect interface{ effect() }

// Reserve asks the weight store for a slot.
type Reserve struct {
	Job JobID
	Ref document.Ref
	// Bytes is the size of the version's weights.
	Bytes int64
}

// Action is the operation that an order requests.
type Action string

// Actions of an order.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Order asks an engine to load or unload a version.
type Order struct {
	Job      JobID
	Endpoint platform.EndpointID
	Address  string
	Action   Action
	Ref      document.Ref
	Fencing  uint64
}

func (Reserve) effect() {}
func (Order) effect()   {}
