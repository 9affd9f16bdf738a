package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// sendFunc is an [Endpoints] whose calls are all handled by the function.
type sendFunc func(ctx context.Context, deadline time.Time) (*Answer, error)

func (f sendFunc) Send(ctx context.Context, _ *Call, deadline time.Time) (*Answer, error) {
	return f(ctx, deadline)
}

// connecting blocks as a dial does, and fails with the context's error or, after the
// timeout, with the dialer's own.
func connecting(timeout time.Duration) sendFunc {
	return func(ctx context.Context, _ time.Time) (*Answer, error) {
		select {
		case <-ctx.Done():
			return nil, &SendError{Err: ctx.Err()}
		case <-time.After(timeout):
			return nil, &SendError{Err: os.ErrDeadlineExceeded}
		}
	}
}

// refusing blocks until the context ends, and then fails with a refused connection.
func refusing(ctx context.Context, _ time.Time) (*Answer, error) {
	<-ctx.Done()
	return nil, &SendError{Err: syscall.ECONNREFUSED}
}

// silent sends the call and gets no answer. It fails at the connection's deadline if
// untilDeadline is set, and when the context ends otherwise.
func silent(untilDeadline bool) sendFunc {
	return func(ctx context.Context, deadline time.Time) (*Answer, error) {
		if untilDeadline {
			time.Sleep(time.Until(deadline))
			return nil, &SendError{MayBeSent: true, Err: os.ErrDeadlineExceeded}
		}
		<-ctx.Done()
		return nil, &SendError{MayBeSent: true, Err: errors.New("use of closed connection")}
	}
}

// trickle is a body that returns an event in each interval until the context ends.
type trickle struct {
	ctx      context.Context
	interval time.Duration
}

func (r *trickle) Read(p []byte) (int, error) {
	select {
	case <-r.ctx.Done():
		return 0, io.ErrClosedPipe
	case <-time.After(r.interval):
		return copy(p, "data: piece\n\n"), nil
	}
}

// answering answers with the status and an event in each interval.
func answering(status int, interval time.Duration) sendFunc {
	return func(ctx context.Context, _ time.Time) (*Answer, error) {
		return &Answer{
			Status: status, Header: http.Header{}, Authentic: true,
			Body: &fakeBody{reader: &trickle{ctx: ctx, interval: interval}},
		}, nil
	}
}

// unfinishedFailure answers with a failure whose body does not arrive in time.
func unfinishedFailure(context.Context, time.Time) (*Answer, error) {
	return &Answer{
		Status: http.StatusInternalServerError, Header: http.Header{}, Authentic: true,
		Body: &fakeBody{reader: iotest.ErrReader(os.ErrDeadlineExceeded)},
	}, nil
}

// learnFirstEvent makes the pool expect the first event after the given time.
func (h *harness) learnFirstEvent(t *testing.T, usual time.Duration) {
	t.Helper()
	const enough = 16 // for an estimate
	for range enough {
		lease, ok := h.pools.Service(testService).Choose(time.Now(), pool.Query{})
		assert.Assert(t, ok)
		lease.RecordFirstEvent(usual)
		lease.End(time.Now(), pool.Succeeded)
	}
	assert.Assert(t, h.pools.Service(testService).UsualFirstEvent("", 0) > 0)
}

// An attempt may end because its request ends. Its endpoint must not be paused for that,
// unless it was silent for an unusual time.
func TestEndpointIsNotPausedBecauseTheRequestEnded(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct {
		name string
		send sendFunc
		// timeout is the time that the client waits, and leave when it disconnects.
		timeout, leave time.Duration
		paused         bool
		// usual is the usual time to the first event, 0 if unknown.
		usual time.Duration
	}{
		{"client leaves while connecting", connecting(never), 5 * time.Second, 100 * time.Millisecond, false, 0},
		{"client leaves long after the start of connecting", connecting(never), 5 * time.Second, time.Second, true, 2 * time.Second},
		{"deadline while connecting", connecting(never), 100 * time.Millisecond, never, false, 0},
		{"deadline long after the start of connecting", connecting(never), time.Second, never, true, 2 * time.Second},
		{"connecting times out", connecting(100 * time.Millisecond), 110 * time.Millisecond, never, true, 0},
		{"connection refused as the client leaves", refusing, 5 * time.Second, 100 * time.Millisecond, true, 0},
		{"connection refused at the deadline", refusing, 100 * time.Millisecond, never, true, 0},
		{"client leaves while waiting", silent(false), 5 * time.Second, 4 * time.Second, false, 0},
		{"deadline after a short silence", silent(false), 300 * time.Millisecond, never, false, 0},
		{"connection's deadline after a short silence", silent(true), 300 * time.Millisecond, never, false, 0},
		{"deadline after a long silence", silent(false), time.Second, never, true, 0},
		{"connection's deadline after a long silence", silent(true), time.Second, never, true, 0},
		{"deadline before the usual time", silent(false), time.Second, never, false, 2 * time.Second},
		{"deadline after the usual time", silent(false), 3 * time.Second, never, true, 2 * time.Second},
		{"deadline during the answer", answering(http.StatusOK, 700*time.Millisecond), 5 * time.Second, never, false, 0},
		{"deadline after a long silence within the answer", answering(http.StatusOK, 3*time.Second), 5 * time.Second, never, true, 4 * time.Second},
		{"failure's body does not arrive in time", unfinishedFailure, 5 * time.Second, never, true, 0},
		{"deadline during a failure's body", answering(http.StatusInternalServerError, never), 200 * time.Millisecond, never, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := testRoute(route.Stream)
				rt.Resumable = false
				h := newHarness(testTable(rt), 1, nil)
				h.relay.Endpoints = c.send
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				defer time.AfterFunc(c.leave, cancel).Stop()
				if c.usual > 0 {
					h.learnFirstEvent(t, c.usual)
				}
				request := testRequest()
				request.Timeout = c.timeout
				h.relay.Serve(ctx, request, h.client)
				endpoint := h.pools.Snapshots()[0]
				assert.Equal(t, endpoint.Paused, c.paused)
				assert.Equal(t, endpoint.Failing > 0, c.paused)
				assert.Equal(t, endpoint.InFlight, 0)
			})
		})
	}
}

// An attempt that the watchdog canceled while it was connecting fails with a context
// error, which alone would be inconclusive.
func TestEndpointThatTheWatchdogGaveUpIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testTable(testRoute(route.Stream)), 2, nil)
		h.relay.Prober = probeResult(ProbeTimedOut)
		h.relay.Endpoints = connecting(time.Hour)
		request := testRequest()
		request.Timeout = 600 * time.Millisecond
		h.serve(request)
		assert.Equal(t, len(h.paused()), 1, "the second attempt had too little time")
	})
}
