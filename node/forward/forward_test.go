package forward_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/broadcast"
	"github.com/wigeonusher/wigeonusher/node/cluster"
	"github.com/wigeonusher/wigeonusher/node/forward"
	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// peers is a fixed list of instances.
type peers struct {
	self membership.Peer
	all  []membership.Peer
}

func (p *peers) Self() membership.Peer  { return p.self }
func (p *peers) All() []membership.Peer { return p.all }

// BrokenPaths implements [forward.Paths].
func (p *peers) BrokenPaths() []route.ServiceName { return []route.ServiceName{"broken"} }

// relayFunc is a [forward.Relay].
type relayFunc func(ctx context.Context, request *relay.Request, client relay.Client)

func (f relayFunc) Serve(ctx context.Context, request *relay.Request, client relay.Client) {
	f(ctx, request, client)
}

const origin = "origin"

func discard() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// start serves forwarded requests with the relay. It returns a client that forwards to it.
func start(t *testing.T, serve relayFunc) (*forward.Client, *forward.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	calls := peer.NewClient(peer.ClientConfig{CallTimeout: time.Second, IdleTimeout: time.Second, Connections: 4})
	known := membership.Peer{ID: origin, Zone: "z", Address: "127.0.0.1:1", Liveness: membership.Alive}
	callee := membership.Peer{ID: "callee", Zone: "z", Address: listener.Addr().String(), Liveness: membership.Alive}
	server := forward.NewServer(forward.ServerConfig{
		Peers: &peers{self: callee, all: []membership.Peer{known}}, Relay: serve, MaxBody: func() int64 { return 4 << 20 },
		Count: func(string) {}, Log: discard(),
	})
	handler := broadcast.New(cluster.New(callee, nil, time.Second, calls, discard()), calls, nil, discard())
	handler.HandleForwards(server)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- peer.Serve(ctx, listener, handler) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
		assert.NilError(t, calls.Close())
	})
	own := &peers{self: known, all: []membership.Peer{callee}}
	return forward.NewClient(own, own, calls), server
}

func send(t *testing.T, client *forward.Client, request *relay.Request) (*relay.Answer, error) {
	t.Helper()
	lease, ok := client.Pick("service", nil)
	assert.Assert(t, ok)
	t.Cleanup(func() { lease.End(relay.AttemptResult{End: relay.AttemptComplete}) })
	call := &relay.Call{Request: request, Remaining: 5 * time.Second, ResumeAfter: "7", Runs: 1}
	return lease.Send(t.Context(), call, time.Now().Add(5*time.Second))
}

func request(body []byte) *relay.Request {
	return &relay.Request{
		ID: "1", Method: http.MethodPost, Host: "h", Target: "/p/x?q=%20", Path: "/p/x", Header: http.Header{"X-Many": {"1", "2"}},
		Body: memory.NewBody(body), Key: "key", Session: "s", Prompt: []relay.PromptPart{{ID: "a", Tokens: 1 << 40}}, PromptTokens: 5,
		MaxAnswerTokens: 6, AnyModel: true,
	}
}

func TestLargeRequestsAndAnswersCrossTheHopUnchanged(t *testing.T) {
	body, answer := bytes.Repeat([]byte("request "), 200_000), bytes.Repeat([]byte("answer "), 400_000)
	var mu sync.Mutex
	var got relay.Request
	var gotBody []byte
	client, _ := start(t, func(_ context.Context, r *relay.Request, c relay.Client) {
		mu.Lock()
		got, gotBody = *r, r.Body.Bytes() // the body is dropped when the request ends
		mu.Unlock()
		c.Begin(relay.Head{Status: 201, Header: http.Header{"X-Proof": {"p"}}})
		_ = c.Write(answer) // a failure shows in the answer
		c.End(relay.AnswerComplete)
	})
	sent := request(body)
	reply, err := send(t, client, sent)
	assert.NilError(t, err)
	read, err := io.ReadAll(reply.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(read, answer))
	assert.Equal(t, reply.Status, 201)
	assert.Equal(t, reply.Header.Get("X-Proof"), "p")
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, bytes.Equal(gotBody, body))
	assert.DeepEqual(t, got.Header, sent.Header)
	assert.DeepEqual(t, got.Prompt, sent.Prompt)
	assert.Equal(t, got.Target, sent.Target)
	assert.Equal(t, got.Key, "key")
	assert.Equal(t, got.ResumeAfter, "7")
	assert.Equal(t, got.RunsBefore, 1)
	assert.Assert(t, got.Forwarded && got.AnyModel && got.Timeout <= 5*time.Second && got.Timeout > 4*time.Second)
}

func TestAnswerThatThePeerCannotCompleteIsNotWhole(t *testing.T) {
	for name, end := range map[string]func(c relay.Client){
		"interrupted": func(c relay.Client) { c.End(relay.AnswerInterrupted) },
		"canceled":    func(c relay.Client) { c.End(relay.AnswerCanceled) },
		"no end":      func(relay.Client) {},
	} {
		client, _ := start(t, func(_ context.Context, _ *relay.Request, c relay.Client) {
			c.Begin(relay.Head{Status: 200})
			assert.NilError(t, c.Write([]byte("half")))
			end(c)
		})
		reply, err := send(t, client, request(nil))
		assert.NilError(t, err, name)
		_, err = io.ReadAll(reply.Body)
		assert.Assert(t, err != nil, name)
	}
}

// TestMalformedHeadOfAPeerIsNoAnswer guards against a peer of an earlier build, which passes on heads that an
// endpoint in trouble has sent.
func TestMalformedHeadOfAPeerIsNoAnswer(t *testing.T) {
	for _, head := range []relay.Head{
		{Status: 0},
		{Status: 99},
		{Status: 103},
		{Status: 1000},
		{Status: -1},
		{Status: 200, Header: http.Header{"Content-Length ": {"4"}}},
		{Status: 200, Header: http.Header{"Odd Name": {"1"}}},
		{Status: 200, Header: http.Header{"": {"1"}}},
	} {
		client, _ := start(t, func(_ context.Context, _ *relay.Request, c relay.Client) {
			c.Begin(head)
			c.End(relay.AnswerComplete)
		})
		_, err := send(t, client, request(nil))
		sendErr := new(relay.SendError)
		assert.Assert(t, errors.As(err, &sendErr) && sendErr.MayBeSent, "%+v: %v", head, err)
	}
}

// A call without an answer may have run; only a connection that was not made shows that it
// has not.
func TestOutcomeAcrossTheHopIsTrue(t *testing.T) {
	client, _ := start(t, func(_ context.Context, _ *relay.Request, c relay.Client) {
		c.(relay.RunRecorder).RecordRuns(2)
		c.Refuse(&relay.Refusal{Reason: relay.EndpointsFailed, RetryAfter: time.Second})
	})
	_, err := send(t, client, request(nil))
	var refused *relay.PeerRefusal
	assert.Assert(t, errors.As(err, &refused))
	assert.Assert(t, !refused.Refusal.NotRun)
	assert.Equal(t, refused.Runs, 2)

	client, _ = start(t, func(_ context.Context, _ *relay.Request, c relay.Client) {
		c.Refuse(&relay.Refusal{Reason: relay.NoEndpoint, NotRun: true, RetryAfter: time.Second})
	})
	_, err = send(t, client, request(nil))
	assert.Assert(t, errors.As(err, &refused))
	assert.Assert(t, refused.Refusal.NotRun && refused.Unable)
	assert.Equal(t, refused.Refusal.RetryAfter, time.Second)

	client, _ = start(t, func(context.Context, *relay.Request, relay.Client) {})
	_, err = send(t, client, request(nil))
	var sendErr *relay.SendError
	assert.Assert(t, errors.As(err, &sendErr) && sendErr.MayBeSent)

	nobody := &peers{all: []membership.Peer{{ID: "gone", Address: "127.0.0.1:1", Liveness: membership.Alive}}}
	client = forward.NewClient(nobody, nobody, peer.NewClient(peer.ClientConfig{CallTimeout: time.Second}))
	_, err = send(t, client, request(nil))
	assert.Assert(t, errors.As(err, &sendErr) && !sendErr.MayBeSent)
}

func TestCancelCrossesTheHop(t *testing.T) {
	ended := make(chan struct{})
	client, _ := start(t, func(ctx context.Context, _ *relay.Request, c relay.Client) {
		c.Begin(relay.Head{Status: 200})
		select {
		case <-ctx.Done():
			close(ended)
		case <-time.After(10 * time.Second):
		}
	})
	reply, err := send(t, client, request(nil))
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request goes on at the peer")
	}
}

// No open relay: only instances of the cluster forward, from the address that they have there.
func TestStrangersCannotForward(t *testing.T) {
	ran := false
	_, server := start(t, func(context.Context, *relay.Request, relay.Client) { ran = true })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	calls := peer.NewClient(peer.ClientConfig{CallTimeout: time.Second, IdleTimeout: time.Second, Connections: 4})
	handler := broadcast.New(cluster.New(membership.Peer{ID: "callee"}, nil, time.Second, calls, discard()), calls, nil, discard())
	handler.HandleForwards(server)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- peer.Serve(ctx, listener, handler) }()
	for name, stranger := range map[string]struct{ instance, from string }{
		"unknown instance": {"stranger", "127.0.0.1"}, "another address": {origin, "127.0.0.2"},
	} {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(stranger.from)}}
		conn, err := dialer.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		stream, err := peer.OpenForward(t.Context(), conn)
		assert.NilError(t, err)
		assert.NilError(t, stream.Send(&peerpb.ForwardUpload{Head: &peerpb.ForwardHead{Instance: stranger.instance}, Last: true}))
		_, err = stream.Recv()
		assert.ErrorContains(t, err, "not an instance of the cluster", name)
		_ = stream.Close() // the call has failed already
	}
	assert.Assert(t, !ran)
	cancel()
	assert.NilError(t, <-served)
}

func TestStoppingInstanceFinishesForwardedRequestsAndTakesNoMore(t *testing.T) {
	goOn := make(chan struct{})
	client, server := start(t, func(_ context.Context, _ *relay.Request, c relay.Client) {
		c.Begin(relay.Head{Status: 200})
		<-goOn
		c.End(relay.AnswerComplete)
	})
	running, err := send(t, client, request(nil))
	assert.NilError(t, err)
	server.Stop()
	_, err = send(t, client, request(nil))
	var refused *relay.PeerRefusal
	assert.Assert(t, errors.As(err, &refused) && refused.Unable && refused.Refusal.NotRun)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	server.AwaitIdle(ctx)
	assert.Assert(t, ctx.Err() != nil, "a request is still running")
	close(goOn)
	_, err = io.ReadAll(running.Body)
	assert.NilError(t, err)
	server.AwaitIdle(t.Context())
}

func TestPeerThatReachesNoEndpointIsLeftOut(t *testing.T) {
	own := &peers{self: membership.Peer{ID: origin, Zone: "z"}, all: []membership.Peer{
		{ID: "cut", Zone: "z", Liveness: membership.Alive}, {ID: "able", Zone: "z", Liveness: membership.Alive},
	}}
	client := forward.NewClient(own, own, nil)
	client.HandleDigest(time.Now(), &peerpb.Digest{Instance: "cut", Unreached: []string{"service"}})
	for range 20 {
		lease, ok := client.Pick("service", nil)
		assert.Assert(t, ok)
		assert.Equal(t, lease.Endpoint().ID, platform.EndpointID("able"))
	}
	digest := &peerpb.Digest{}
	client.Fill(time.Now(), "", digest)
	assert.DeepEqual(t, digest.Unreached, []string{"broken"})
}
