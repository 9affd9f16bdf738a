package crashcause_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
)

// accusation accuses the whole request with the fingerprint, which was sent the given time before
// the crash.
func accusation(fingerprint uint64, held time.Duration, late bool) crashcause.Accusation {
	return crashcause.Accusation{Use: uses(fingerprint)[0], Begun: true, Late: late, Held: held}
}

// A rack fails while the same request is at several of its endpoints.
func TestCrashesOfOneMomentMakeNoRequestGuilty(t *testing.T) {
	l := crashcause.New()
	for n := range 5 {
		at := start.Add(time.Duration(n) * 20 * time.Millisecond)
		l.RecordCrash(lifetime(n), at, []crashcause.Accusation{accusation(1, time.Second, false)})
	}
	request := uses(1)[0].Feature
	assert.Equal(t, l.Standing(start.Add(100*time.Millisecond), request), crashcause.Questioned)
	assert.Equal(t, l.Admit(start.Add(110*time.Millisecond), uses(1)).Permission, crashcause.Undecided)
	assert.Equal(t, l.Standing(start.Add(time.Second), request), crashcause.Suspected)
	l.RecordCrash(lifetime(7), start.Add(2*time.Second), []crashcause.Accusation{accusation(1, 500*time.Millisecond, false)})
	assert.Equal(t, l.Standing(start.Add(2*time.Second), request), crashcause.Guilty, "it was sent again, and crashed another one")
}

// While a request is questioned, another instance tells that it has survived.
func TestQuestionedRequestThatHasSurvivedIsSent(t *testing.T) {
	l := crashcause.New()
	for n := range 3 {
		l.RecordCrash(lifetime(n), start, []crashcause.Accusation{accusation(1, time.Second, false)})
	}
	now := start.Add(30 * time.Millisecond)
	assert.Equal(t, l.Admit(now, uses(1)).Permission, crashcause.Undecided)
	l.RecordSurvival(start.Add(-5*time.Second), uses(1)[0].Feature)
	assert.Equal(t, l.Admit(now, uses(1)).Permission, crashcause.Normal)
	assert.Equal(t, l.Admit(start.Add(5*time.Second), uses(1)).Permission, crashcause.Normal)
}

// Two requests are at the same endpoints, and the answer to one of them has gone on for a while each time.
func TestLateAccusationsExplainNoCrashThatEarlyOnesExplain(t *testing.T) {
	for _, bad := range []uint64{1, 2} {
		l := crashcause.New()
		for n := range 3 {
			l.RecordCrash(lifetime(n), start.Add(time.Duration(n)*time.Second), []crashcause.Accusation{
				accusation(bad, 100*time.Millisecond, false), accusation(3-bad, 900*time.Millisecond, true),
			})
		}
		now := start.Add(3 * time.Second)
		assert.Equal(t, l.Standing(now, uses(bad)[0].Feature), crashcause.Guilty)
		assert.Assert(t, l.Standing(now, uses(3 - bad)[0].Feature) != crashcause.Guilty)
	}
}

// Late accusations make a request guilty, but hold up no other answer to it before.
func TestLateAccusationsAloneMakeGuiltyButNotSuspected(t *testing.T) {
	l := crashcause.New()
	for n, expected := range []crashcause.Standing{crashcause.Unsuspected, crashcause.Unsuspected, crashcause.Guilty} {
		at := start.Add(time.Duration(n) * time.Second)
		l.RecordCrash(lifetime(n), at, []crashcause.Accusation{accusation(1, 900*time.Millisecond, true)})
		assert.Equal(t, l.Standing(at, uses(1)[0].Feature), expected, "after %d crashes", n+1)
	}
}
