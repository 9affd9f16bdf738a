package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keptBytes is how much of a request's body a stand-in keeps.
const keptBytes = 4 << 10

// engine is a stand-in of an engine. It reads each request whole, and then answers as the case
// says, which gets the begin of the body. It serves one request at a time on a channel, as PROTOCOL.md says.
type engine struct {
	id, service, zone string
	listener          net.Listener
	address           string
	// answer answers a request on the raw channel; it reports whether the channel may be kept.
	answer func(w *bufio.Writer, r *http.Request, body []byte) bool

	mu       sync.Mutex
	arrivals map[string]int // requests that were read whole, by the client's attempt
}

const stampHeader = "Wigeonusher-Server-Stamp"

func newEngine(id, service, zone string, answer func(w *bufio.Writer, r *http.Request, body []byte) bool) *engine {
	e := &engine{id: id, service: service, zone: zone, listener: listen(), answer: answer, arrivals: map[string]int{}}
	e.address = e.listener.Addr().String()
	go func() {
		for {
			conn, err := e.listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// entry is the engine's registration.
func (e *engine) entry(address string, slots int) map[string]any {
	return map[string]any{
		"service": e.service, "address": address, "zone": e.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(request.Body, keptBytes))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if expected := request.Header.Get("Wigeonusher-Expect-Instance"); expected != "" && expected != e.id {
			fmt.Fprintf(writer, "HTTP/1.1 421 Misdirected Request\r\nWigeonusher-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
			writer.Flush()
			continue
		}
		e.mu.Lock()
		e.arrivals[request.Header.Get("Wigeonusher-Attempt-Id")]++
		e.mu.Unlock()
		if !e.answer(writer, request, body) || writer.Flush() != nil {
			writer.Flush()
			return
		}
	}
}

// runs returns how often the engine has begun to work on the client's attempt.
func (e *engine) runs(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals[attempt]
}

// stamp is the engine's proof for a request.
func stamp(r *http.Request) string { return "stamp." + r.Header.Get("Wigeonusher-Attempt-Id") }

// head writes the head of an answer without the header of its length.
func head(w io.Writer, status string, r *http.Request, more ...string) {
	fmt.Fprintf(w, "HTTP/1.1 %s\r\nWigeonusher-Attempt-Id: %s\r\n%s: %s\r\n", status, r.Header.Get("Wigeonusher-Attempt-Id"), stampHeader, stamp(r))
	for _, line := range more {
		io.WriteString(w, line+"\r\n")
	}
}

// sendPlain sends a whole answer of a plain service.
func sendPlain(w *bufio.Writer, r *http.Request, text string, more ...string) bool {
	head(w, "200 OK", r, more...)
	fmt.Fprintf(w, "Content-Length: %d\r\n\r\n%s", len(text), text)
	return true
}

// plainBody is the answer of a plain service to a client's attempt.
func plainBody(attempt string) string {
	return "booked " + attempt + " " + strings.Repeat("x", 700)
}

// sendStream sends a stream of numbered events, in chunks, with a pause before each.
func sendStream(w *bufio.Writer, r *http.Request, events int, pause time.Duration) bool {
	head(w, "200 OK", r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Wigeonusher-Confidence: 95")
	io.WriteString(w, "\r\n")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := after + 1; id <= events; id++ {
		time.Sleep(pause)
		text := event(id)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
		if w.Flush() != nil {
			return false
		}
	}
	io.WriteString(w, "0\r\n\r\n")
	return true
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// streamBody is the whole body of a stream.
func streamBody(events int) string {
	var all strings.Builder
	for id := 1; id <= events; id++ {
		all.WriteString(event(id))
	}
	return all.String()
}
