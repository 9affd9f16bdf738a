package entry

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/node/relay"
)

// crashBroadcasts collects the fingerprints of crashes broadcast to peers.
type crashBroadcasts chan uint64

func newTestSuspects(prober relay.Prober) (*suspects, crashBroadcasts) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	crashes := make(crashBroadcasts, 16)
	return newSuspects(prober, func(fingerprint uint64) { crashes <- fingerprint }, logrus.NewEntry(logger)), crashes
}

// TestRequestThatCrashesEndpointsIsRefused checks that a request after which
// endpoints refuse connections is refused locally and, through broadcasts, at the
// peers.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	crashed := listener.Addr().String()
	listener.Close()
	local, crashes := newTestSuspects(newDialProber())
	peer, _ := newTestSuspects(newDialProber())
	for n := range crashLimit {
		assert.Assert(t, !local.Refused(7), "after %d crashes", n)
		local.ReportCrash(7, crashed)
		peer.recordCrash(<-crashes)
	}
	assert.Assert(t, local.Refused(7))
	assert.Assert(t, peer.Refused(7))
	assert.Assert(t, !local.Refused(8))
}

// probeSignal receives a value for each probe of an endpoint.
type probeSignal chan struct{}

func (l probeSignal) Probe(context.Context, string) relay.ProbeOutcome {
	l <- struct{}{}
	return relay.ProbeReached
}

func TestLostAnswerIsNoCrash(t *testing.T) {
	prober := make(probeSignal)
	s, crashes := newTestSuspects(prober)
	for range 5 {
		s.ReportCrash(7, "127.0.0.1:1")
		<-prober
	}
	assert.Equal(t, len(crashes), 0)
	assert.Assert(t, !s.Refused(7))
}

func TestProbeReportsWhetherConnectionsAreAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.Equal(t, newDialProber().Probe(context.Background(), address), relay.ProbeReached)
	listener.Close()
	assert.Equal(t, newDialProber().Probe(context.Background(), address), relay.ProbeRefused)
}

// A client that disconnects cancels the probe of its attempt, whose outcome is
// reused for other clients.
func TestCanceledProbeSaysNothingAboutTheEndpoint(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	prober := newDialProber()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, prober.Probe(canceled, listener.Addr().String()), relay.ProbeFailed)
	assert.Equal(t, prober.Probe(context.Background(), listener.Addr().String()), relay.ProbeReached)
}
