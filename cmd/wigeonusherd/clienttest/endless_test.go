package clienttest

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/platform/platformtest"
)

// endlessAnswers are the starts of answers that never end, and what is repeated after them.
var endlessAnswers = []struct{ start, piece string }{
	{"", "x"},
	{"HTTP/1.1 200 ", "O"},
	{"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{platformtest.StartHead("200 OK") + "\r\n", "data"},
	{platformtest.StartHead("200 OK") + "Content-Length: 1099511627776\r\n\r\n", "data"},
	{platformtest.StartHead("200 OK") + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	{platformtest.StartHead("200 OK") + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	{platformtest.StartHead("200 OK") + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
	{platformtest.StartHead("500 Failed") + "\r\n", "data"},
	{platformtest.StartHead("200 OK") + "Content-Type: text/event-stream\r\n\r\n", "data"},
	{platformtest.StartHead("200 OK") + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: x\n\n"},
}

// sendSeveral sends requests one after the other and reads what comes back, slowly if its number is odd.
func sendSeveral(conn net.Conn, i int) {
	paths := []string{platformtest.PathIdempotent, platformtest.PathStream, platformtest.PathAtMostOnce}
	reader := bufio.NewReader(conn)
	for n := range 6 {
		if _, err := conn.Write(head("several-"+strconv.Itoa(i)+"-"+strconv.Itoa(n), paths[(i+n)%len(paths)], "Content-Length: 0")); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		for err == nil {
			_, err = io.CopyN(io.Discard, response.Body, 64<<10)
			if i%2 == 1 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		if err != io.EOF {
			return
		}
	}
}

// awaitEndpoints waits until the instance lists a number of endpoints.
func (d *daemon) awaitEndpoints(number int) {
	d.t.Helper()
	listed := 0
	for range 2000 {
		response, err := http.Get("http://" + d.health + "/status")
		assert.NilError(d.t, err)
		var status struct{ Endpoints []json.RawMessage }
		assert.NilError(d.t, json.NewDecoder(response.Body).Decode(&status))
		response.Body.Close()
		if listed = len(status.Endpoints); listed == number {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatalf("%d of %d endpoints are listed", listed, number)
}

// TestEnginesThatSendWithoutEnd guards against engines in trouble whose bytes are kept until the process
// runs out of memory, which ends the requests of all other clients.
func TestEnginesThatSendWithoutEnd(t *testing.T) {
	d := startDaemon(t)
	var endless []*platformtest.EndlessEngine
	for n, answer := range endlessAnswers {
		for _, service := range []string{platformtest.PlainService, platformtest.ModelService} {
			engine := platformtest.NewEndlessEngine(d.store, service+"-endless-"+strconv.Itoa(n), service, answer.start, answer.piece)
			t.Cleanup(engine.Close)
			endless = append(endless, engine)
		}
	}
	d.awaitEndpoints(len(endless) + len(d.engines))
	var answered atomic.Bool
	beside := make(chan struct{})
	go func() {
		defer close(beside)
		answered.Store(d.isOrdinaryRequestAnswered())
	}()
	d.crowd(48, sendSeveral)
	<-beside
	assert.Check(t, answered.Load(), "an ordinary request beside the crowd was not answered")
	reached := 0
	for _, engine := range endless {
		requests, _ := engine.State()
		reached += min(1, requests)
	}
	assert.Check(t, reached >= len(endless)/2, "%d of %d engines got a request", reached, len(endless))
	d.check()
}

// TestStoreThatSendsWithoutEnd guards against a store in trouble whose answers take the process over its
// memory.
func TestStoreThatSendsWithoutEnd(t *testing.T) {
	d := startDaemon(t)
	d.store.SetFault(platformtest.Endless)
	time.Sleep(6 * time.Second)
	d.store.SetFault(platformtest.Healthy)
	d.check()
}
