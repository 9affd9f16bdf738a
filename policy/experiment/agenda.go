package experiment

import (
	"container/heap"
	"time"
)

// agenda runs actions in order of their time, equal times in order of their
// coming.
type agenda struct {
	now     time.Time
	pending appointments
	count   int
}

type appointment struct {
	at     time.Time
	number int
	action func()
}

type appointments []appointment

func (a appointments) Len() int { return len(a) }

func (a appointments) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].number < a[j].number
}

func (a appointments) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *appointments) Push(x any)   { *a = append(*a, x.(appointment)) }
func (a *appointments) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// agendaStart is the time at which every agenda begins.
const agendaStart = 1_700_000_000

func newAgenda() *agenda { return &agenda{now: time.Unix(agendaStart, 0)} }

// elapsed returns the time since the beginning.
func (a *agenda) elapsed() time.Duration { return a.now.Sub(time.Unix(agendaStart, 0)) }

// after schedules an action.
func (a *agenda) after(wait time.Duration, action func()) {
	a.count++
	heap.Push(&a.pending, appointment{at: a.now.Add(max(0, wait)), number: a.count, action: action})
}

// every schedules an action again and again, first after the offset.
func (a *agenda) every(offset, interval time.Duration, action func()) {
	a.after(offset, func() {
		action()
		a.every(interval, interval, action)
	})
}

// run performs actions until the time is over.
func (a *agenda) run(length time.Duration) {
	end := a.now.Add(length)
	for len(a.pending) > 0 && !a.pending[0].at.After(end) {
		next := heap.Pop(&a.pending).(appointment)
		a.now = next.at
		next.action()
	}
	a.now = end
}
