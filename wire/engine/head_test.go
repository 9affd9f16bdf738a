package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/wire/openai"
)

// serveRaw accepts connections until the test ends, reads a request on each and lets answer write.
func serveRaw(t *testing.T, answer func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func newRawClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(Config{DialTimeout: time.Second, ProgressTimeout: 5 * time.Second, IdleTimeout: time.Second, MaxIdlePerEndpoint: 1})
	t.Cleanup(client.Close)
	return client
}

func callService(client *Client, address string) (*ServiceAnswer, error) {
	return client.Service(context.Background(), ServiceCall{
		Address: address, Method: http.MethodPost, PathAndQuery: "/x", Timeout: 20 * time.Second, NewConnection: true,
	}, &outcome.Attempt{})
}

// readChat reads an answer to its end, and returns the error that ended it.
func readChat(client *Client, address string) error {
	stream, err := client.Chat(context.Background(), Call{
		Address: address, AttemptID: "a-1", Model: "m@1", Request: &openai.Request{Messages: []openai.Message{{Role: "user", Content: json.RawMessage(`"x"`)}}},
	}, &outcome.Attempt{})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		if _, err := stream.Next(); err != nil {
			return err
		}
	}
}

// TestCutHeadIsNoAnswer guards against an endpoint that stops inside the head of its answer, also after an
// interim one: its caller must not get a complete answer.
func TestCutHeadIsNoAnswer(t *testing.T) {
	client := newRawClient(t)
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 25\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for cut := range len(head) {
			address := serveRaw(t, func(conn net.Conn) { _, _ = io.WriteString(conn, head[:cut]) })
			_, err := callService(client, address)
			assert.Assert(t, err != nil, "cut after %q", head[:cut])
			assert.Assert(t, readChat(client, address) != io.EOF, "cut after %q", head[:cut])
		}
	}
}

// TestEndpointThatSendsWithoutEndIsCutOff guards against an endpoint that sends bytes without end: its caller
// kept them all until its memory was used up.
func TestEndpointThatSendsWithoutEndIsCutOff(t *testing.T) {
	const mostBytes, mostHeadBytes = 32 << 20, 8 << 20 // buffers of the kernel included
	frame := `data: {"id":"a-1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", 4<<10) + `"}}]}` + "\n\n"
	ok := "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, start, piece string
		most               int
	}{
		{"status line", "HTTP/1.1 200 ", "O", mostHeadBytes},
		{"header fields", ok, "X-Field: value\r\n", mostHeadBytes},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", mostHeadBytes},
		{"body", ok + "\r\n", "data", mostBytes},
		{"one line of a stream", ok + "Content-Type: text/event-stream\r\n\r\ndata: ", "x", mostBytes},
		{"frames", ok + "Content-Type: text/event-stream\r\n\r\n", frame, mostBytes},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x", mostHeadBytes},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n", mostHeadBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			piece := []byte(strings.Repeat(c.piece, max(1, 16<<10/len(c.piece))))
			sent := make(chan int, 2)
			address := serveRaw(t, func(conn net.Conn) {
				_ = conn.SetDeadline(time.Now().Add(15 * time.Second)) // a caller that never closes fails below
				total, err := io.WriteString(conn, c.start)
				for n := 0; err == nil && total < 4*mostBytes; total += n {
					n, err = conn.Write(piece)
				}
				sent <- total
			})
			client := newRawClient(t)
			_, err := callService(client, address)
			assert.Assert(t, err != nil)
			assert.Assert(t, <-sent <= c.most)
			assert.Assert(t, readChat(client, address) != io.EOF)
			assert.Assert(t, <-sent <= c.most)
		})
	}
}
