package memory

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/policy/memory"
)

// Errors of a body that was not received. Its request has not run.
var (
	ErrTooLarge = eris.New("memory: body is over the limit")
	ErrStopped  = eris.New("memory: body makes no progress")
	ErrNoMemory = eris.New("memory: no memory for the body")
)

// ReceiveLimits bounds the reception of a body.
type ReceiveLimits struct {
	// Bytes is the largest body; 0 for any.
	Bytes int64
	// Idle is the longest time without a byte; 0 for [DefaultIdle].
	Idle time.Duration
	// Until is when the client no longer waits; zero if that is not known.
	Until time.Time
}

const (
	// DefaultIdle is the longest time without a byte of a body if the configuration has none.
	DefaultIdle = 15 * time.Second
	// deadlineStep is the least time between two changes of the read deadline: a body may come in
	// very many small pieces.
	deadlineStep = time.Second
	// discardTime bounds the time for which net/http reads what follows a body that was refused.
	discardTime = 300 * time.Millisecond
)

// receiver receives the body of one request.
type receiver struct {
	control *http.ResponseController
	limits  ReceiveLimits
	setAt   time.Time
	builder *Builder
}

// LimitDiscard bounds the time for which net/http reads the rest of the body of a request that is
// refused. Without a bound, a client that stops sending keeps the connection and gets no answer.
func LimitDiscard(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime)) // fails only on a closed connection
	}
}

// Receive reads the body of a request. After an error the connection is closed with the answer.
func Receive(w http.ResponseWriter, r *http.Request, guard *Guard, limits ReceiveLimits) (*Body, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limits.Idle <= 0 {
		limits.Idle = DefaultIdle
	}
	rc := &receiver{control: http.NewResponseController(w), limits: limits}
	body, err := rc.receive(r, guard)
	// An error means that the connection has ended or has no deadlines.
	if err == nil {
		_ = rc.control.SetReadDeadline(time.Time{})
		return body, nil
	}
	w.Header().Set("Connection", "close")
	LimitDiscard(w, r)
	switch {
	case errors.Is(err, ErrTooLarge):
		guard.Record("too large", memory.Body)
	case errors.Is(err, ErrStopped):
		guard.Record("stopped", memory.Body)
	}
	return nil, err
}

func (rc *receiver) receive(r *http.Request, guard *Guard) (*Body, error) {
	if rc.limits.Bytes > 0 && r.ContentLength > rc.limits.Bytes {
		return nil, ErrTooLarge
	}
	rc.builder = NewBuilder(guard, memory.Body, func() {
		_ = rc.control.SetReadDeadline(time.Unix(1, 0)) // ends the read; fails only on a closed connection
	})
	err := rc.readAll(r)
	if err == nil {
		if body, ok := rc.builder.Body(); ok {
			return body, nil
		}
		err = ErrNoMemory
	}
	if rc.builder.IsReclaimed() {
		err = ErrNoMemory
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrStopped
	}
	rc.builder.Drop()
	return nil, err
}

// readAll reads the body to its end. Of a body without a length, one byte more than the limit shows
// that it is too large.
func (rc *receiver) readAll(r *http.Request) error {
	left := r.ContentLength
	if left < 0 {
		left = int64(maxPartBytes)
		if rc.limits.Bytes > 0 {
			left = rc.limits.Bytes + 1
		}
	}
	for {
		room, granted := rc.builder.Room(left)
		if !granted {
			return ErrNoMemory
		}
		rc.extendDeadline()
		n, err := r.Body.Read(room)
		rc.builder.Add(n)
		if r.ContentLength >= 0 || rc.limits.Bytes > 0 {
			left -= int64(n)
		}
		switch {
		case r.ContentLength < 0 && rc.limits.Bytes > 0 && left <= 0:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case r.ContentLength >= 0 && left <= 0:
			// net/http does not detect a client's disconnection until the body was read to EOF.
			_, err = io.Copy(io.Discard, r.Body)
			return err
		}
	}
}

// extendDeadline moves the read deadline, unless the memory was reclaimed, which has ended the read.
func (rc *receiver) extendDeadline() {
	now := time.Now()
	if now.Sub(rc.setAt) < min(deadlineStep, rc.limits.Idle/2) {
		return
	}
	rc.setAt = now
	deadline := now.Add(rc.limits.Idle)
	if !rc.limits.Until.IsZero() && rc.limits.Until.Before(deadline) {
		deadline = rc.limits.Until
	}
	_ = rc.control.SetReadDeadline(deadline) // an error shows in the read
	if rc.builder.IsReclaimed() {
		_ = rc.control.SetReadDeadline(time.Unix(1, 0))
	}
}
