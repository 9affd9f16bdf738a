package tailer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPartOfABacklogIsNoProof guards against an instance that takes the first page of a backlog for
// the whole, and serves by a state that the topic had left long before. The bound on proofs is that of
// zoneInstance.apply.
func TestPartOfABacklogIsNoProof(t *testing.T) {
	forEachZone(t, func(t *testing.T, z *zone) {
		const outage = 10 * time.Second
		z.log.pageRecords = 3
		var back time.Time
		z.run(30*time.Second, func() {
			go z.writeEvery(250*time.Millisecond, 80)
			time.Sleep(4 * time.Second)
			z.refuseAll(true)
			time.Sleep(outage)
			z.refuseAll(false)
			back = time.Now()
		})
		read := z.caughtUpAfter(back)
		t.Logf("at the end of the topic %s after the outage", read)
		// 40 records are 14 pages: a pause of 600 ms after each would take more than 8 s.
		assert.Check(t, read <= drain, "%s", read)
	})
}

// refuseAll makes the log refuse all instances, or none.
func (z *zone) refuseAll(refuse bool) {
	z.log.mu.Lock()
	defer z.log.mu.Unlock()
	for n := range z.instances {
		z.log.refuses[n] = refuse
	}
}

// caughtUpAfter returns how long after the given time the last instance had all records that had been
// written by then.
func (z *zone) caughtUpAfter(at time.Time) time.Duration {
	end := z.log.endAt(at)
	z.mu.Lock()
	defer z.mu.Unlock()
	longest := time.Duration(0)
	for _, i := range z.instances {
		known, ok := i.nextAt[end-1]
		if !ok {
			known = time.Now()
		}
		longest = max(longest, known.Sub(at))
	}
	return longest
}
