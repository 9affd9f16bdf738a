package engine

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of a dispatch. ErrRefused says that the request did not run. After any
// other error it did not run if [SendRecorder.MarkSent] was not called; otherwise it
// may have run. This holds for ErrUnreachable too: the HTTP client may have lost a
// connection before and dialed again.
var (
	// ErrRefused reports that the endpoint rejected the request without starting
	// it.
	ErrRefused = eris.New("engine: endpoint refused the request without running it")
	// ErrNoProgress reports that the answer to a chat request made no progress for
	// too long or that a service call exceeded its timeout. The connection was
	// closed.
	ErrNoProgress = eris.New("engine: no progress, connection discarded")
	// ErrIncomplete reports an answer that is incomplete, malformed or too large.
	ErrIncomplete = eris.New("engine: answer is incomplete, malformed or too large")
	// ErrAttemptMismatch reports a frame with the ID of another attempt.
	ErrAttemptMismatch = eris.New("engine: frame has the ID of another attempt")
	// ErrUnreachable reports that no connection to the endpoint could be
	// established.
	ErrUnreachable = eris.New("engine: endpoint unreachable")
)

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("engine: status %d", e.Status) }
