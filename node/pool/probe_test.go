package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An endpoint that has just been listed has not sent anything: it does not show that this
// instance reaches any.
func TestListingIsNoSignOfLife(t *testing.T) {
	p := newPool("z", nil)
	since := time.Now()
	p.put(Record{ID: "broken", Born: 1})
	p.put(Record{ID: "new", Born: 1})
	assert.Assert(t, !p.ActiveSince("broken", since))
	p.members["new"].lastActivity.Store(time.Now().Add(time.Millisecond).UnixNano())
	assert.Assert(t, p.ActiveSince("broken", since))
}
