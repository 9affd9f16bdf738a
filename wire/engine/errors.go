package engine

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of a dispatch. Whether the request ran is told by the attempt's
// outcome, not by the error.
var (
	// ErrRefused reports an endpoint that said it did not start the request.
	ErrRefused = eris.New("engine: endpoint refused the request without running it")
	// ErrSilent reports an attempt without progress for too long. Its
	// connection was discarded.
	ErrSilent = eris.New("engine: no progress, connection discarded")
	// ErrCut reports an answer that ended in the middle.
	ErrCut = eris.New("engine: answer cut in the middle")
	// ErrForeign reports a frame that belongs to another attempt.
	ErrForeign = eris.New("engine: frame of another attempt")
	// ErrUnreachable reports an endpoint that could not be connected to.
	ErrUnreachable = eris.New("engine: endpoint unreachable")
)

// StatusError is an answer with an unexpected status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("engine: status %d", e.Status) }
