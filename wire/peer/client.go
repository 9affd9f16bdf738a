// Package peer implements the peer protocol between the instances of the system
// on drpc. Every call has a deadline. A connection on which a call has timed out
// is closed, because an unresponsive connection would make later calls time out
// too.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// maxConnsPerPeer bounds the connections kept to one peer. It exceeds 1 because
// a long-polling read occupies its connection while it waits.
const maxConnsPerPeer = 6

// MaxMessageBytes bounds one message of the peer protocol.
const MaxMessageBytes = 8 << 20

// ClientConfig configures a [Client].
type ClientConfig struct {
	// CallTimeout bounds every call, including the time to connect.
	CallTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// Connections bounds the connections kept to all peers together.
	Connections int
	// TLS is the TLS configuration; nil leaves the connections unencrypted.
	TLS *tls.Config
	// Traffic counts the transferred bytes; nil counts none.
	Traffic *Traffic
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client with the given configuration.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  config.IdleTimeout,
			Capacity:    config.Connections,
			KeyCapacity: maxConnsPerPeer,
		}),
	}
}

// Close closes all kept connections.
func (c *Client) Close() error { return c.pool.Close() }

// Exchange sends a digest to the peer at the address and returns the peer's
// digest.
func (c *Client) Exchange(ctx context.Context, address string, digest *peerpb.Digest) (*peerpb.Digest, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.Digest, error) {
		return peer.Exchange(ctx, digest)
	})
}

// ReadRecords reads records from the peer's copy of a stream of the log.
func (c *Client) ReadRecords(ctx context.Context, address string, request *peerpb.ReadRecordsRequest) (*peerpb.ReadRecordsReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ReadRecordsReply, error) {
		return peer.ReadRecords(ctx, request)
	})
}

// HoldEntries asks the peer to keep backup copies of log entries until they are in
// the log.
func (c *Client) HoldEntries(ctx context.Context, address string, request *peerpb.HoldEntriesRequest) (*peerpb.HoldEntriesReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.HoldEntriesReply, error) {
		return peer.HoldEntries(ctx, request)
	})
}

// LookupSession asks the peer for a session's pin set.
func (c *Client) LookupSession(ctx context.Context, address string, request *peerpb.LookupSessionRequest) (*peerpb.LookupSessionReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.LookupSessionReply, error) {
		return peer.LookupSession(ctx, request)
	})
}

// Reserve asks the peer that owns an endpoint for a free slot.
func (c *Client) Reserve(ctx context.Context, address string, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ReserveReply, error) {
		return peer.Reserve(ctx, request)
	})
}

// Release reports the end of a dispatch to the peer that owns the endpoint.
func (c *Client) Release(ctx context.Context, address string, request *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ReleaseReply, error) {
		return peer.Release(ctx, request)
	})
}

// Tell sends a notice to the peer at the address and returns the peer's reply.
func (c *Client) Tell(ctx context.Context, address string, notice *peerpb.Notice) (*peerpb.NoticeReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.NoticeReply, error) {
		return peer.Tell(ctx, notice)
	})
}

// SessionVersion asks the peer whether a session runs on the new version of a
// roll-out.
func (c *Client) SessionVersion(ctx context.Context, address string, request *peerpb.SessionVersionRequest) (*peerpb.SessionVersionReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.SessionVersionReply, error) {
		return peer.SessionVersion(ctx, request)
	})
}

// FollowTopic returns the peer's changes of a topic. The call may take as much longer than others as
// the request allows the peer to wait.
func (c *Client) FollowTopic(ctx context.Context, address string, request *peerpb.FollowTopicRequest) (*peerpb.FollowTopicReply, error) {
	wait := time.Duration(request.WaitMs) * time.Millisecond
	return callWithin(ctx, c, address, c.config.CallTimeout+wait, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.FollowTopicReply, error) {
		return peer.FollowTopic(ctx, request)
	})
}

// ForwardStream is a call of Forward on a connection of its own.
type ForwardStream struct {
	peerpb.DRPCPeer_ForwardClient
	conn drpcpool.Conn
}

// Close ends the call and its connection.
func (s *ForwardStream) Close() error { return s.conn.Close() }

// Forward connects to the peer at the address and begins a call of Forward. Nothing is sent
// if it fails. The context ends the call.
func (c *Client) Forward(ctx context.Context, address string) (*ForwardStream, error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	conn, err := c.dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	return openForward(ctx, conn)
}

// OpenForward begins a call of Forward on a connection.
func OpenForward(ctx context.Context, conn net.Conn) (*ForwardStream, error) {
	return openForward(ctx, drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}))
}

func openForward(ctx context.Context, conn drpcpool.Conn) (*ForwardStream, error) {
	stream, err := peerpb.NewDRPCPeerClient(conn).Forward(ctx)
	if err != nil {
		_ = conn.Close() // the call has failed already
		return nil, eris.Wrap(err, "peer: begin a call")
	}
	return &ForwardStream{DRPCPeer_ForwardClient: stream, conn: conn}, nil
}

// call runs one call on a pooled connection with the call timeout. drpc closes
// the connection of a call that is cancelled or times out.
func call[T any](ctx context.Context, c *Client, address string, run func(context.Context, peerpb.DRPCPeerClient) (T, error)) (T, error) {
	return callWithin(ctx, c, address, c.config.CallTimeout, run)
}

func callWithin[T any](ctx context.Context, c *Client, address string, timeout time.Duration, run func(context.Context, peerpb.DRPCPeerClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn := c.pool.Get(ctx, address, c.dial)
	defer conn.Close()
	reply, err := run(ctx, peerpb.NewDRPCPeerClient(conn))
	return reply, eris.Wrapf(err, "peer: call to %s", address)
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "peer: dial")
	}
	if c.config.TLS != nil {
		tlsConn := tls.Client(conn, c.config.TLS)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, eris.Wrap(err, "peer: handshake")
		}
		conn = tlsConn
	}
	conn = c.config.Traffic.wrapConn(conn)
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}
