package eventloop

import "container/heap"

// Timer calls a function once.
type Timer struct {
	due       Timestamp
	callback  func()
	heapIndex int // in the heap; -1: not in it
}

// At calls f at the given time, in the turn that finds it due.
func (l *Loop) At(at Timestamp, f func()) *Timer {
	t := &Timer{due: at, callback: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop takes a timer back. A nil, fired or stopped one is left alone.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&l.timers, t.heapIndex)
	}
}

func (l *Loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].due <= l.now {
		heap.Pop(&l.timers).(*Timer).callback()
	}
}

type timerHeap []*Timer

func (t timerHeap) Len() int { return len(t) }

func (t timerHeap) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

func (t *timerHeap) Push(x any) {
	x.(*Timer).heapIndex = len(*t)
	*t = append(*t, x.(*Timer))
}

func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.heapIndex = -1
	return x
}
