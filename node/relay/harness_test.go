package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// harness is a relay between a recording client and scripted endpoints.
type harness struct {
	relay     *Relay
	endpoints *scripted
	tables    *tables
	budget    *retry.Window
	pools     *pool.Pools
	places    *PooledPlaces
	client    *recorder
	observer  *events
}

type tables struct {
	mu     sync.Mutex
	table  *route.Table
	proven boottime.Instant
}

func (t *tables) Table() (*route.Table, boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table, t.proven
}

type oneBudget struct{ *retry.Window }

func (b oneBudget) Budget(route.ServiceName) Budget { return b }
func (b oneBudget) Escalate(now time.Time) bool     { return b.Withdraw(now) }

type anyVersion struct{}

func (anyVersion) Choose(context.Context, route.ServiceName, string, string) Choice { return Choice{} }
func (anyVersion) Observe(route.ServiceName, string, VersionOutcome)                {}

// dark endpoints cannot be reached.
type dark struct{ addresses map[string]bool }

func (d dark) Reachable(_ context.Context, address string) bool { return !d.addresses[address] }

type noSuspects struct{}

func (noSuspects) Refused(uint64) bool    { return false }
func (noSuspects) Crashed(uint64, string) {}

type events struct {
	mu       sync.Mutex
	attempts []AttemptEvent
	done     []DoneEvent
}

func (e *events) Attempted(event *AttemptEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, *event)
}

func (e *events) Done(event *DoneEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done = append(e.done, *event)
}

// act is what an endpoint does with one call.
type act struct {
	// refused connections take no byte; notExecuted answers deny a run.
	refused, notExecuted bool
	// silent endpoints run the call and never answer.
	silent bool
	// reset breaks the connection after the call arrived.
	reset bool
	// complete answers are at hand as a whole.
	complete bool
	// foreign answers belong to another call.
	foreign    bool
	status     int
	confidence float64
	// events is the number of events that the endpoint sends of its stream
	// before it breaks off inside the next one; -1 sends all.
	events int
}

// streamLength is the number of events of a whole stream.
const streamLength = 5

type arrival struct {
	call *Call
	act  act
	ran  bool
}

// scripted endpoints do what the script says, call by call.
type scripted struct {
	mu       sync.Mutex
	script   func(call *Call, number int) act
	arrivals []arrival
}

func (s *scripted) Send(ctx context.Context, call *Call, deadline time.Time) (*Answer, error) {
	s.mu.Lock()
	number := len(s.arrivals)
	does := s.script(call, number)
	s.arrivals = append(s.arrivals, arrival{call: call, act: does, ran: !does.refused && !does.notExecuted})
	s.mu.Unlock()
	switch {
	case does.refused:
		return nil, &SendError{Err: errors.New("connection refused")}
	case does.reset:
		return nil, &SendError{Departed: true, Err: errors.New("connection reset")}
	case does.silent:
		select {
		case <-ctx.Done():
			return nil, &SendError{Departed: true, Err: ctx.Err()}
		case <-time.After(time.Until(deadline)):
			return nil, &SendError{Departed: true, Err: os.ErrDeadlineExceeded}
		}
	case does.notExecuted:
		return &Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Genuine: true, Body: body("")}, nil
	}
	status := does.status
	if status == 0 {
		status = http.StatusOK
	}
	answer := &Answer{
		Status: status, Header: http.Header{}, Genuine: !does.foreign,
		Confidence: does.confidence, HasConfidence: call.Model != "", Complete: does.complete,
	}
	answer.Body = streamBody(call, does)
	return answer, nil
}

func (s *scripted) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, a := range s.arrivals {
		if a.ran {
			count++
		}
	}
	return count
}

// streamBody makes the events that follow the call's last one.
func streamBody(call *Call, does act) Body {
	after, err := strconv.Atoi(call.ResumeAfter)
	if err != nil {
		after = 0
	}
	var text bytes.Buffer
	sent := 0
	for id := after + 1; id <= streamLength; id++ {
		if does.events >= 0 && sent == does.events {
			text.WriteString("id: " + strconv.Itoa(id) + "\nda")
			return &fakeBody{reader: io.MultiReader(&text, failing{})}
		}
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
		sent++
	}
	return &fakeBody{reader: &text}
}

func body(text string) Body { return &fakeBody{reader: bytes.NewBufferString(text)} }

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type fakeBody struct{ reader io.Reader }

func (b *fakeBody) Read(p []byte) (int, error)      { return b.reader.Read(p) }
func (b *fakeBody) SetReadDeadline(time.Time) error { return nil }
func (b *fakeBody) Close() error                    { return nil }

// recorder is a client that keeps what it gets.
type recorder struct {
	begun   bool
	status  int
	body    bytes.Buffer
	refusal *Refusal
	aborted bool
	// fallback tells that the answer was one that had been dropped.
	fallback bool
	finals   int
}

func (r *recorder) Begin(head Head) {
	r.begun, r.status, r.fallback = true, head.Status, head.Fallback
	r.finals++
}

func (r *recorder) Write(p []byte) error {
	r.body.Write(p)
	return nil
}

func (r *recorder) Refuse(refusal *Refusal) {
	r.refusal = refusal
	r.finals++
}

func (r *recorder) Abort() { r.aborted = true }

const (
	testService = route.ServiceName("pool")
	testKey     = "key-1"
)

func testRoute(kind route.Kind) *route.Route {
	return &route.Route{
		Name: "r", Host: "h", Prefix: "/p/", Kind: kind, Resumable: kind == route.Stream,
		Timeout: 10 * time.Second, TargetLatency: 2 * time.Second, TargetGap: time.Second,
		MaxAttempts: 3, Split: []route.Share{{Service: testService, Weight: 1}},
	}
}

func testTable(routes ...*route.Route) *route.Table {
	account := &route.Account{Name: "account-1"}
	return route.NewTable(1, route.Limits{}, routes, nil, map[string]*route.Account{testKey: account})
}

func newHarness(table *route.Table, endpoints int, script func(call *Call, number int) act) *harness {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h := &harness{
		endpoints: &scripted{script: script},
		tables:    &tables{table: table, proven: boottime.Now()},
		budget:    retry.NewWindow(retry.WindowConfig{Length: 10 * time.Second, Ratio: 1, Slack: 20, Reserve: 1}),
		pools:     pool.New("zone", logrus.NewEntry(logger)),
		client:    &recorder{},
		observer:  &events{},
	}
	for i := range endpoints {
		h.pools.Put(pool.Record{
			ID: platform.EndpointID("e" + strconv.Itoa(i)), Service: testService, Zone: "zone",
			Address: "127.0.0.1:1", Version: "v1", Slots: 8,
		})
	}
	h.places = &PooledPlaces{Pools: h.pools, Versions: anyVersion{}, Suspects: noSuspects{}}
	h.relay = New(Config{
		Gate:    &TableGate{Tables: h.tables, MaxAge: func() time.Duration { return 5 * time.Second }},
		Planner: &SizePlanner{Pools: h.pools, Accept: func() []float64 { return []float64{0.6} }},
		Places:  h.places, Endpoints: h.endpoints, Budgets: oneBudget{h.budget},
		Reach: dark{}, Observer: h.observer,
	})
	return h
}

func testRequest() *Request {
	return &Request{
		ID: "1", Method: http.MethodPost, Host: "h", Target: "/p/x", Path: "/p/x", Header: http.Header{},
		Key: testKey, Received: time.Now(), ReceivedBoot: boottime.Now(), Patience: 5 * time.Second,
	}
}

func (h *harness) serve(request *Request) { h.relay.Serve(context.Background(), request, h.client) }

// wholeStream is the body of a whole stream after an event.
func wholeStream(after int) string {
	var text bytes.Buffer
	for id := after + 1; id <= streamLength; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}
