package broadcast

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/membership"
	"github.com/wigeonusher/wigeonusher/wire/peer"
	"github.com/wigeonusher/wigeonusher/wire/peer/peerpb"
)

// knowingPeer replies to every lookup that the session runs on the target version.
type knowingPeer struct {
	peerpb.DRPCPeerUnimplementedServer
}

func (*knowingPeer) SessionVersion(context.Context, *peerpb.SessionVersionRequest) (*peerpb.SessionVersionReply, error) {
	return &peerpb.SessionVersionReply{Known: true, OnTarget: true}, nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func TestNextContactIsAskedIfOneFailsOrIsSilent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	t.Cleanup(serving.Wait)
	t.Cleanup(cancel)
	knowing, silent, refusing := listen(t), listen(t), listen(t)
	serving.Go(func() { _ = peer.Serve(ctx, knowing, &knowingPeer{}) })
	assert.NilError(t, refusing.Close())

	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := peer.NewClient(peer.ClientConfig{CallTimeout: time.Minute, IdleTimeout: time.Minute, Connections: 4})
	t.Cleanup(func() { _ = client.Close() })
	b := New(nil, client, nil, logrus.NewEntry(logger))
	for name, first := range map[string]net.Listener{"refusing": refusing, "silent": silent} {
		reply := b.askContacts(ctx, []membership.Peer{
			{Address: first.Addr().String()}, {Address: knowing.Addr().String()},
		}, &peerpb.SessionVersionRequest{})
		assert.Check(t, reply.GetKnown() && reply.GetOnTarget(), name)
	}
}
