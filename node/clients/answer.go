// Package clients keeps the connections of clients that nobody controls within the limits of the
// process and of the configuration.
package clients

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/node/relay"
	policymemory "github.com/wigeonusher/wigeonusher/policy/memory"
)

// unreadTimeout is how long a client may read nothing of a part of its answer, 32 KB at most. A
// client on a link of 10 Mbit/s needs 26 ms for such a part.
const unreadTimeout = 10 * time.Second

// Answer is the response to a client. Each part must be read in time. It implements
// [http.ResponseWriter]; all methods but End are called by one goroutine.
type Answer struct {
	http.ResponseWriter
	control *http.ResponseController
	guard   *memory.Guard
	// unread is how long the client may read nothing of a part.
	unread time.Duration

	mu sync.Mutex
	// isWriting reports that a write is in progress, and isEnded that the answer has to end.
	isWriting, isEnded bool
}

// NewAnswer returns the response to a client of the HTTP server.
func NewAnswer(w http.ResponseWriter, guard *memory.Guard) *Answer {
	a := &Answer{ResponseWriter: w, control: http.NewResponseController(w), guard: guard, unread: unreadTimeout}
	_ = a.control.SetWriteDeadline(time.Time{}) // that of an earlier answer on the connection
	return a
}

// WriteHeader implements [http.ResponseWriter].
func (a *Answer) WriteHeader(status int) {
	_ = a.control.SetWriteDeadline(time.Now().Add(a.unread)) // an error shows in the write
	a.ResponseWriter.WriteHeader(status)
}

// Send sends a part of the answer. The error is [relay.ErrClientCutOff] if the client has not read it
// in time or the answer was ended.
func (a *Answer) Send(p []byte) error {
	if !a.begin() {
		return relay.ErrClientCutOff
	}
	_, err := a.Write(p)
	if err == nil {
		err = a.control.Flush()
	}
	a.mu.Lock()
	a.isWriting = false
	isEnded := a.isEnded
	a.mu.Unlock()
	if isEnded {
		return relay.ErrClientCutOff
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.guard.Record("unread", policymemory.Answer)
		return relay.ErrClientCutOff
	}
	return err
}

// begin sets the deadline of a write, and reports false if the answer was ended.
func (a *Answer) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isEnded {
		return false
	}
	a.isWriting = true
	_ = a.control.SetWriteDeadline(time.Now().Add(a.unread)) // an error shows in the write
	return true
}

// End ends the answer: a write in progress and all later ones fail.
func (a *Answer) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isEnded = true
	if a.isWriting {
		_ = a.control.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// Finish starts the time for what net/http sends at the end of the answer: the endpoint may have
// paused since the last part.
func (a *Answer) Finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.control.SetWriteDeadline(time.Now().Add(a.unread)) // fails only on a closed connection
}

// Reset resets the connection.
func (a *Answer) Reset() {
	conn, _, err := a.control.Hijack()
	if err != nil {
		return // the client has disconnected
	}
	raw := conn
	if tracked, ok := conn.(*trackedConn); ok {
		raw = tracked.Conn
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	conn.Close()
}

// HeaderBytes returns the size of the head of a request, as far as it is known after parsing: the
// request line and the header fields with their separators.
func HeaderBytes(r *http.Request) int {
	const separators = 4 // a colon, a space and a line end
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	if r.Host != "" {
		size += len("Host") + len(r.Host) + separators
	}
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	for _, encoding := range r.TransferEncoding {
		size += len("Transfer-Encoding") + len(encoding) + separators
	}
	return size
}
