package orders

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
)

// JobID numbers a planner's jobs.
type JobID uint64

// Event is something that the planner is told: an [Observation], a [Reserved],
// a [ReserveFailed] or an [Answered].
type Event interface{ event() }

// Observation is the state of the pool at one poll.
type Observation struct {
	// Fencing is the number under which the instance holds the pool's claim in
	// its own fold; 0 if it doesn't hold it.
	Fencing  uint64
	Policy   *document.Policy
	Statuses []rollout.Status
	Engines  []Engine
}

// Reserved says that the weight store admits a job's load after a wait.
type Reserved struct {
	Job  JobID
	Wait time.Duration
}

// ReserveFailed says that the weight store gave no answer.
type ReserveFailed struct{ Job JobID }

// Answered is the end of an order.
type Answered struct {
	Job    JobID
	Result Result
}

// Result is the end of an order.
type Result int

// Results of an order.
const (
	// Done orders took effect.
	Done Result = iota
	// Unknown orders may or may not have taken effect.
	Unknown
	// Stale orders were refused, because the engine has seen a higher fencing
	// number.
	Stale
)

func (Observation) event()   {}
func (Reserved) event()      {}
func (ReserveFailed) event() {}
func (Answered) event()      {}

// Effect is something that the caller does for the planner: a [Reserve] or an
// [Order].
type Effect interface{ effect() }

// Reserve asks the weight store for a slot.
type Reserve struct {
	Job JobID
	Ref document.Ref
	// Bytes is the size of the weights.
	Bytes int64
}

// Action is what an order asks for.
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
