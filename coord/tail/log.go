package tail

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// purpose is the reason for a read of the log.
type purpose int

const (
	// purposeProbe determines the first and end offsets of the log.
	purposeProbe purpose = iota
	// purposeFollow reads the next records.
	purposeFollow
	// purposeSearch searches for a snapshot.
	purposeSearch
)

// logState is the state of the log and of its reads.
type logState struct {
	activeRead ReadID // 0 if none
	purpose    purpose
	deadline   time.Time
	retryAt    time.Time // end of the delay after a failure
	failures   int
	probeAt    time.Time

	first platform.Offset // lowest retained offset
	end   platform.Offset // highest end observed
	// target is the first end observed after the start; 0 if none yet. The
	// tailer is ready once it has reached this offset.
	target platform.Offset
}

// updateBounds merges the first and end offsets of a page. It never lowers either
// offset, so answers that arrive out of order are harmless.
func (l *logState) updateBounds(page platform.Page) {
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
	t.log.updateBounds(event.Page)
	t.lastAnswer = t.now
	if event.Read != t.log.activeRead {
		return t.deliver(event.Page.Records)
	}
	t.log.activeRead = 0
	t.log.failures = 0
	if t.log.purpose == purposeSearch {
		return t.handleSearchPage(event.Page)
	}
	effects := t.deliver(event.Page.Records)
	t.recordGap(event.Page)
	return effects
}

// recordGap raises the first retained offset if the first record of a page is
// above t.next. The records in between are lost, whatever first offset the log
// reports.
func (t *Tailer) recordGap(page platform.Page) {
	if len(page.Records) > 0 && page.Records[0].Offset > t.next {
		t.log.first = max(t.log.first, page.Records[0].Offset)
	}
}

func (t *Tailer) handleLogFailed(event LogFailed) {
	if event.Read != t.log.activeRead || event.Read == 0 {
		return
	}
	if !event.Truncated {
		t.recordLogFailure()
		return
	}
	t.log.activeRead = 0
	t.log.failures = 0
	t.log.first = max(t.log.first, event.First)
	t.lastAnswer = t.now
	t.search = nil
}

func (t *Tailer) recordLogFailure() {
	t.log.activeRead = 0
	t.log.failures++
	t.log.retryAt = t.now.Add(t.retryDelay(t.log.failures))
}

// planLog returns the next read of the log, if one is due.
func (t *Tailer) planLog() (Effect, bool) {
	if t.log.activeRead != 0 || t.now.Before(t.log.retryAt) {
		return nil, false
	}
	switch {
	case t.log.target == 0 || t.log.end < t.log.first:
		return t.readLog(purposeProbe, max(t.next, t.log.first), 1, 0), true
	case t.needsSnapshot():
		return t.planSearch()
	case t.isReader():
		return t.readLog(purposeFollow, t.next, t.cfg.PageRecords, t.pollWait()), true
	case t.shouldReadLog():
		return t.readLog(purposeFollow, t.next, t.cfg.PageRecords, 0), true
	default:
		return nil, false
	}
}

// pollWait returns how long a read may wait for the first record: 0 while the
// log is known to have more.
func (t *Tailer) pollWait() time.Duration {
	if t.log.end > t.next {
		return 0
	}
	return t.cfg.LongPoll
}

// shouldReadLog reports whether a follower should read the log itself now.
func (t *Tailer) shouldReadLog() bool {
	if t.now.Sub(t.lastAnswer) >= t.cfg.SilenceTimeout || !t.now.Before(t.log.probeAt) {
		return true
	}
	_, ahead := t.peers.ahead(t.now, t.next)
	return t.log.end > t.next && !ahead && t.peers.activeRead == 0
}

// readLog starts a read of the log. It also schedules the next read of a follower
// that has no other reason to read the log. The time until then grows with the
// zone, so that the rate for the whole zone does not depend on its size.
func (t *Tailer) readLog(purpose purpose, from platform.Offset, limit int, wait time.Duration) ReadLog {
	t.log.activeRead = t.newRead()
	t.log.purpose = purpose
	t.log.deadline = t.now.Add(wait + t.cfg.ReadTimeout)
	zoneSize := time.Duration(max(len(t.peers.ranked), 1))
	t.log.probeAt = t.now.Add(t.jitter(2 * zoneSize * t.cfg.ZoneProbeInterval))
	return ReadLog{Read: t.log.activeRead, From: from, Limit: limit, Wait: wait}
}
