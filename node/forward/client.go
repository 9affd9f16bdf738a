package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/route"
	"github.com/wigeonusher/wigeonusher/wire/httpanswer"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

const (
	// unablePause is how long a peer gets no requests to a service after it was unable to run
	// one, or could not be reached.
	unablePause = time.Second
	// unreachedPause is the same for a peer that says that it reaches no endpoint of the
	// service; it says so again with each digest. maxUnreachedServices bounds what one says.
	unreachedPause       = 3 * time.Second
	maxUnreachedServices = 64
	// ableFraction is the fraction of a zone's instances that must be able to run requests for
	// all to be forwarded within the zone.
	ableFraction = 0.5
	// bodyChunkBytes is the size of the parts in which the body of a request is sent.
	bodyChunkBytes = 256 << 10
)

// Paths knows of which services this instance reaches no endpoint.
type Paths interface {
	BrokenPaths() []route.ServiceName
}

// Peers lists the other instances.
type Peers interface {
	Self() membership.Peer
	All() []membership.Peer
}

// Client implements [relay.Forwarder]. It is safe for concurrent use.
type Client struct {
	peers Peers
	paths Paths
	calls *peer.Client

	mu sync.Mutex
	// unable holds until when a peer gets no requests to a service.
	unable map[target]time.Time
	// inFlight counts the forwarded requests at each peer.
	inFlight map[platform.InstanceID]int
}

type target struct {
	peer    platform.InstanceID
	service route.ServiceName
}

// NewClient returns a client that forwards to the peers.
func NewClient(peers Peers, paths Paths, calls *peer.Client) *Client {
	return &Client{peers: peers, paths: paths, calls: calls, unable: make(map[target]time.Time), inFlight: make(map[platform.InstanceID]int)}
}

// Pick implements [relay.Forwarder]. It prefers peers of this zone, and of these the one with
// the fewest forwarded requests.
func (c *Client) Pick(service route.ServiceName, avoid []platform.EndpointID) (relay.PeerLease, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	able := c.able(service, avoid)
	if len(able) == 0 {
		return nil, false
	}
	chosen := slices.MinFunc(able, func(a, b membership.Peer) int { return cmp.Compare(c.inFlight[a.ID], c.inFlight[b.ID]) })
	c.inFlight[chosen.ID]++
	return &lease{client: c, peer: chosen, service: service}, true
}

// CanForward implements [relay.Forwarder].
func (c *Client) CanForward(service route.ServiceName, avoid []platform.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.able(service, avoid)) > 0
}

// able returns the live peers that may run requests to the service, in random order: those of
// this zone or, the fewer of them are able, the more often those of the other zones. The caller
// holds the lock.
func (c *Client) able(service route.ServiceName, avoid []platform.EndpointID) []membership.Peer {
	now := time.Now()
	zone := c.peers.Self().Zone
	var local, other []membership.Peer
	inZone := 1 // with this instance
	for _, known := range c.peers.All() {
		if known.Liveness != membership.Alive {
			continue
		}
		if known.Zone == zone {
			inZone++
		}
		until, isUnable := c.unable[target{peer: known.ID, service: service}]
		switch {
		case isUnable && now.Before(until), slices.Contains(avoid, platform.EndpointID(known.ID)):
		case known.Zone == zone:
			local = append(local, known)
		default:
			other = append(other, known)
		}
	}
	// A few of a zone must not bear the requests of all others there.
	if rand.Float64() >= float64(len(local))/(ableFraction*float64(inZone)) && len(other) > 0 {
		local = other
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	return local
}

// release ends a lease. isUnable reports that the peer gets no requests for a while.
func (c *Client) release(l *lease, isUnable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[l.peer.ID]--; c.inFlight[l.peer.ID] <= 0 {
		delete(c.inFlight, l.peer.ID)
	}
	now := time.Now()
	for other, until := range c.unable {
		if now.After(until) {
			delete(c.unable, other)
		}
	}
	if isUnable {
		c.unable[target{peer: l.peer.ID, service: l.service}] = now.Add(unablePause)
	}
}

// Fill implements cluster.Gossip: it tells the peers of which services this instance reaches
// no endpoint.
func (c *Client) Fill(_ time.Time, _ platform.InstanceID, digest *peerpb.Digest) {
	for _, service := range c.paths.BrokenPaths() {
		digest.Unreached = append(digest.Unreached, string(service))
	}
}

// HandleDigest implements cluster.Gossip.
func (c *Client) HandleDigest(now time.Time, digest *peerpb.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range digest.Unreached[:min(len(digest.Unreached), maxUnreachedServices)] {
		c.unable[target{peer: platform.InstanceID(digest.Instance), service: route.ServiceName(service)}] = now.Add(unreachedPause)
	}
}

// lease implements [relay.PeerLease].
type lease struct {
	relay.NopLease
	client  *Client
	peer    membership.Peer
	service route.ServiceName
}

// Endpoint implements [relay.Lease].
func (l *lease) Endpoint() pool.Record {
	return pool.Record{ID: platform.EndpointID(l.peer.ID), Service: l.service, Address: l.peer.Address, Zone: l.peer.Zone}
}

// HasAlternative implements [relay.Lease].
func (l *lease) HasAlternative(_ context.Context, avoid []platform.EndpointID) bool {
	return l.client.CanForward(l.service, avoid)
}

// End implements [relay.Lease].
func (l *lease) End(result relay.AttemptResult) {
	l.client.release(l, result.End == relay.AttemptNotRun || result.End == relay.AttemptBroken)
}

// Send implements [relay.PeerLease].
func (l *lease) Send(ctx context.Context, call *relay.Call, deadline time.Time) (*relay.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stream, err := l.client.calls.Forward(ctx, l.peer.Address)
	if err != nil {
		cancel()
		return nil, &relay.SendError{Err: err}
	}
	answer := &answerBody{stream: stream, cancel: cancel}
	body, ok := call.Request.Body.Open()
	if !ok {
		_ = answer.Close() // nothing was sent
		return nil, &relay.SendError{Err: relay.ErrBodyDropped}
	}
	err = answer.send(encodeHead(l.client.peers.Self().ID, call), body)
	call.Request.Body.Sent()
	var head *peerpb.ForwardBegin
	if err == nil {
		head, err = answer.begin()
	}
	if err != nil {
		_ = answer.Close() // the call has failed already
		if refused := new(relay.PeerRefusal); errors.As(err, &refused) {
			return nil, err
		}
		return nil, &relay.SendError{MayBeSent: true, Err: err}
	}
	header := decodeHeader(head.Header)
	if err := httpanswer.CheckHead(int(head.Status), header); err != nil {
		_ = answer.Close() // the answer is not used
		return nil, &relay.SendError{MayBeSent: true, Err: eris.Wrap(err, "forward: answer of the peer")}
	}
	return &relay.Answer{
		Status: int(head.Status), Header: header, Authentic: true, Runs: answer.runCount, Body: answer,
	}, nil
}

// answerBody is the body of a forwarded request's answer. It implements [relay.Body].
type answerBody struct {
	stream *peer.ForwardStream
	cancel context.CancelFunc
	rest   []byte
	end    error

	mu       sync.Mutex
	runs     int
	deadline *time.Timer
}

var errBrokenOff = eris.New("peer could not complete the answer")

// send sends the request.
func (b *answerBody) send(head *peerpb.ForwardHead, body [][]byte) error {
	upload := &peerpb.ForwardUpload{Head: head}
	for i := 0; ; {
		if i < len(body) {
			rest := body[i]
			size := min(len(rest), bodyChunkBytes)
			if upload.Body = rest[:size]; size == len(rest) {
				i++
			} else {
				body = slices.Clone(body)
				body[i] = rest[size:]
			}
		}
		upload.Last = i >= len(body)
		if err := b.stream.Send(upload); err != nil {
			return eris.Wrap(err, "forward: send request")
		}
		if upload.Last {
			return nil
		}
		upload = &peerpb.ForwardUpload{}
	}
}

// begin returns the head of the answer.
func (b *answerBody) begin() (*peerpb.ForwardBegin, error) {
	reply, err := b.receive()
	if err != nil {
		return nil, err
	}
	switch part := reply.Part.(type) {
	case *peerpb.ForwardReply_Begin:
		return part.Begin, nil
	case *peerpb.ForwardReply_Refusal:
		return nil, &relay.PeerRefusal{
			Refusal: &relay.Refusal{
				Reason: relay.Reason(part.Refusal.Reason), NotRun: part.Refusal.NotRun,
				RetryAfter: time.Duration(part.Refusal.RetryAfterMs) * time.Millisecond,
			},
			Unable: part.Refusal.Unable, Runs: b.runCount(),
		}
	default:
		return nil, errBrokenOff
	}
}

func (b *answerBody) receive() (*peerpb.ForwardReply, error) {
	reply, err := b.stream.Recv()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // only ForwardEnd ends an answer
		}
		return nil, eris.Wrap(err, "forward: receive answer")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = max(b.runs, int(reply.Runs))
	return reply, nil
}

func (b *answerBody) runCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

// Read implements [relay.Body].
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.end == nil {
		reply, err := b.receive()
		if err != nil {
			b.end = err
			break
		}
		switch part := reply.Part.(type) {
		case *peerpb.ForwardReply_Body:
			b.rest = part.Body
		case *peerpb.ForwardReply_End:
			b.end = errBrokenOff
			if part.End.Complete {
				b.end = io.EOF
			}
		default:
			b.end = errBrokenOff
		}
	}
	if len(b.rest) == 0 {
		return 0, b.end
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// SetReadDeadline implements [relay.Body]: the call ends at the given time.
func (b *answerBody) SetReadDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.deadline != nil {
		b.deadline.Stop()
	}
	b.deadline = time.AfterFunc(time.Until(t), b.cancel)
	return nil
}

// Close implements [relay.Body]. It ends the call, which cancels the request at the peer.
func (b *answerBody) Close() error {
	b.mu.Lock()
	if b.deadline != nil {
		b.deadline.Stop()
	}
	b.mu.Unlock()
	b.cancel()
	return b.stream.Close()
}

func encodeHead(self platform.InstanceID, call *relay.Call) *peerpb.ForwardHead {
	request := call.Request
	head := &peerpb.ForwardHead{
		Instance: string(self), Request: request.ID, Method: request.Method, Host: request.Host, Target: request.Target,
		Path: request.Path, Header: encodeHeader(request.Header), Key: request.Key, Session: request.Session,
		ResumeAfter: call.ResumeAfter, PromptTokens: int64(request.PromptTokens), MaxAnswerTokens: int64(request.MaxAnswerTokens),
		AnyModel: request.AnyModel, Runs: uint32(call.Runs), RemainingMs: uint32(max(1, call.Remaining.Milliseconds())),
	}
	for _, part := range request.Prompt {
		head.Prompt = append(head.Prompt, &peerpb.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
	}
	return head
}

func encodeHeader(header http.Header) []*peerpb.HeaderField {
	fields := make([]*peerpb.HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, &peerpb.HeaderField{Name: name, Values: values})
	}
	return fields
}

func decodeHeader(fields []*peerpb.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[field.Name] = field.Values
	}
	return header
}
