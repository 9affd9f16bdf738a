package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/node/dial"
	"github.com/wigeonusher/wigeonusher/node/relay"
)

func TestProbeReportsWhetherConnectionsAreAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.Equal(t, newDialProber(dialDirectly).Probe(context.Background(), address), relay.ProbeReached)
	listener.Close()
	assert.Equal(t, newDialProber(dialDirectly).Probe(context.Background(), address), relay.ProbeRefused)
}

// A client that disconnects cancels the probe of its attempt, whose outcome is
// reused for other clients.
func TestCanceledProbeSaysNothingAboutTheEndpoint(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	prober := newDialProber(dialDirectly)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, prober.Probe(canceled, listener.Addr().String()), relay.ProbeFailed)
	assert.Equal(t, prober.Probe(context.Background(), listener.Addr().String()), relay.ProbeReached)
}

func dialDirectly(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return dial.New(timeout).DialContext(ctx, "tcp", address)
}
