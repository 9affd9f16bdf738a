// Package route holds the part of the fleet's configuration that decides where a
// request may be sent: hosts and path prefixes, services with their model sizes, and
// client accounts with their keys.
//
// A [Table] is one revision of this configuration. It is built and validated once, never
// modified, and replaced as a whole, so that a request uses a single revision from the
// key lookup to the choice of a service.
package route

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether a request may be repeated.
type Kind int

// Kinds of requests.
const (
	// AtMostOnce requests run at most once. It is the zero value, so that requests of
	// unknown kind are never repeated.
	AtMostOnce Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered with a sequence of events. They may be repeated
	// from the last delivered event if the route is resumable, or from the start if
	// the route is restartable and no event has been delivered.
	Stream
)

// Route is one entry of the routing table.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams continue at another endpoint after the last delivered event.
	Resumable bool
	// Restartable streams may start again at another endpoint until the client has received
	// an event.
	Restartable bool
	// Timeout is the longest time from the arrival of a request to its deadline.
	Timeout time.Duration
	// TargetLatency is the latency objective: for the complete answer, or for the first
	// event of a stream.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events of a stream that counts as on time.
	TargetGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Models lists the models that may answer, smallest first. It is empty if the client
	// selects the model.
	Models []ModelName
	// Split lists the services that share the route's requests.
	Split []Share
	// MaxAttempts bounds the number of endpoints that may run one request.
	MaxAttempts int
	// Public routes require no key.
	Public bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && (r.Resumable || r.Restartable)
}

// ServiceName names a pool of endpoints that run the same program.
type ServiceName string

// ModelName names a model.
type ModelName string

// Share is a service's share of a route's requests.
type Share struct {
	Service ServiceName
	// Weight is relative to the weights of the route's other shares.
	Weight float64
}

// Service describes the endpoints of one pool.
type Service struct {
	Name ServiceName
	// MaxConnections is the number of connections that an endpoint accepts from all callers
	// together; 0 if unknown.
	MaxConnections int
	// ColdPerSecond is the number of requests a second that an endpoint takes from all callers
	// together while it is cold; 0 if it takes as many as a warm one. ColdStart is how long an
	// endpoint stays cold after its start.
	ColdPerSecond float64
	ColdStart     time.Duration
	// Engine describes a pool of model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	// BatchSlots is the number of requests in one batch of an engine.
	BatchSlots int
	// CacheTokens is the size of an engine's KV cache in tokens.
	CacheTokens int
	Models      []Model
}

// Model is one model size that an engine runs.
type Model struct {
	Name ModelName
	// Cost is the price of 1,000 generated tokens, in the operator's unit. Prompt tokens
	// cost a quarter of it.
	Cost float64
}

// AccountName names a client account.
type AccountName string

// Account is a client account.
type Account struct {
	Name AccountName
	// Priority takes precedence over the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one revision of the routing configuration.
type Table struct {
	Revision int64
	Limits   Limits
	// Warnings describe parts of the configuration that are ignored.
	Warnings     []string
	hosts        map[string][]*Route
	services     map[ServiceName]*Service
	keys         map[string]*Account
	requiresKeys bool
}

// NewTable builds a table. The routes of a host are matched longest prefix first. The
// argument keys maps API keys to accounts; if it is nil, no route requires a key.
func NewTable(revision int64, limits Limits, routes []*Route, services []*Service, keys map[string]*Account) *Table {
	t := &Table{
		Revision:     revision,
		Limits:       limits,
		hosts:        make(map[string][]*Route),
		services:     make(map[ServiceName]*Service, len(services)),
		keys:         keys,
		requiresKeys: keys != nil,
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, sameHost := range t.hosts {
		slices.SortStableFunc(sameHost, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	return t
}

// Match returns the host's route whose prefix is the longest one that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests of the route require a key.
func (t *Table) NeedsKey(r *Route) bool { return t.requiresKeys && !r.Public }

// Account returns the account that owns the key.
func (t *Table) Account(key string) (*Account, bool) {
	account, ok := t.keys[key]
	return account, ok
}

// Service returns the service with the name.
func (t *Table) Service(name ServiceName) (*Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// RouteNamed returns the route with the name.
func (t *Table) RouteNamed(name string) (*Route, bool) {
	for _, sameHost := range t.hosts {
		if at := slices.IndexFunc(sameHost, func(r *Route) bool { return r.Name == name }); at >= 0 {
			return sameHost[at], true
		}
	}
	return nil, false
}

// AccountNamed returns the account with the name.
func (t *Table) AccountNamed(name AccountName) (*Account, bool) {
	for _, account := range t.keys {
		if account.Name == name {
			return account, true
		}
	}
	return nil, false
}

// Services returns the names of all services, sorted.
func (t *Table) Services() []ServiceName {
	names := make([]ServiceName, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	count := 0
	for _, sameHost := range t.hosts {
		count += len(sameHost)
	}
	return count
}

// Pick selects a service in proportion to the weights. The argument draw is a random
// number in [0, 1). Pick returns false if no service has a weight above 0.
func (r *Route) Pick(draw float64) (ServiceName, bool) {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	if total <= 0 {
		return "", false
	}
	position := draw * total
	for _, share := range r.Split {
		if position < share.Weight {
			return share.Service, true
		}
		position -= share.Weight
	}
	return r.Split[len(r.Split)-1].Service, true
}

// Allows reports whether the route may send requests to the service.
func (r *Route) Allows(service ServiceName) bool {
	return slices.ContainsFunc(r.Split, func(share Share) bool {
		return share.Service == service && share.Weight > 0
	})
}
