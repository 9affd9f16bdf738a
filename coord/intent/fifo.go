package intent

// fifo is a queue of key positions, oldest first.
type fifo struct {
	items []keyPosition
	head  int
}

func (f *fifo) push(item keyPosition) { f.items = append(f.items, item) }

func (f *fifo) peek() (keyPosition, bool) {
	if f.head == len(f.items) {
		return keyPosition{}, false
	}
	return f.items[f.head], true
}

// pop removes the oldest item. The space of removed items is reused once they
// make up half of the queue.
func (f *fifo) pop() (keyPosition, bool) {
	oldest, ok := f.peek()
	if !ok {
		return keyPosition{}, false
	}
	f.head++
	if f.head*2 >= len(f.items) {
		n := copy(f.items, f.items[f.head:])
		f.items, f.head = f.items[:n], 0
	}
	return oldest, true
}
