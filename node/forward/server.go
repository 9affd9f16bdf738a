package forward

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/node/relay"
	policymemory "github.com/wigeonusher/wigeonusher/policy/memory"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// maxServed bounds the forwarded requests that an instance runs at the same time. Further ones
// are refused at once, so that their instances ask another peer.
const maxServed = 256

// Errors of a call of Forward.
var (
	errStranger    = eris.New("forward: caller is not an instance of the cluster")
	errBodyTooLong = eris.New("forward: body is too long")
	errNoHead      = eris.New("forward: first part has no head")
)

// Relay runs requests.
type Relay interface {
	Serve(ctx context.Context, request *relay.Request, client relay.Client)
}

// ServerConfig lists what a [Server] uses.
type ServerConfig struct {
	Peers Peers
	Relay Relay
	// MaxBody returns the largest body of a request.
	MaxBody func() int64
	// Memory bounds what is held of requests; nil for no bound.
	Memory *memory.Guard
	// Count increments a counter.
	Count func(name string)
	Log   *logrus.Entry
}

// Server runs requests that peers forward. It is safe for concurrent use.
type Server struct {
	config ServerConfig

	mu       sync.Mutex
	served   int
	stopping bool
	idle     chan struct{}
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, idle: make(chan struct{})}
}

// Forward handles a call of a peer.
func (s *Server) Forward(stream peerpb.DRPCPeer_ForwardStream) error {
	request, from, err := s.receive(stream)
	if errors.Is(err, memory.ErrNoMemory) {
		s.config.Count(`wigeonusher_forwarded_requests_total{outcome="no memory"}`)
		client := &streamClient{stream: stream}
		client.Refuse(&relay.Refusal{Reason: relay.Overloaded, NotRun: request.RunsBefore == 0})
		return client.err
	}
	if err != nil {
		s.config.Count(`wigeonusher_forwarded_requests_total{outcome="rejected"}`)
		s.config.Log.WithError(err).Warn("forwarded request rejected")
		return err
	}
	defer request.Body.Drop()
	client := &streamClient{stream: stream}
	if !s.begin() {
		s.config.Count(`wigeonusher_forwarded_requests_total{outcome="busy"}`)
		client.Refuse(&relay.Refusal{Reason: relay.Overloaded, NotRun: request.RunsBefore == 0})
		return client.err
	}
	defer s.end()
	s.config.Count(`wigeonusher_forwarded_requests_total{outcome="served"}`)
	s.config.Log.WithFields(logrus.Fields{"request": request.ID, "from": from}).Info("forwarded request")
	s.config.Relay.Serve(stream.Context(), request, client)
	return client.err
}

// begin reports whether another request may run.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.served >= maxServed {
		return false
	}
	s.served++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served--
	if s.stopping && s.served == 0 {
		close(s.idle)
	}
}

// Stop makes the server refuse further requests.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	if s.served == 0 {
		close(s.idle)
	}
}

// AwaitIdle waits, after Stop, until all requests have ended or the context ends.
func (s *Server) AwaitIdle(ctx context.Context) {
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
}

// receive receives a request and checks who forwards it.
func (s *Server) receive(stream peerpb.DRPCPeer_ForwardStream) (*relay.Request, string, error) {
	first, err := stream.Recv()
	if err != nil {
		return nil, "", eris.Wrap(err, "forward: receive request")
	}
	head := first.Head
	if head == nil {
		return nil, "", errNoHead
	}
	if !s.isMember(head.Instance, peer.CallerIP(stream.Context())) {
		return nil, "", errStranger
	}
	body, err := s.receiveBody(stream, first)
	return decodeRequest(head, body), head.Instance, err
}

// receiveBody receives the body. Memory that is reclaimed meanwhile shows at the next part: the peer
// sends without pauses, or its call ends.
func (s *Server) receiveBody(stream peerpb.DRPCPeer_ForwardStream, part *peerpb.ForwardUpload) (*memory.Body, error) {
	builder := memory.NewBuilder(s.config.Memory, policymemory.Forwarded, func() {})
	body, err := s.receiveParts(stream, part, builder)
	if err != nil {
		builder.Drop()
	}
	return body, err
}

func (s *Server) receiveParts(stream peerpb.DRPCPeer_ForwardStream, part *peerpb.ForwardUpload, builder *memory.Builder) (*memory.Body, error) {
	size := int64(0)
	for {
		size += int64(len(part.Body))
		if limit := s.config.MaxBody(); limit > 0 && size > limit {
			return nil, errBodyTooLong
		}
		if !builder.Append(part.Body) {
			return nil, memory.ErrNoMemory
		}
		if part.Last {
			body, ok := builder.Body()
			if !ok {
				return nil, memory.ErrNoMemory
			}
			return body, nil
		}
		var err error
		if part, err = stream.Recv(); err != nil {
			return nil, eris.Wrap(err, "forward: receive request")
		}
	}
}

// isMember reports whether an instance of that name is alive at the address.
func (s *Server) isMember(instance string, caller netip.Addr) bool {
	for _, known := range s.config.Peers.All() {
		if string(known.ID) != instance || known.Liveness == membership.Left || known.Liveness == membership.Dead {
			continue
		}
		address, err := netip.ParseAddrPort(known.Address)
		return err == nil && address.Addr().Unmap() == caller
	}
	return false
}

func decodeRequest(head *peerpb.ForwardHead, body *memory.Body) *relay.Request {
	request := &relay.Request{
		ID: head.Request, Method: head.Method, Host: head.Host, Target: head.Target, Path: head.Path,
		Header: decodeHeader(head.Header), Body: body, Key: head.Key, Received: time.Now(), ReceivedBoot: boottime.Now(),
		Timeout: time.Duration(head.RemainingMs) * time.Millisecond, Session: head.Session, ResumeAfter: head.ResumeAfter,
		PromptTokens: int(head.PromptTokens), MaxAnswerTokens: int(head.MaxAnswerTokens), AnyModel: head.AnyModel,
		Forwarded: true, RunsBefore: int(head.Runs),
	}
	for _, part := range head.Prompt {
		request.Prompt = append(request.Prompt, relay.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
	}
	return request
}

// streamClient sends an answer to the peer that has forwarded the request. It implements
// [relay.Client].
type streamClient struct {
	stream peerpb.DRPCPeer_ForwardStream
	runs   int
	err    error
}

// RecordRuns implements [relay.RunRecorder].
func (c *streamClient) RecordRuns(runs int) { c.runs = runs }

func (c *streamClient) send(reply *peerpb.ForwardReply) error {
	if c.err != nil {
		return c.err
	}
	reply.Runs = uint32(c.runs)
	c.err = eris.Wrap(c.stream.Send(reply), "forward: send answer")
	return c.err
}

// Begin implements [relay.Client].
func (c *streamClient) Begin(head relay.Head) {
	// An error shows at the next Write.
	_ = c.send(&peerpb.ForwardReply{Part: &peerpb.ForwardReply_Begin{Begin: &peerpb.ForwardBegin{
		Status: int32(head.Status), Header: encodeHeader(head.Header),
	}}})
}

// Write implements [relay.Client].
func (c *streamClient) Write(p []byte) error {
	for len(p) > 0 {
		size := min(len(p), bodyChunkBytes)
		if err := c.send(&peerpb.ForwardReply{Part: &peerpb.ForwardReply_Body{Body: p[:size]}}); err != nil {
			return err
		}
		p = p[size:]
	}
	return nil
}

// Refuse implements [relay.Client].
func (c *streamClient) Refuse(refusal *relay.Refusal) {
	// An error ends the call, which tells the peer that the request may have run.
	_ = c.send(&peerpb.ForwardReply{Part: &peerpb.ForwardReply_Refusal{Refusal: &peerpb.ForwardRefusal{
		Reason: string(refusal.Reason), NotRun: c.runs == 0, RetryAfterMs: uint32(refusal.RetryAfter.Milliseconds()),
		Unable: isUnable(refusal.Reason),
	}}})
}

// isUnable reports whether another instance may run what this one has refused.
func isUnable(reason relay.Reason) bool {
	switch reason {
	case relay.NoConfig, relay.ConfigTooOld, relay.NoEndpoint, relay.EndpointsFailed, relay.Overloaded, relay.NoMemory, relay.Stopping:
		return true
	default:
		return false
	}
}

// End implements [relay.Client].
func (c *streamClient) End(end relay.AnswerEnd) {
	err := c.send(&peerpb.ForwardReply{Part: &peerpb.ForwardReply_End{End: &peerpb.ForwardEnd{Complete: end == relay.AnswerComplete}}})
	if err != nil && errors.Is(c.stream.Context().Err(), context.Canceled) {
		c.err = nil // the client of the peer has gone
	}
}
