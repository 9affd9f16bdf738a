package entry

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// told gathers the crashes that peers are told of.
type told chan uint64

func newTestSuspects(reach interface {
	Reachable(ctx context.Context, address string) bool
},
) (*suspects, told) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	crashes := make(told, 16)
	return newSuspects(reach, func(fingerprint uint64) { crashes <- fingerprint }, logrus.NewEntry(logger)), crashes
}

// A request whose endpoints refuse connections after it is refused, here and,
// by what peers are told, at every other instance.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := listener.Addr().String()
	listener.Close()
	here, crashes := newTestSuspects(newReach())
	peer, _ := newTestSuspects(newReach())
	for n := range refusedCrashes {
		assert.Assert(t, !here.Refused(7), "after %d crashes", n)
		here.Crashed(7, gone)
		peer.add(<-crashes)
	}
	assert.Assert(t, here.Refused(7))
	assert.Assert(t, peer.Refused(7))
	assert.Assert(t, !here.Refused(8))
}

// looked tells when the endpoint was looked at.
type looked chan struct{}

func (l looked) Reachable(context.Context, string) bool {
	l <- struct{}{}
	return true
}

func TestLostAnswerIsNoCrash(t *testing.T) {
	reach := make(looked)
	s, crashes := newTestSuspects(reach)
	for range 5 {
		s.Crashed(7, "127.0.0.1:1")
		<-reach
	}
	assert.Equal(t, len(crashes), 0)
	assert.Assert(t, !s.Refused(7))
}

func TestReachableTellsAcceptFromRefusal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.Assert(t, newReach().Reachable(context.Background(), address))
	listener.Close()
	assert.Assert(t, !newReach().Reachable(context.Background(), address))
}
