package tail

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// purpose says what a read of the log is for.
type purpose int

const (
	// purposeProbe learns the ends of the log.
	purposeProbe purpose = iota
	// purposeFollow reads the records wanted next.
	purposeFollow
	// purposeSearch looks for a snapshot.
	purposeSearch
)

// logState is what is known of the log.
type logState struct {
	reading  ReadID // 0 if none
	purpose  purpose
	deadline time.Time
	resumeAt time.Time // end of the pause after a failure
	failures int
	probeAt  time.Time

	first platform.Offset // lowest retained
	end   platform.Offset // highest end seen
	// target is the first end seen since the start.
	target platform.Offset
}

// learn takes in the ends of the log. Wrong order of answers does no harm:
// both ends only grow.
func (l *logState) learn(page platform.Page) {
	l.first = max(l.first, page.First)
	l.end = max(l.end, page.End)
	if l.target == 0 {
		l.target = max(page.End, 1)
	}
}

func (t *Tailer) handleLogPage(event LogPage) []Effect {
	if event.Read == 0 || event.Read > t.lastRead {
		return nil
	}
	t.log.learn(event.Page)
	t.lastAnswer = t.now
	if event.Read != t.log.reading {
		return t.take(event.Page.Records)
	}
	t.log.reading = 0
	t.log.failures = 0
	if t.log.purpose == purposeSearch {
		return t.searchPage(event.Page)
	}
	effects := t.take(event.Page.Records)
	t.noteHole(event.Page)
	return effects
}

// noteHole notices that the log has no record at next although it has later
// ones: those between are lost, whatever the log says of its first offset.
func (t *Tailer) noteHole(page platform.Page) {
	if len(page.Records) > 0 && page.Records[0].Offset > t.next {
		t.log.first = max(t.log.first, page.Records[0].Offset)
	}
}

func (t *Tailer) handleLogFailed(event LogFailed) {
	if event.Read != t.log.reading || event.Read == 0 {
		return
	}
	if !event.Truncated {
		t.logFailed()
		return
	}
	t.log.reading = 0
	t.log.failures = 0
	t.log.first = max(t.log.first, event.First)
	t.lastAnswer = t.now
	t.search = nil
}

func (t *Tailer) logFailed() {
	t.log.reading = 0
	t.log.failures++
	t.log.resumeAt = t.now.Add(t.pause(t.log.failures))
}

// planLog chooses the next read of the log, if one is due.
func (t *Tailer) planLog() (Effect, bool) {
	if t.log.reading != 0 || t.now.Before(t.log.resumeAt) {
		return nil, false
	}
	switch {
	case t.log.target == 0 || t.log.end < t.log.first:
		return t.readLog(purposeProbe, max(t.next, t.log.first), 1, 0), true
	case t.needsSnapshot():
		return t.planSearch()
	case t.isReader():
		return t.readLog(purposeFollow, t.next, t.cfg.PageRecords, t.pollWait()), true
	case t.wantsLog():
		return t.readLog(purposeFollow, t.next, t.cfg.PageRecords, 0), true
	default:
		return nil, false
	}
}

// pollWait is no time while the log is known to have more.
func (t *Tailer) pollWait() time.Duration {
	if t.log.end > t.next {
		return 0
	}
	return t.cfg.LongPoll
}

// wantsLog reports whether a follower should read the log itself now.
func (t *Tailer) wantsLog() bool {
	if t.now.Sub(t.lastAnswer) >= t.cfg.Silence || !t.now.Before(t.log.probeAt) {
		return true
	}
	_, ahead := t.peers.ahead(t.now, t.next)
	return t.log.end > t.next && !ahead && t.peers.reading == 0
}

func (t *Tailer) readLog(purpose purpose, from platform.Offset, limit int, wait time.Duration) ReadLog {
	t.log.reading = t.newRead()
	t.log.purpose = purpose
	t.log.deadline = t.now.Add(wait + t.cfg.ReadTimeout)
	zoneSize := time.Duration(max(len(t.peers.ranked), 1))
	t.log.probeAt = t.now.Add(t.jitter(2 * zoneSize * t.cfg.ZoneProbe))
	return ReadLog{Read: t.log.reading, From: from, Limit: limit, Wait: wait}
}
