package engine

import (
	"container/heap"
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// errQueueFull reports that too many requests are waiting for a slot.
var errQueueFull = eris.New("engine: queue full")

// scheduler grants slots in order of priority (highest first), then arrival.
type scheduler struct {
	mu       sync.Mutex
	slots    int
	maxQueue int
	running  int
	arrivals uint64
	queue    waiters
}

// waiter is a request in the queue of the scheduler.
type waiter struct {
	priority int
	arrival  uint64
	index    int // in the heap; -1 after removal
	granted  chan struct{}
}

func newScheduler(slots, maxQueue int) *scheduler {
	return &scheduler{slots: slots, maxQueue: maxQueue}
}

// acquire waits for a slot. It returns errQueueFull if maxQueue requests are already
// waiting, or the error of the context if the context ends first.
func (s *scheduler) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.slots {
		s.running++
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.maxQueue {
		s.mu.Unlock()
		return errQueueFull
	}
	s.arrivals++
	w := &waiter{priority: priority, arrival: s.arrivals, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// release passes the slot to the next waiter, or frees it if there is none.
func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.running--
		return
	}
	next := heap.Pop(&s.queue).(*waiter)
	close(next.granted)
}

// abandon removes a waiter whose context has ended.
func (s *scheduler) abandon(w *waiter) {
	s.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	s.release() // the slot was granted before the waiter could be removed
}

func (s *scheduler) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}

// waiters implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	last.index = -1
	*w = old[:len(old)-1]
	return last
}
