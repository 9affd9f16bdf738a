package tool

import "errors"

// ExitCode is the exit status of the tool.
type ExitCode int

// Exit codes.
const (
	// ExitOK reports success.
	ExitOK ExitCode = 0
	// ExitFailed reports a failure without a code of its own, such as a service
	// that cannot be reached or an instance that is not ready.
	ExitFailed ExitCode = 1
	// ExitUsage reports wrong arguments.
	ExitUsage ExitCode = 2
	// ExitFindings reports an invalid input.
	ExitFindings ExitCode = 3
	// ExitConflict reports that the base revision of a proposal is not the current
	// revision of the section.
	ExitConflict ExitCode = 4
	// ExitNotInForce reports that an accepted revision was not in force on all
	// of the given instances by the deadline.
	ExitNotInForce ExitCode = 5
	// ExitBroken reports a broken invariant, a failed step of the demonstration, or
	// a defective answer.
	ExitBroken ExitCode = 6
	// ExitOutcomeUnknown reports that it is unknown whether the proposal was
	// published.
	ExitOutcomeUnknown ExitCode = 7
)

const exitHelp = `Exit codes: 0 done; 1 something could not be reached or read; 2 wrong arguments; ` +
	`3 findings in an input; 4 conflict with another author; 5 accepted but not in force everywhere by the deadline; ` +
	`6 an invariant was broken; 7 outcome of a publication unknown.`

// codedError is an error with its exit code.
type codedError struct {
	code ExitCode
	err  error
}

// Error implements error.
func (e *codedError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *codedError) Unwrap() error { return e.err }

// withExitCode returns the error with an exit code, or nil if the error is nil.
func withExitCode(code ExitCode, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{code: code, err: err}
}

// exitCodeOf returns the exit code of an error, which is [ExitFailed] for an error
// without a code.
func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}
