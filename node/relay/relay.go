package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/policy/sizes"
)

// Tables gives the routing table in force.
type Tables interface {
	// Table returns the newest table and the moment at which it was last known
	// to be the newest; nil if none is known.
	Table() (*route.Table, boottime.Instant)
}

// Pools gives the endpoints of a service.
type Pools interface {
	Service(name route.ServiceName) *pool.Pool
}

// Budgets gives the retry budget of a service.
type Budgets interface {
	Service(name route.ServiceName) *retry.Window
}

// Versions decides which versions of a service may run a request.
type Versions interface {
	// Choose returns the versions for a request of a session.
	Choose(ctx context.Context, service route.ServiceName, session, requestID string) Choice
	// Observe takes in how a version answered.
	Observe(service route.ServiceName, version string, outcome VersionOutcome)
}

// Choice tells on which versions of a service a request runs. A nil function
// means all.
type Choice struct {
	// Meant versions are those that the roll-out gives the request.
	Meant func(version string) bool
	// Allowed versions may run it if no endpoint of a meant one is left.
	Allowed func(version string) bool
}

// VersionOutcome is what one answer tells of a version.
type VersionOutcome struct {
	// Failed tells of a failure that the endpoint itself reported.
	Failed bool
	// FirstEvent is the time to the first event, 0 if there was none.
	FirstEvent time.Duration
	// UsualFirst is the usual time to the first event of such requests.
	UsualFirst time.Duration
	// Pace is the mean time from event to event, 0 if there were too few, and
	// UsualPace that of such requests.
	Pace, UsualPace time.Duration
}

// Suspects judges requests that may crash endpoints.
type Suspects interface {
	// Refused reports whether the request is known to crash endpoints.
	Refused(fingerprint uint64) bool
	// Crashed is told of an endpoint, by its address, that broke off while it
	// ran the request: it may have crashed, or lost the answer.
	Crashed(fingerprint uint64, address string)
}

// Observer is told how each request went.
type Observer interface {
	Attempted(event *AttemptEvent)
	Done(event *DoneEvent)
}

// AttemptEvent describes one attempt at one endpoint.
type AttemptEvent struct {
	RequestID  string
	Session    string
	Number     int
	Service    route.ServiceName
	Endpoint   string
	Version    string
	Model      route.ModelName
	Revision   int64
	Verdict    string
	Status     int
	Confidence float64
	Events     int
	Took       time.Duration
	FirstEvent time.Duration
	// SinceStart is the time from the request's arrival to the attempt.
	SinceStart time.Duration
	// LongestGap is the longest pause between two events.
	LongestGap time.Duration
	Err        error
}

// DoneEvent describes what became of a request.
type DoneEvent struct {
	RequestID string
	Route     string
	Account   route.AccountName
	Revision  int64
	ConfigAge time.Duration
	Attempts  int
	Refusal   *Refusal
	Status    int
	Gone      bool
	Aborted   bool
	Took      time.Duration
}

// Config lists the parts that a relay uses.
type Config struct {
	Tables    Tables
	Pools     Pools
	Endpoints Endpoints
	Budgets   Budgets
	Versions  Versions
	Suspects  Suspects
	Reach     Reach
	Observer  Observer
	Tuning    Tuning
}

// Relay serves requests. Its methods may be called from several goroutines.
type Relay struct {
	Config
	pressures pressures
}

// New returns a relay.
func New(config Config) *Relay { return &Relay{Config: config} }

// pressures holds the pressure on each service.
type pressures struct {
	mu       sync.Mutex
	services map[route.ServiceName]*sizes.Pressure
}

func (p *pressures) of(service route.ServiceName) *sizes.Pressure {
	if p.services == nil {
		p.services = make(map[route.ServiceName]*sizes.Pressure)
	}
	found := p.services[service]
	if found == nil {
		found = &sizes.Pressure{}
		p.services[service] = found
	}
	return found
}

func (p *pressures) add(service route.ServiceName, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(service).Add(late)
}

func (p *pressures) accept(service route.ServiceName, calm float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(service).Accept(calm)
}

// Serve runs a request to its end. The context ends when the client leaves.
func (r *Relay) Serve(ctx context.Context, request *Request, client Client) {
	run := &run{relay: r, request: request, client: client, draw: rand.Float64()}
	run.serve(ctx)
	run.report(ctx)
}
