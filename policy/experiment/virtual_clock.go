package experiment

import (
	"container/heap"
	"time"
)

// virtualClock runs scheduled actions in order of their time. Actions of the same
// time run in the order in which they were scheduled.
type virtualClock struct {
	now       time.Time
	timers    timerHeap
	scheduled int
}

type timer struct {
	at       time.Time
	sequence int
	action   func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// clockStart is the time at which every virtualClock starts, in Unix seconds.
const clockStart = 1_700_000_000

func newVirtualClock() *virtualClock { return &virtualClock{now: time.Unix(clockStart, 0)} }

// elapsed returns the virtual time since the start.
func (c *virtualClock) elapsed() time.Duration { return c.now.Sub(time.Unix(clockStart, 0)) }

// after schedules an action after a delay.
func (c *virtualClock) after(delay time.Duration, action func()) {
	c.scheduled++
	heap.Push(&c.timers, timer{at: c.now.Add(max(0, delay)), sequence: c.scheduled, action: action})
}

// every schedules an action at regular intervals, the first time after the offset.
func (c *virtualClock) every(offset, interval time.Duration, action func()) {
	c.after(offset, func() {
		action()
		c.every(interval, interval, action)
	})
}

// run executes actions for the given virtual time.
func (c *virtualClock) run(length time.Duration) {
	end := c.now.Add(length)
	for len(c.timers) > 0 && !c.timers[0].at.After(end) {
		next := heap.Pop(&c.timers).(timer)
		c.now = next.at
		next.action()
	}
	c.now = end
}
