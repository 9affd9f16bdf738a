package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// scriptedPeers is a [Forwarder] whose peers behave like endpoints.
type scriptedPeers struct {
	endpoints *scriptedEndpoints
	refusal   *PeerRefusal
	// runs is the number of runs that the peer reports with its answers.
	runs   int
	picked int
}

func (p *scriptedPeers) Pick(route.ServiceName, []platform.EndpointID) (PeerLease, bool) {
	p.picked++
	return &scriptedPeerLease{peers: p}, true
}

func (p *scriptedPeers) CanForward(route.ServiceName, []platform.EndpointID) bool { return true }

type scriptedPeerLease struct {
	NopLease
	peers *scriptedPeers
}

func (l *scriptedPeerLease) Endpoint() pool.Record { return pool.Record{ID: "peer"} }
func (l *scriptedPeerLease) End(AttemptResult)     {}
func (l *scriptedPeerLease) Send(ctx context.Context, call *Call, deadline time.Time) (*Answer, error) {
	if l.peers.refusal != nil {
		return nil, l.peers.refusal
	}
	answer, err := l.peers.endpoints.Send(ctx, call, deadline)
	if answer != nil {
		answer.Runs = func() int { return l.peers.runs }
	}
	return answer, err
}

// newCutHarness returns a harness whose instance reaches no endpoint.
func newCutHarness(kind route.Kind, atPeer func(call *Call, number int) behavior) (*harness, *scriptedPeers) {
	h := newHarness(testTable(testRoute(kind)), 4, func(*Call, int) behavior { return behavior{refused: true} })
	peers := &scriptedPeers{endpoints: &scriptedEndpoints{script: atPeer}}
	h.picker.Forwarder = peers
	return h, peers
}

func TestRequestThatReachesNoEndpointRunsAtAPeer(t *testing.T) {
	for _, kind := range []route.Kind{route.Stream, route.AtMostOnce, route.Idempotent} {
		h, peers := newCutHarness(kind, func(*Call, int) behavior { return behavior{events: -1} })
		h.serve(testRequest())
		assert.Assert(t, h.client.refusal == nil, kind)
		assert.Equal(t, h.client.end, AnswerComplete, kind)
		assert.Equal(t, h.endpoints.runs(), 0)
		assert.Equal(t, peers.picked, 1)
	}
}

func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	h, peers := newCutHarness(route.AtMostOnce, nil)
	request := testRequest()
	request.Forwarded = true
	h.serve(request)
	assert.Equal(t, peers.picked, 0)
	assert.Assert(t, h.client.refusal.NotRun)
}

// The instance that has the request from the client counts it.
func TestForwardedRequestCountsInOneRetryBudget(t *testing.T) {
	h := newHarness(testTable(testRoute(route.AtMostOnce)), 2, func(*Call, int) behavior { return behavior{events: -1} })
	before := h.budget.Available(time.Now())
	request := testRequest()
	request.Forwarded = true
	h.serve(request)
	assert.Equal(t, h.budget.Available(time.Now()), before)
	h.serve(testRequest())
	assert.Assert(t, h.budget.Available(time.Now()) > before)
}

func TestRunsBeforeTheHopCount(t *testing.T) {
	h := newHarness(testTable(testRoute(route.Idempotent)), 4, func(*Call, int) behavior { return behavior{reset: true} })
	request := testRequest()
	request.Forwarded, request.RunsBefore = true, 2
	h.serve(request)
	assert.Equal(t, h.endpoints.runs(), 1, "the route allows three runs")
	assert.Assert(t, !h.client.refusal.NotRun)
}

// A peer says that the request may have run; a call that may not be repeated ends there.
func TestRefusalOfAPeerThatMayHaveRunTheRequestIsFinal(t *testing.T) {
	h, peers := newCutHarness(route.AtMostOnce, nil)
	peers.refusal = &PeerRefusal{Refusal: &Refusal{Reason: EndpointsFailed}, Unable: true, Runs: 1}
	h.serve(testRequest())
	assert.Equal(t, peers.picked, 1)
	assert.Assert(t, !h.client.refusal.NotRun)
}

func TestRefusalOfAPeerIsPassedOn(t *testing.T) {
	h, peers := newCutHarness(route.AtMostOnce, nil)
	peers.refusal = &PeerRefusal{Refusal: &Refusal{Reason: UnknownKey, NotRun: true}}
	h.serve(testRequest())
	assert.Equal(t, peers.picked, 1)
	assert.Equal(t, h.client.refusal.Reason, UnknownKey)
	assert.Assert(t, h.client.refusal.NotRun)
}

func TestRequestThatNoPeerCanRunIsRefusedAsNotRun(t *testing.T) {
	h, peers := newCutHarness(route.AtMostOnce, nil)
	peers.refusal = &PeerRefusal{Refusal: &Refusal{Reason: NoEndpoint, NotRun: true}, Unable: true}
	h.serve(testRequest())
	assert.Assert(t, h.client.refusal.NotRun)
	assert.Assert(t, h.client.refusal.RetryAfter > 0)
	assert.Assert(t, peers.picked <= maxUnreached+maxPeerTries, "%d peers asked", peers.picked)
}

// The endpoints that an instance does not reach have not failed: the roll-out hears nothing of
// them.
func TestUnreachedEndpointsAreNoEvidence(t *testing.T) {
	h, _ := newCutHarness(route.Idempotent, func(*Call, int) behavior { return behavior{events: -1} })
	observed := &observedVersions{}
	h.picker.Versions = observed
	h.serve(testRequest())
	assert.Equal(t, h.client.end, AnswerComplete)
	assert.Equal(t, observed.count, 0)
}

type observedVersions struct {
	fixedChoice
	count int
}

func (o *observedVersions) Observe(route.ServiceName, string, VersionOutcome) { o.count++ }

// The peer has used up the attempts of the route before its answer breaks off.
func TestRunsOfThePeerCount(t *testing.T) {
	for runs, want := range map[int]int{1: 3, 3: 1} {
		h, peers := newCutHarness(route.Stream, func(*Call, int) behavior { return behavior{events: 1} })
		peers.runs = runs
		h.serve(testRequest())
		assert.Assert(t, h.client.aborted)
		assert.Equal(t, peers.picked, want, "%d runs each", runs)
	}
}
