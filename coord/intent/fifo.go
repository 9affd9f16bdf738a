package intent

// fifo is a queue of touches, oldest first.
type fifo struct {
	items []touch
	head  int
}

func (f *fifo) push(t touch) { f.items = append(f.items, t) }

func (f *fifo) peek() (touch, bool) {
	if f.head == len(f.items) {
		return touch{}, false
	}
	return f.items[f.head], true
}

// pop removes the oldest touch. The space of removed touches is reused once
// they are half of the queue.
func (f *fifo) pop() (touch, bool) {
	oldest, ok := f.peek()
	if !ok {
		return touch{}, false
	}
	f.head++
	if f.head*2 >= len(f.items) {
		n := copy(f.items, f.items[f.head:])
		f.items, f.head = f.items[:n], 0
	}
	return oldest, true
}
