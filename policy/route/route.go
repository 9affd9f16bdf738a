// Package route is the part of the fleet's configuration that decides where a
// request may go: hosts and path prefixes, services with their model sizes,
// client accounts with their keys.
//
// A [Table] is one revision of it. It is built and checked once, never changed
// afterwards, and swapped as a whole, so that a request sees one revision from
// the lookup of its key to the choice of its service.
package route

import (
	"slices"
	"strings"
	"time"
)

// Kind tells how often a request may run.
type Kind int

// Kinds of requests.
const (
	// AtMostOnce requests run once or not at all. It is the zero value, so that
	// what is not known to be repeatable is never repeated.
	AtMostOnce Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream answers are a series of events. They may be repeated, from the
	// last event delivered, if the route is resumable, and as long as none was
	// delivered if it is restartable.
	Stream
)

// Route is one entry of the routing table.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams go on at another endpoint after the last event.
	Resumable bool
	// Restartable streams may begin anew at another endpoint as long as the
	// client has no event.
	Restartable bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the latency objective: up to the whole answer, or up to
	// the first event of a stream.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events of a stream that is
	// still on time.
	TargetGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Models lists the models that may answer, smallest first. It is empty if
	// the client names the model.
	Models []ModelName
	// Split holds the services that share the route's requests.
	Split []Share
	// MaxAttempts bounds the endpoints that may run one request.
	MaxAttempts int
	// Public routes need no key.
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

// Share is a service's part of a route's requests.
type Share struct {
	Service ServiceName
	// Weight is relative to the route's other shares.
	Weight float64
}

// Service describes the endpoints of one pool.
type Service struct {
	Name ServiceName
	// MaxConnections is how many connections an endpoint accepts from all
	// callers together; 0 if unknown.
	MaxConnections int
	// Engine describes a pool of model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	// BatchSlots is how many requests one engine batches.
	BatchSlots int
	// CacheTokens is the size of an engine's KV cache in tokens.
	CacheTokens int
	Models      []Model
}

// Model is one size of model that an engine runs.
type Model struct {
	Name ModelName
	// Cost is the price of 1,000 generated tokens, in the operator's unit.
	// Tokens read cost a quarter of it.
	Cost float64
}

// AccountName names a client account.
type AccountName string

// Account is a client account.
type Account struct {
	Name AccountName
	// Priority ranks the account before the route's own priority, if Ranked.
	Priority int
	Ranked   bool
}

// Limits bound what clients may send.
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
	hosts    map[string][]*Route
	services map[ServiceName]*Service
	keys     map[string]*Account
	accounts bool
}

// NewTable builds a table. Routes of one host are tried longest prefix first.
// keys maps API keys to accounts; a nil map means that no route needs a key.
func NewTable(revision int64, limits Limits, routes []*Route, services []*Service, keys map[string]*Account) *Table {
	t := &Table{
		Revision: revision,
		Limits:   limits,
		hosts:    make(map[string][]*Route),
		services: make(map[ServiceName]*Service, len(services)),
		keys:     keys,
		accounts: keys != nil,
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

// Match returns the route of the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests of the route carry a key.
func (t *Table) NeedsKey(r *Route) bool { return t.accounts && !r.Public }

// Account returns the account that holds the key.
func (t *Table) Account(key string) (*Account, bool) {
	account, ok := t.keys[key]
	return account, ok
}

// Service returns the service of the name.
func (t *Table) Service(name ServiceName) (*Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services returns the names of all services.
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

// Pick chooses a service by weight. draw is in [0, 1).
func (r *Route) Pick(draw float64) (ServiceName, bool) {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	if total <= 0 {
		return "", false
	}
	at := draw * total
	for _, share := range r.Split {
		if at < share.Weight {
			return share.Service, true
		}
		at -= share.Weight
	}
	return r.Split[len(r.Split)-1].Service, true
}

// Allows reports whether the route may send requests to the service.
func (r *Route) Allows(service ServiceName) bool {
	return slices.ContainsFunc(r.Split, func(share Share) bool {
		return share.Service == service && share.Weight > 0
	})
}
