package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// minReadBytes is the initial size of the buffer of a body.
	minReadBytes = 2 << 10
	// forwardBytes is how much of a body is read before it is forwarded, once the
	// answer is too large to be buffered.
	forwardBytes = 32 << 10
)

// Errors of answers that are longer than the relay reads.
var (
	errFailureTooLarge = eris.New("body of the failure is too large")
	errAnswerTooLarge  = eris.New("answer without a length is too large")
	errEventTooLarge   = eris.New("event is too large")
)

// isTooLarge reports whether the relay has stopped reading because of the size, or for want of memory.
func isTooLarge(err error) bool {
	return errors.Is(err, errNoMemory) || errors.Is(err, errFailureTooLarge) || errors.Is(err, errAnswerTooLarge) || errors.Is(err, errEventTooLarge)
}

// copyPlain sends an answer that is not a stream to the client. It reads the whole answer
// first, so that another endpoint can be asked if it breaks off. Of an answer larger than
// maxBufferedBytes the rest is forwarded as it arrives.
func (a *attempt) copyPlain(ctx context.Context) {
	_ = a.ahead.SetReadDeadline(a.run.deadline) // an error shows in the read
	total := 0
	for limit := maxBufferedBytes; ; limit = forwardBytes {
		a.hold.release()
		body, whole, err := a.readPlain(limit)
		total += len(body)
		if err == nil && a.answer.Framing != FramedByLength && total > maxUnmeasuredBytes {
			err = errAnswerTooLarge
		}
		if err != nil {
			a.markBroken(ctx, err)
			return
		}
		a.recordFirstEvent()
		a.sendHead()
		if err := a.write(body); err != nil {
			a.verdict, a.err = verdictClientGone, err
			return
		}
		if whole {
			a.verdict = verdictDelivered
			return
		}
	}
}

// readPlain reads the body to its end, or until it has at least the given number of bytes.
// It reports whether it has reached the end. The error is nil if that was the end of a
// whole answer.
func (a *attempt) readPlain(limit int) (body []byte, whole bool, err error) {
	for len(body) < limit {
		if len(body) == cap(body) {
			if !a.hold.grow(cap(body) + max(minReadBytes, cap(body))) {
				if len(body) < minReadBytes {
					return body, false, errNoMemory
				}
				return body, false, nil // as if the limit was reached
			}
			body = slices.Grow(body, max(minReadBytes, len(body)))
		}
		n, err := a.ahead.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 {
			a.recordActivity()
		}
		if err != nil {
			err = a.checkEnd(err)
			return body, err == nil, err
		}
	}
	return body, false, nil
}

// readFailure reads the endpoint's failure, which is sent to the client if no
// attempt follows, no answer has begun and there is no fallback.
func (a *attempt) readFailure(ctx context.Context) {
	_ = a.ahead.SetReadDeadline(time.Now().Add(minPatience)) // an error shows in the read
	body, whole, err := a.readPlain(maxBufferedBytes)
	if err == nil && !whole {
		err = errFailureTooLarge
	}
	if err != nil {
		a.markBroken(ctx, err)
		return
	}
	a.verdict, a.failureBody = verdictFailure, body
}
