package clients_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/wigeonusher/wigeonusher/node/clients"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// start serves requests with the given limits. The path /wait waits until release is closed, and the path
// /arrive does so before the request counts as complete.
func start(t *testing.T, limit int, limits func() route.Limits) (server *clients.Server, address string, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	server = clients.NewServer(clients.Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/arrive" {
				<-release
			}
			if err := clients.BeginRun(r.Context()); err != nil {
				panic(http.ErrAbortHandler)
			}
			if r.URL.Path == "/wait" {
				<-release
			}
			fmt.Fprint(w, "ok")
		}),
		Limits: limits,
	}, limit, clients.NewSockets(1<<20))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return server, listener.Addr().String(), release
}

// dialFrom connects from a loopback address.
func dialFrom(t *testing.T, from byte, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, from)}}
	conn, err := dialer.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn
}

func exchange(conn net.Conn, path string) error {
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// The idle timeout was a constant. A connection that was idle for four fifths of the configured one
// must be usable, and one that is idle for longer is closed.
func TestIdleTimeoutIsThatOfTheConfiguration(t *testing.T) {
	const idle = 4 * time.Second
	_, address, _ := start(t, 10, func() route.Limits { return route.Limits{IdleTimeout: idle} })
	conn := dialFrom(t, 1, address)
	assert.NilError(t, exchange(conn, "/"))
	time.Sleep(idle * 4 / 5)
	assert.NilError(t, exchange(conn, "/"))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Limits of a later configuration must apply to new connections, and not cut the earlier ones.
func TestChangedLimitsApplyToNewConnections(t *testing.T) {
	var headerTimeout atomic.Int64
	headerTimeout.Store(int64(time.Minute))
	_, address, _ := start(t, 100, func() route.Limits { return route.Limits{HeaderTimeout: time.Duration(headerTimeout.Load())} })
	early := dialFrom(t, 1, address)
	assert.NilError(t, exchange(early, "/"))
	headerTimeout.Store(int64(100 * time.Millisecond))
	late := dialFrom(t, 1, address)
	_, err := io.WriteString(late, "GET ")
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, late) // ends when the server closes the connection
	assert.NilError(t, err)
	for n := range 20 { // many configurations
		headerTimeout.Store(int64(time.Minute) + int64(n))
		assert.NilError(t, exchange(dialFrom(t, 1, address), "/"))
	}
}

// Connections of one client that are opened and left must not keep others out.
func TestOtherClientsConnectWhenTheServerIsFull(t *testing.T) {
	server, address, _ := start(t, 20, func() route.Limits { return route.Limits{} })
	quiet := dialFrom(t, 2, address)
	assert.NilError(t, exchange(quiet, "/"))
	for range 60 {
		dialFrom(t, 1, address)
	}
	assert.NilError(t, exchange(dialFrom(t, 3, address), "/"))
	assert.NilError(t, exchange(quiet, "/"), "the connection of another client was closed")
	open, limit := server.Connections()
	assert.Assert(t, open <= limit, "%d of %d", open, limit)
}

// A graceful stop must let requests in progress end, and close idle connections.
func TestShutdownWaitsForRequestsInProgress(t *testing.T) {
	server, address, release := start(t, 10, func() route.Limits { return route.Limits{} })
	idle, busy := dialFrom(t, 1, address), dialFrom(t, 1, address)
	assert.NilError(t, exchange(idle, "/"))
	answered := make(chan error, 1)
	go func() { answered <- exchange(busy, "/wait") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open, _ := server.Connections(); open == 2 {
			return poll.Success()
		}
		return poll.Continue("not connected")
	})
	time.Sleep(100 * time.Millisecond) // until the request has reached the handler
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	close(release)
	assert.NilError(t, <-answered)
	assert.NilError(t, <-stopped)
}

// A server that was closed before it began to serve waited for connections for ever.
func TestClosedServerDoesNotServe(t *testing.T) {
	server := clients.NewServer(clients.Config{Limits: func() route.Limits { return route.Limits{} }}, 10, clients.NewSockets(1<<20))
	server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		assert.ErrorIs(t, err, http.ErrServerClosed)
	case <-time.After(5 * time.Second):
		t.Fatal("the server waits for connections")
	}
}

// A graceful stop did not wait for a request whose connection was accepted many configurations ago.
func TestShutdownWaitsForRequestsUnderEarlierLimits(t *testing.T) {
	var idleTimeout atomic.Int64
	idleTimeout.Store(int64(time.Minute))
	server, address, release := start(t, 100, func() route.Limits { return route.Limits{IdleTimeout: time.Duration(idleTimeout.Load())} })
	busy := dialFrom(t, 1, address)
	answered := make(chan error, 1)
	go func() { answered <- exchange(busy, "/wait") }()
	for range 20 {
		idleTimeout.Add(1)
		assert.NilError(t, exchange(dialFrom(t, 1, address), "/"))
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	select {
	case <-stopped:
		t.Error("the server has stopped with a request in progress")
	case <-time.After(time.Second):
	}
	close(release)
	assert.NilError(t, <-answered)
}

// TestRunningRequestsKeepTheirConnections guards against a full server that closed connections whose
// requests were at work at endpoints, for clients that had none yet.
func TestRunningRequestsKeepTheirConnections(t *testing.T) {
	const limit = 8
	server, address, release := start(t, limit, func() route.Limits { return route.Limits{} })
	answered := make(chan error, limit)
	for range limit {
		conn := dialFrom(t, 1, address)
		go func() { answered <- exchange(conn, "/wait") }()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.RunningRequests() == limit {
			return poll.Success()
		}
		return poll.Continue("not running")
	})
	for n := range byte(20) {
		assert.Assert(t, exchange(dialFrom(t, 2+n, address), "/") != nil, "the server is full")
	}
	close(release)
	for range limit {
		assert.NilError(t, <-answered)
	}
	assert.NilError(t, exchange(dialFrom(t, 2, address), "/"))
}

// TestRequestOfAClosedConnectionIsNotRun guards against a request that arrives whole just when its
// connection is closed for another client's: its answer could not be delivered.
func TestRequestOfAClosedConnectionIsNotRun(t *testing.T) {
	const limit = 8
	server, address, release := start(t, limit, func() route.Limits { return route.Limits{} })
	answered := make(chan error, limit)
	for range limit {
		conn := dialFrom(t, 1, address)
		_, err := io.WriteString(conn, "GET /arrive HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		go func() {
			_, err := http.ReadResponse(bufio.NewReader(conn), nil)
			answered <- err
		}()
	}
	time.Sleep(100 * time.Millisecond) // until the requests have reached the handler
	newcomer := make(chan error, 1)
	go func() { newcomer <- exchange(dialFrom(t, 2, address), "/wait") }()
	assert.Assert(t, <-answered != nil, "the one that was closed")
	close(release)
	for range limit - 1 {
		assert.NilError(t, <-answered)
	}
	assert.NilError(t, <-newcomer)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.RunningRequests() == 0 {
			return poll.Success()
		}
		return poll.Continue("still counted as running")
	})
}
