package tool

import "errors"

// ExitCode is what the tool tells the shell.
type ExitCode int

// Exit codes.
const (
	// ExitOK reports success.
	ExitOK ExitCode = 0
	// ExitFailed reports that something could not be reached or read.
	ExitFailed ExitCode = 1
	// ExitUsage reports wrong arguments.
	ExitUsage ExitCode = 2
	// ExitFindings reports an input that is not in order.
	ExitFindings ExitCode = 3
	// ExitConflict reports a section that somebody else changed first.
	ExitConflict ExitCode = 4
	// ExitNotInForce reports an accepted revision that is not in force on
	// all instances asked by the deadline.
	ExitNotInForce ExitCode = 5
	// ExitBroken reports that an invariant was broken.
	ExitBroken ExitCode = 6
	// ExitUnsettled reports a proposal that may or may not be published.
	ExitUnsettled ExitCode = 7
)

const exitHelp = `Exit codes: 0 done; 1 something could not be reached or read; 2 wrong arguments; ` +
	`3 findings in an input; 4 conflict with another author; 5 accepted but not in force everywhere by the deadline; ` +
	`6 an invariant was broken; 7 outcome of a publication unknown.`

// codedError is an error with the exit code that it leads to.
type codedError struct {
	code ExitCode
	err  error
}

// Error implements error.
func (e *codedError) Error() string { return e.err.Error() }

// Unwrap returns the error inside.
func (e *codedError) Unwrap() error { return e.err }

func withCode(code ExitCode, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{code: code, err: err}
}

// codeOf returns the exit code of an error.
func codeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}
