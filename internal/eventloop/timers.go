package eventloop

import "container/heap"

// notInHeap is the heap index of a timer that has fired or been stopped.
const notInHeap = -1

// Timer calls a function once, see Loop.At.
type Timer struct {
	due       Timestamp
	callback  func()
	heapIndex int
}

// At calls f once, in the first turn whose time is not before at. f must not block.
func (l *Loop) At(at Timestamp, f func()) *Timer {
	t := &Timer{due: at, callback: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop cancels a timer. It does nothing for one that is nil, has fired or has been stopped.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.heapIndex != notInHeap {
		heap.Remove(&l.timers, t.heapIndex)
	}
}

// fireTimers calls the timers that are due, the earliest first, until all have been called or timerTime has passed.
func (l *Loop) fireTimers() {
	end := l.clock.Now() + timerTime
	for len(l.timers) > 0 && l.timers[0].due <= l.now {
		heap.Pop(&l.timers).(*Timer).callback()
		if l.clock.Now() >= end {
			return
		}
	}
}

// timerHeap is a container/heap of timers with the earliest first.
type timerHeap []*Timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex = i
	t[j].heapIndex = j
}

func (t *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.heapIndex = len(*t)
	*t = append(*t, timer)
}

func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	timer := (*t)[last]
	(*t)[last] = nil // lets the timer be collected
	*t = (*t)[:last]
	timer.heapIndex = notInHeap
	return timer
}
