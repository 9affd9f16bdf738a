package node_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/node"
	"github.com/wigeonusher/wigeonusher/node/settings"
	standinanswer "github.com/wigeonusher/wigeonusher/standin/answer"
	"github.com/wigeonusher/wigeonusher/standin/faults"
)

// TestCutStreamsNeverEndInSilence cuts half of the engines' streams. A stream to
// the caller must end with its end marker or with an error event.
func TestCutStreamsNeverEndInSilence(t *testing.T) {
	f, nodes := newModelFleet(t, 1, nil)
	for _, unframed := range []bool{false, true} {
		for _, engine := range f.engines {
			engine.Faults.Set(faults.Set{CutRate: 0.5, Unframed: unframed})
		}
		checkCutStreams(t, f, nodes[0].Node, fmt.Sprintf("cut, unframed: %t", unframed))
	}
}

func checkCutStreams(t *testing.T, f *fleet, n *node.Node, name string) {
	complete, cut := 0, 0
	for i := range 40 {
		id := fmt.Sprintf("%s, %d", name, i)
		got := f.chat(n, chatBody("small", true), header{"X-Request-Id", id})
		if got.status != http.StatusOK {
			assert.Assert(t, strings.Contains(got.body, `"outcome"`), got.body)
			cut++
			continue
		}
		if !strings.HasSuffix(strings.TrimSpace(got.body), "data: [DONE]") {
			assert.Assert(t, strings.Contains(got.body, `"answer-interrupted"`), got.body)
			cut++
			continue
		}
		parsed, err := standinanswer.Parse(streamText(t, got.body))
		assert.NilError(t, err)
		assert.Equal(t, parsed.RequestID, id)
		complete++
	}
	assert.Assert(t, complete > 0 && cut > 0, "complete %d, cut %d", complete, cut)
}

// A caller that closes its sending side cancels the call, and still reads.
func TestCanceledCallIsNotAnsweredLikeASuccess(t *testing.T) {
	f := newFleet(t)
	f.addServices(1, "desk")
	f.publishDefault()
	n := f.startReady("a")
	f.eventually("the service is known", func() bool {
		return f.call(n.Node, http.MethodGet, "/services/desk/bookings", "").status == http.StatusOK
	})
	f.services[0].Faults.Set(faults.Set{LatencyMillis: 1000})
	conn, err := net.Dial("tcp", n.Addresses().Caller)
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /services/desk/bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", accountKey)
	time.Sleep(100 * time.Millisecond) // the call is being worked on
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	response, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(response), "HTTP/1.1 5"), "%s", response)
	assert.Assert(t, strings.Contains(string(response), `"outcome":`), "%s", response)
}

// TestCallerThatLeavesIsBilledOnceForWhatItGot closes the connection in the
// middle of a stream.
func TestCallerThatLeavesIsBilledOnceForWhatItGot(t *testing.T) {
	f, nodes := newModelFleet(t, 1, nil)
	body := strings.Replace(chatBody("small", true), `"max_tokens":12`, `"max_tokens":5000`, 1)
	var response *http.Response
	// A busy machine may refuse the long request at first, without running it.
	f.eventually("it is admitted", func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+nodes[0].Addresses().Caller+"/v1/chat/completions", strings.NewReader(body))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+accountKey)
		request.Header.Set("X-Request-Id", "left")
		response, err = http.DefaultClient.Do(request)
		assert.NilError(t, err)
		if response.StatusCode == http.StatusTooManyRequests {
			response.Body.Close()
			return false
		}
		return true
	})
	start := make([]byte, 200)
	n, err := io.ReadFull(response.Body, start)
	assert.NilError(t, err, "%s: %s", response.Status, start[:n])
	response.Body.Close()
	f.eventually("it is billed", func() bool { return f.bills()["left"] >= 1 })
	f.eventually("nothing is held", func() bool { return nodes[0].Status().BillsHeld == 0 })
	assert.Equal(t, f.bills()["left"], 1)
}

// TestSilentConnectionsAreReplaced makes the pooled connections stop responding
// while new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	f, nodes := newModelFleet(t, 1, func(s *settings.Settings) { s.Timing.ProgressMillis = 300 })
	for range 6 {
		assert.Assert(t, f.tryChat(nodes[0].Node))
	}
	for _, engine := range f.engines {
		engine.Faults.Set(faults.Set{Silent: true})
	}
	f.eventually("chat is served on new connections", func() bool { return f.tryChat(nodes[0].Node) })
}

func TestEveryEndpointFrozenIsAnsweredByTheDeadline(t *testing.T) {
	f, nodes := newModelFleet(t, 1, nil)
	for _, engine := range f.engines {
		engine.Faults.Set(faults.Set{Frozen: true})
	}
	got := f.chat(nodes[0].Node, chatBody("small", false), header{"Deadline-Ms", "300"})
	assert.Assert(t, got.status >= 500, got.body)
	assert.Assert(t, strings.Contains(got.body, `"outcome":"unknown"`), got.body)
}
