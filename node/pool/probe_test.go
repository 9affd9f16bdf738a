package pool

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
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

// Of many endpoints that are down, each may be paused; the one that is not shows whether any
// can be reached.
func TestEndpointsThatAreNotPausedAreProbedFirst(t *testing.T) {
	p := newPool("z", nil)
	for n := range 20 {
		p.put(Record{ID: platform.EndpointID(strconv.Itoa(n)), Address: strconv.Itoa(n), Born: 1})
		p.members[platform.EndpointID(strconv.Itoa(n))].probing = n != 7
	}
	assert.Equal(t, p.Addresses("0", 1)[0], "7")
}
