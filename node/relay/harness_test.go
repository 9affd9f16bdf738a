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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/coord/retry"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// harness is a relay between a recording client and scripted endpoints.
type harness struct {
	relay     *Relay
	endpoints *scriptedEndpoints
	tables    *tables
	budget    *retry.Window
	pools     *pool.Pools
	picker    *PooledPicker
	client    *recordingClient
	observer  *eventLog
}

type tables struct {
	mu         sync.Mutex
	table      *route.Table
	verifiedAt boottime.Instant
}

func (t *tables) Table() (*route.Table, boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table, t.verifiedAt
}

func (t *tables) set(table *route.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table = table
}

type singleBudget struct{ *retry.Window }

func (b singleBudget) Budget(route.ServiceName) Budget { return b }
func (b singleBudget) Escalate(now time.Time) bool     { return b.Withdraw(now) }

// fixedChoice is a [Versions] that makes the same choice for each request.
type fixedChoice struct{ choice Choice }

func (f fixedChoice) Choose(context.Context, route.ServiceName, string, string) Choice {
	return f.choice
}
func (fixedChoice) Observe(route.ServiceName, string, VersionOutcome) {}
func (fixedChoice) RecordSend(route.ServiceName, string)              {}
func (fixedChoice) RecordArrival(route.ServiceName)                   {}
func (fixedChoice) RecordUnsent(route.ServiceName, string)            {}

// slowUnanswered is a [Prober] whose probes take a while and get no answer.
type slowUnanswered struct{}

func (slowUnanswered) Probe(context.Context, string) ProbeOutcome {
	time.Sleep(150 * time.Millisecond)
	return ProbeTimedOut
}

// probeResult is a [Prober] whose probes all have the same outcome.
type probeResult ProbeOutcome

func (p probeResult) Probe(context.Context, string) ProbeOutcome { return ProbeOutcome(p) }

type eventLog struct {
	mu       sync.Mutex
	attempts []AttemptEvent
	done     []DoneEvent
}

func (e *eventLog) RecordAttempt(event *AttemptEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, *event)
}

func (e *eventLog) Done(event *DoneEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done = append(e.done, *event)
}

// behavior is what an endpoint does with one call.
type behavior struct {
	// refused rejects the connection; notExecuted answers that the call did not
	// run, and misdirected that the address belongs to another endpoint.
	refused, notExecuted, misdirected bool
	// silent runs the call and never answers.
	silent bool
	// reset breaks the connection after the call was received.
	reset bool
	// complete marks the whole body of the answer as buffered.
	complete bool
	// foreign sends an answer that belongs to another call.
	foreign    bool
	status     int
	confidence float64
	// limit is what the answer says about the endpoint's limit.
	limit *fleetlimit.Statement
	// rest is the time for which the endpoint wants no request, beside notExecuted.
	rest time.Duration
	// leaving says that the endpoint leaves.
	leaving bool
	// events is the number of events of the stream that the endpoint sends before
	// it breaks the connection within the next one; -1 sends all.
	events int
}

// streamEvents is the number of events of a complete stream.
const streamEvents = 5

type receivedCall struct {
	call     *Call
	behavior behavior
	ran      bool
}

// scriptedEndpoints is an [Endpoints] whose behavior a script determines, call by
// call.
type scriptedEndpoints struct {
	mu     sync.Mutex
	script func(call *Call, number int) behavior
	calls  []receivedCall
	// beforeWrite runs when the connection stands; nil does nothing.
	beforeWrite func(call *Call)
}

func (s *scriptedEndpoints) Send(ctx context.Context, call *Call, deadline time.Time) (*Answer, error) {
	if s.beforeWrite != nil {
		s.beforeWrite(call)
	}
	if !call.MaySend() {
		return nil, &SendError{Err: ErrWithdrawn}
	}
	s.mu.Lock()
	number := len(s.calls)
	b := s.script(call, number)
	s.calls = append(s.calls, receivedCall{call: call, behavior: b, ran: !b.refused && !b.notExecuted})
	s.mu.Unlock()
	switch {
	case b.refused:
		return nil, &SendError{Err: errors.New("connection refused")}
	case b.reset:
		return nil, &SendError{MayBeSent: true, Err: errors.New("connection reset")}
	case b.silent:
		select {
		case <-ctx.Done():
			return nil, &SendError{MayBeSent: true, Err: ctx.Err()}
		case <-time.After(time.Until(deadline)):
			return nil, &SendError{MayBeSent: true, Err: os.ErrDeadlineExceeded}
		}
	case b.notExecuted:
		return &Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Misdirected: b.misdirected, Authentic: true, Limit: b.limit, Rest: b.rest, Leaving: b.leaving, Body: body("")}, nil
	}
	status := b.status
	if status == 0 {
		status = http.StatusOK
	}
	answer := &Answer{
		Status: status, Header: http.Header{}, Authentic: !b.foreign,
		Confidence: b.confidence, HasConfidence: call.Model != "", Complete: b.complete, Limit: b.limit, Leaving: b.leaving,
	}
	answer.Body = streamBody(call, b)
	return answer, nil
}

// runs returns the number of calls that the endpoints ran.
func (s *scriptedEndpoints) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, a := range s.calls {
		if a.ran {
			count++
		}
	}
	return count
}

// pausingEndpoints is an [Endpoints] whose first executed call sends two events,
// pauses, and then sends the rest of the stream unless it is canceled.
type pausingEndpoints struct {
	pause time.Duration
	// rejections is the number of calls that are not executed before the first one
	// that is.
	rejections int
	// onFirstCall runs in the first executed call; nil does nothing.
	onFirstCall func(call *Call)
	// resumable makes further calls send the rest of the stream; otherwise their
	// connections are refused.
	resumable bool
	// calls counts the calls that were not rejected.
	calls int
}

func (p *pausingEndpoints) Send(ctx context.Context, call *Call, _ time.Time) (*Answer, error) {
	if p.rejections > 0 {
		p.rejections--
		return &Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Authentic: true, Body: body("")}, nil
	}
	p.calls++
	answer := &Answer{Status: http.StatusOK, Header: http.Header{}, Authentic: true}
	switch {
	case p.calls == 1:
		if p.onFirstCall != nil {
			p.onFirstCall(call)
		}
		whole := wholeStream(0)
		rest := wholeStream(2)
		answer.Body = &fakeBody{reader: io.MultiReader(
			strings.NewReader(strings.TrimSuffix(whole, rest)), &pause{ctx: ctx, length: p.pause}, strings.NewReader(rest),
		)}
	case p.resumable:
		answer.Body = streamBody(call, behavior{events: -1})
	default:
		return nil, &SendError{Err: errors.New("connection refused")}
	}
	return answer, nil
}

// pause is a reader that ends after a time, or fails when the context ends first.
type pause struct {
	ctx    context.Context
	length time.Duration
}

func (p *pause) Read([]byte) (int, error) {
	select {
	case <-p.ctx.Done():
		return 0, io.ErrUnexpectedEOF
	case <-time.After(p.length):
		return 0, io.EOF
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// streamBody returns the events after the one at which the call resumes.
func streamBody(call *Call, b behavior) Body {
	after, err := strconv.Atoi(call.ResumeAfter)
	if err != nil {
		after = 0
	}
	var text bytes.Buffer
	sent := 0
	for id := after + 1; id <= streamEvents; id++ {
		if b.events >= 0 && sent == b.events {
			text.WriteString("id: " + strconv.Itoa(id) + "\nda")
			return &fakeBody{reader: io.MultiReader(&text, failing{})}
		}
		text.WriteString(event(id))
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

// recordingClient is a [Client] that records what it receives.
type recordingClient struct {
	begun   bool
	status  int
	body    bytes.Buffer
	refusal *Refusal
	// end is the argument of End. aborted reports that no endpoint could complete the
	// answer.
	end     AnswerEnd
	aborted bool
	// fallback is [Head.Fallback] of the answer: it was of low confidence, and was
	// sent because no larger model answered.
	fallback bool
	// finals counts the calls of Begin and Refuse. Each request must get exactly one.
	finals int
}

func (r *recordingClient) Begin(head Head) {
	r.begun, r.status, r.fallback = true, head.Status, head.Fallback
	r.finals++
}

func (r *recordingClient) Write(p []byte) error {
	r.body.Write(p)
	return nil
}

func (r *recordingClient) Refuse(refusal *Refusal) {
	r.refusal = refusal
	r.finals++
}

func (r *recordingClient) End(end AnswerEnd) { r.end, r.aborted = end, end == AnswerInterrupted }

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

func newHarness(table *route.Table, endpoints int, script func(call *Call, number int) behavior) *harness {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h := &harness{
		endpoints: &scriptedEndpoints{script: script},
		tables:    &tables{table: table, verifiedAt: boottime.Now()},
		budget:    retry.NewWindow(retry.WindowConfig{Length: 10 * time.Second, Ratio: 1, Slack: 20, Reserve: 1}),
		pools:     pool.New("zone", logrus.NewEntry(logger)),
		client:    &recordingClient{},
		observer:  &eventLog{},
	}
	h.put("e", endpoints, "zone", "v1")
	h.picker = &PooledPicker{Pools: h.pools, Versions: fixedChoice{}, Suspects: NopSuspects{}}
	h.relay = New(Config{
		Gate:    &TableGate{Tables: h.tables, MaxAge: func() time.Duration { return 5 * time.Second }},
		Planner: &SizePlanner{Pools: h.pools, Accept: func() []float64 { return []float64{0.6} }},
		Picker:  h.picker, Endpoints: h.endpoints, Budgets: singleBudget{h.budget},
		Prober: probeResult(ProbeReached), Observer: h.observer, PromisesNotRun: promisesNotRun,
	})
	return h
}

// promisesNotRun is the [Config.PromisesNotRun] of the tests.
func promisesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func testRequest() *Request {
	return &Request{
		ID: "1", Method: http.MethodPost, Host: "h", Target: "/p/x", Path: "/p/x", Header: http.Header{},
		Key: testKey, Received: time.Now(), ReceivedBoot: boottime.Now(), Timeout: 5 * time.Second,
	}
}

func (h *harness) serve(request *Request) { h.relay.Serve(context.Background(), request, h.client) }

// wholeStream returns the body of a complete stream after the given event.
func wholeStream(after int) string {
	var text bytes.Buffer
	for id := after + 1; id <= streamEvents; id++ {
		text.WriteString(event(id))
	}
	return text.String()
}

// put lists endpoints of testService whose IDs start with the prefix.
func (h *harness) put(prefix string, count int, zone platform.Zone, version string) {
	h.putAt(testService, prefix, count, zone, version)
}

func (h *harness) putAt(service route.ServiceName, prefix string, count int, zone platform.Zone, version string) {
	for i := range count {
		h.pools.Put(pool.Record{
			ID: platform.EndpointID(prefix + strconv.Itoa(i)), Service: service, Zone: zone,
			Address: "127.0.0.1:1", Version: version, Slots: 8,
		})
	}
}

// load gives endpoints of the version requests in flight.
func (h *harness) load(t *testing.T, version string, requests int) {
	t.Helper()
	isVersion := func(v string) bool { return v == version }
	for range requests {
		_, ok := h.pools.Service(testService).Choose(time.Now(), pool.Query{Version: isVersion})
		assert.Assert(t, ok)
	}
}

// paused returns the endpoints that are paused.
func (h *harness) paused() []platform.EndpointID {
	var paused []platform.EndpointID
	for _, s := range h.pools.Snapshots() {
		if s.Paused {
			paused = append(paused, s.ID)
		}
	}
	return paused
}
