package entry

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Where explains where a request would go now.
type Where struct {
	Instance string        `json:"instance"`
	Zone     platform.Zone `json:"zone"`
	At       time.Time     `json:"at"`
	// Revision is that of the configuration. The ages are the times since the configuration and the
	// registry were last known to be current. ConfigTooOld reports that requests with a key are refused.
	Revision          int64 `json:"revision"`
	ConfigAgeMillis   int64 `json:"config_age_ms"`
	ConfigTooOld      bool  `json:"config_too_old"`
	RegistryAgeMillis int64 `json:"registry_age_ms"`

	Route    string            `json:"route"`
	Account  route.AccountName `json:"account,omitempty"`
	Session  string            `json:"session,omitempty"`
	Priority int               `json:"priority"`
	// Service is the explained one, and Split has all services of the route. A request draws one.
	Service route.ServiceName `json:"service"`
	Split   []WhereShare      `json:"split"`
	// Model is the one that would be asked first; empty for a plain service.
	Model     route.ModelName `json:"model,omitempty"`
	Admission WhereAdmission  `json:"admission"`
	// VersionsCertain is false if peers, or the ID of the request, may decide for another version.
	VersionsCertain bool `json:"versions_certain"`
	// PathBroken reports that this instance reaches no endpoint and would forward to a peer.
	PathBroken bool `json:"path_broken"`
	// Refusal is why the request would be refused without an attempt, if that is certain.
	Refusal relay.Reason `json:"refusal,omitempty"`

	Placement pool.Inspection `json:"placement"`
}

// WhereShare is a service's share of the requests of the route.
type WhereShare struct {
	Service route.ServiceName `json:"service"`
	Share   float64           `json:"share"`
}

// WhereAdmission is what admission would decide.
type WhereAdmission struct {
	Enabled bool `json:"enabled"`
	Rank    int  `json:"rank"`
	admission.Preview
	// WaitMillis is the expected wait in the queues of the endpoints.
	WaitMillis int64 `json:"expected_wait_ms"`
}

// whereError is an error with the status of its HTTP response.
type whereError struct {
	status int
	text   string
}

func (e *whereError) Error() string { return e.text }

func notFound(format string, args ...any) error {
	return &whereError{http.StatusNotFound, fmt.Sprintf(format, args...)}
}

// serveWhere serves [Entry.Where]. A key comes in the header Authorization, since URLs may be logged.
func (e *Entry) serveWhere(c echo.Context) error {
	key, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	where, err := e.Where(c.QueryParams(), key)
	if err != nil {
		status := http.StatusInternalServerError
		if known, ok := err.(*whereError); ok {
			status = known.status
		}
		return c.JSON(status, map[string]string{"error": err.Error()})
	}
	return c.JSON(http.StatusOK, where)
}

// Where explains where a request with the given parameters would go now. It sends nothing and changes
// nothing: nothing is counted, and no permit or place is taken.
func (e *Entry) Where(parameters url.Values, key string) (*Where, error) {
	table, verifiedAt := e.Table()
	if table == nil {
		return nil, &whereError{http.StatusServiceUnavailable, "the instance has no configuration yet"}
	}
	age := boottime.Since(verifiedAt)
	maxAge := e.configMaxAge()
	where := &Where{
		Instance: e.settings.Name, Zone: e.settings.Zone, At: time.Now().UTC(), Revision: table.Revision,
		ConfigAgeMillis: age.Milliseconds(), RegistryAgeMillis: e.pools.ViewAge().Milliseconds(),
	}
	permission, err := permissionOf(table, parameters, key)
	if err != nil {
		return nil, err
	}
	rt := permission.Route
	where.Route, where.Account, where.Priority = rt.Name, permission.Account, permission.Priority
	where.ConfigTooOld = table.NeedsKey(rt) && maxAge > 0 && age >= maxAge
	request, bodyBytes, err := whereRequest(parameters)
	if err != nil {
		return nil, err
	}
	where.Session = request.Session
	if err := where.selectService(rt, route.ServiceName(parameters.Get("service"))); err != nil {
		return nil, err
	}
	query := &relay.Query{Request: request, Permission: permission, Service: where.Service, Model: route.ModelName(parameters.Get("model"))}
	request.AnyModel = query.Model == "" && len(rt.Models) > 0
	e.explain(where, query, bodyBytes)
	return where, nil
}

// permissionOf finds the route and the account that the parameters name.
func permissionOf(table *route.Table, parameters url.Values, key string) (*relay.Permission, error) {
	var found *route.Route
	var ok bool
	if name := parameters.Get("route"); name != "" {
		if found, ok = table.RouteNamed(name); !ok {
			return nil, notFound("unknown route: no route is named %q in revision %d", name, table.Revision)
		}
	} else if found, ok = table.Match(parameters.Get("host"), parameters.Get("path")); !ok {
		return nil, notFound("unknown route: none matches host %q and path %q in revision %d", parameters.Get("host"), parameters.Get("path"), table.Revision)
	}
	permission := &relay.Permission{Route: found, Priority: found.Priority, Revision: table.Revision}
	if !table.NeedsKey(found) {
		return permission, nil
	}
	var account *route.Account
	switch name := parameters.Get("account"); {
	case name != "":
		if account, ok = table.AccountNamed(route.AccountName(name)); !ok {
			return nil, notFound("unknown account: none is named %q in revision %d", name, table.Revision)
		}
	case key == "":
		return nil, &whereError{http.StatusBadRequest, fmt.Sprintf("route %s needs a key: name a key or an account", found.Name)}
	default:
		if account, ok = table.Account(key); !ok {
			return nil, notFound("unknown key: no account has it in revision %d", table.Revision)
		}
	}
	permission.Account = account.Name
	if account.HasPriority {
		permission.Priority = account.Priority
	}
	return permission, nil
}

// whereRequest returns the request that the parameters describe, and the size of its body.
func whereRequest(parameters url.Values) (request *relay.Request, bodyBytes int, err error) {
	request = &relay.Request{
		ID: parameters.Get("request"), Session: parameters.Get("session"), Received: time.Now(), ReceivedBoot: boottime.Now(),
	}
	for name, value := range map[string]*int{
		"tokens": &request.PromptTokens, "answer_tokens": &request.MaxAnswerTokens, "bytes": &bodyBytes,
	} {
		if err := parseCount(name, parameters.Get(name), value); err != nil {
			return nil, 0, err
		}
	}
	for _, text := range parameters["part"] {
		id, tokens, _ := strings.Cut(text, ":")
		part := relay.PromptPart{ID: id}
		if err := parseCount("part", tokens, &part.Tokens); err != nil {
			return nil, 0, err
		}
		request.Prompt = append(request.Prompt, part)
	}
	return request, bodyBytes, nil
}

// parseCount parses a number that is not negative. An empty text leaves the value as it is.
func parseCount(name, text string, value *int) error {
	if text == "" {
		return nil
	}
	parsed, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return &whereError{http.StatusBadRequest, fmt.Sprintf("parameter %s: %q is not a number from 0 to 2^31-1", name, text)}
	}
	*value = int(parsed)
	return nil
}

// selectService sets the split and the explained service: the named one, or else that of the largest share.
func (w *Where) selectService(rt *route.Route, named route.ServiceName) error {
	total := 0.0
	for _, share := range rt.Split {
		total += max(0, share.Weight)
	}
	largest := 0.0
	for _, share := range rt.Split {
		part := max(0, share.Weight) / max(total, 1e-9)
		w.Split = append(w.Split, WhereShare{Service: share.Service, Share: part})
		if named == share.Service || named == "" && part > largest {
			w.Service, largest = share.Service, part
		}
	}
	if w.Service == "" && named != "" {
		return notFound("unknown service: route %s has no share of %q", rt.Name, named)
	}
	if w.Service == "" {
		return notFound("route %s has no service with a weight above 0", rt.Name)
	}
	return nil
}

// explain fills in what is decided after the service is known.
func (e *Entry) explain(where *Where, query *relay.Query, bodyBytes int) {
	now := time.Now()
	where.Placement.Zone = where.Zone
	where.VersionsCertain = true
	where.Admission.Enabled, where.Admission.Admitted = e.admission.Enabled(), 1
	known := e.pools.Has(where.Service)
	if known {
		e.explainPlacement(now, where, query, bodyBytes)
	}
	request := query.FleetRequest(time.Duration(where.Placement.FirstEventMillis) * time.Millisecond)
	where.Admission.Rank = request.Rank
	if where.Admission.Enabled {
		if known {
			request.FirstEvent = e.pools.Service(where.Service).UsualFirstEvent(query.SmallestModel(), query.Request.PromptTokens)
		}
		where.Admission.Preview = e.admission.Preview(request)
		where.Admission.WaitMillis = where.Admission.Wait.Milliseconds()
	}
	switch {
	case where.ConfigTooOld:
		where.Refusal = relay.ConfigTooOld
	case where.Admission.Admitted == 0:
		where.Refusal = relay.ReasonOf(where.Admission.Reason)
	case !known:
		where.Refusal = relay.NoEndpoint
	}
}

// explainPlacement makes the choice of [relay.PooledPicker.Pick] for a service whose pool exists: the
// methods used here would create it otherwise.
func (e *Entry) explainPlacement(now time.Time, where *Where, query *relay.Query, bodyBytes int) {
	endpoints := e.pools.Service(where.Service)
	choice, certain := e.versions.Inspect(where.Service, query.Request.Session)
	where.VersionsCertain = certain
	where.PathBroken = endpoints.IsPathBroken()
	if query.Request.AnyModel {
		query.Model = e.planner.First(&relay.Progress{
			Request: query.Request, Route: query.Permission.Route, Service: where.Service,
			Priority: query.Permission.Priority, Retries: e.budgets.inspect(now, where.Service),
		})
	}
	where.Model = query.Model
	described := query.PoolQuery(bodyBytes)
	described.Concentration = choice.Concentration
	for _, filter := range choice.Preferences() {
		described.Version = filter
		if where.Placement, _ = e.pools.Inspect(now, where.Service, described); where.Placement.Chosen != "" {
			return
		}
	}
	_, resting := endpoints.RestWait(now, described)
	_, brittle := endpoints.BrittleWait(now, described)
	if where.Placement.LimitWaitMillis > 0 || resting || brittle {
		where.Refusal = relay.EndpointsLimited
		return
	}
	listed := where.Placement
	for _, filter := range choice.Preferences() {
		described.Version, described.Unlisted = filter, true
		if where.Placement, _ = e.pools.Inspect(now, where.Service, described); where.Placement.Chosen != "" {
			return
		}
	}
	described.Unlisted, where.Placement = false, listed
	where.Refusal = relay.NoEndpoint
	if endpoints.IsEvacuated(described) {
		where.Refusal = relay.ZonesEvacuated
	}
}
