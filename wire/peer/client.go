// Package peer carries the peer protocol between the instances of the system,
// on drpc. Every call has a deadline; a connection that let a call time out is
// discarded, so that one that went silent is never trusted again.
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

// keyCapacity is the number of connections kept to one peer: some are taken by
// reads that wait.
const keyCapacity = 6

// MaxMessageBytes bounds one message of the peer protocol.
const MaxMessageBytes = 8 << 20

// ClientConfig bounds a client.
type ClientConfig struct {
	// CallTimeout bounds every call, the dial included.
	CallTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// Connections bounds kept connections over all peers.
	Connections int
	// TLS encrypts the connections if not nil.
	TLS *tls.Config
	// Traffic counts the bytes if not nil.
	Traffic *Traffic
}

// Client calls other instances. Its methods may be called from several
// goroutines.
type Client struct {
	config ClientConfig
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  config.IdleTimeout,
			Capacity:    config.Connections,
			KeyCapacity: keyCapacity,
		}),
	}
}

// Close closes all kept connections.
func (c *Client) Close() error { return c.pool.Close() }

// Exchange swaps digests with the peer at the address.
func (c *Client) Exchange(ctx context.Context, address string, digest *peerpb.Digest) (*peerpb.Digest, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.Digest, error) {
		return peer.Exchange(ctx, digest)
	})
}

// ReadRecords reads records that the peer holds.
func (c *Client) ReadRecords(ctx context.Context, address string, request *peerpb.ReadRecordsRequest) (*peerpb.ReadRecordsReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ReadRecordsReply, error) {
		return peer.ReadRecords(ctx, request)
	})
}

// HoldEntries asks the peer to keep copies of entries.
func (c *Client) HoldEntries(ctx context.Context, address string, request *peerpb.HoldEntriesRequest) (*peerpb.HoldEntriesReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.HoldEntriesReply, error) {
		return peer.HoldEntries(ctx, request)
	})
}

// LookupSession asks the peer for a session's birth.
func (c *Client) LookupSession(ctx context.Context, address string, request *peerpb.LookupSessionRequest) (*peerpb.LookupSessionReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.LookupSessionReply, error) {
		return peer.LookupSession(ctx, request)
	})
}

// Reserve asks the owner of an endpoint for a free slot.
func (c *Client) Reserve(ctx context.Context, address string, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ReserveReply, error) {
		return peer.Reserve(ctx, request)
	})
}

// Release tells the owner that a dispatch has ended.
func (c *Client) Release(ctx context.Context, address string, request *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ReleaseReply, error) {
		return peer.Release(ctx, request)
	})
}

// Tell passes on what this instance saw.
func (c *Client) Tell(ctx context.Context, address string, notice *peerpb.Notice) error {
	_, err := call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.NoticeReply, error) {
		return peer.Tell(ctx, notice)
	})
	return err
}

// SessionVersion asks the peer on which side of a roll-out a session runs.
func (c *Client) SessionVersion(ctx context.Context, address string, request *peerpb.SessionVersionRequest) (*peerpb.SessionVersionReply, error) {
	return call(ctx, c, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.SessionVersionReply, error) {
		return peer.SessionVersion(ctx, request)
	})
}

// call runs one call on a pooled connection under the call timeout. A
// cancelled call closes its connection.
func call[T any](ctx context.Context, c *Client, address string, run func(context.Context, peerpb.DRPCPeerClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	conn := c.pool.Get(ctx, address, c.dial)
	defer conn.Close()
	reply, err := run(ctx, peerpb.NewDRPCPeerClient(conn))
	return reply, eris.Wrapf(err, "peer: call to %s", address)
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "peer: dial")
	}
	if c.config.TLS != nil {
		secured := tls.Client(raw, c.config.TLS)
		if err := secured.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, eris.Wrap(err, "peer: handshake")
		}
		raw = secured
	}
	raw = c.config.Traffic.count(raw)
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}
