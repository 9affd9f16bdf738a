package telemetry

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/wire/httpanswer"
)

// TestRejectedAnswersAreCounted guards against answers that are rejected and cannot be told from other broken
// attempts, however deep their error is wrapped.
func TestRejectedAnswersAreCounted(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for _, c := range []struct {
		err    error
		reason string
	}{
		{httpanswer.ErrMalformedHead, "malformed"},
		{httpanswer.ErrMalformedTrailer, "malformed"},
		{httpanswer.ErrConnectionFailed, "connection failed"},
		{io.ErrUnexpectedEOF, ""},
	} {
		telemetry := New(logrus.NewEntry(logger))
		telemetry.RecordAttempt(&relay.AttemptEvent{Service: "s", Err: &relay.SendError{MayBeSent: true, Err: eris.Wrap(eris.Wrap(c.err, "a"), "b")}})
		var text strings.Builder
		telemetry.Write(&text)
		if c.reason == "" {
			assert.Assert(t, !strings.Contains(text.String(), "wigeonusher_rejected_answers_total"), "%v", c.err)
			continue
		}
		counter := fmt.Sprintf("wigeonusher_rejected_answers_total{service=\"s\",reason=%q} 1\n", c.reason)
		assert.Assert(t, strings.Contains(text.String(), counter), "%v: no %s", c.err, counter)
	}
}
