// Package eventloop is the project's own event loop: epoll, timers, non-blocking connections with write queues, and
// pools of connections. Everything in it belongs to one goroutine. It knows bytes only, no protocol.
package eventloop

import (
	"container/heap"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// pollable is what an epoll event is delivered to.
type pollable interface{ ready(events uint32) }

// watched is what has a descriptor now. Descriptors are used again, also within one turn: an event counts for the owner that
// it was asked for alone.
type watched struct {
	owner  pollable
	number int32 // of the addition, which epoll keeps beside the descriptor
}

// Loop waits for readiness and for timers. A turn is: Wait, then what its callbacks queued is carried out,
// then Flush.
type Loop struct {
	epoll     int
	fds       map[int]watched
	added     int32 // descriptors so far
	timers    timers
	clock     TimeSource
	now       Timestamp
	lastPoll  Timestamp // when the last look at all that is ready ended: what is new in this turn came after it
	looked    Timestamp // when the look of this turn ended, or a time before that
	polledAll bool      // it was at all
	dirty     []*Conn   // with output queued in this turn
	held      int       // bytes held in all buffers and queues
	read      []byte    // shared by all reads
	events    []unix.EpollEvent
	failures  int           // of the wait, in a row
	napped    time.Duration // how long the last wait was to last at the most
}

// readSize is how much one connection may bring in one turn: none holds up the others.
const readSize = 128 << 10

// mostEvents is how many descriptors one look finds ready: more than a process holds on any usual limit, so that what the
// coordinator told is heard in the same turn as the requests that came with it.
const mostEvents = 4096

// lookSlack is what a look may take beyond the time for which it waits.
const lookSlack = 10 * time.Millisecond

// mostFailures is how often in a row the wait for readiness may fail.
const mostFailures = 100

// NewLoop returns an empty loop that takes its time from clock.
func NewLoop(clock TimeSource) (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, startError(fmt.Errorf("epoll_create: %w", err))
	}
	l := &Loop{
		epoll: epoll, fds: map[int]watched{}, clock: clock,
		read: make([]byte, readSize), events: make([]unix.EpollEvent, mostEvents),
	}
	l.tick()
	return l, nil
}

// Now is the clock time of this turn.
func (l *Loop) Now() Timestamp { return l.now }

// CurrentTime is the clock's time now, where that of the turn may be too old.
func (l *Loop) CurrentTime() Timestamp { return l.clock.Now() }

// SchedulingDelay is for how much longer than a nap the loop has not looked at what is ready: the process does not always have
// its core, and what is read in this turn may have waited for as long.
func (l *Loop) SchedulingDelay(nap time.Duration) time.Duration {
	if l.lastPoll == 0 {
		return 0
	}
	return max(0, l.now-l.lastPoll-nap)
}

// BufferedBytes is how many bytes all connections hold, received and not used or queued and not written.
func (l *Loop) BufferedBytes() int { return l.held }

// tick brings the loop's time up to date.
func (l *Loop) tick() { l.now = l.clock.Now() }

// Wait sleeps until something is ready, the next timer is due or most has passed, and runs the callbacks of all
// that is ready.
func (l *Loop) Wait(most time.Duration) error {
	if l.polledAll {
		l.lastPoll = l.looked
	}
	l.tick()
	if len(l.timers) > 0 {
		most = min(most, l.timers[0].at-l.now)
	}
	most = l.clock.PollTimeout(max(most, 0))
	l.napped = most
	millis := int((most + time.Millisecond - 1) / time.Millisecond)
	n, err := System.Wait(l.epoll, l.events, millis)
	if err := l.waitFailed(err); err != nil {
		return err
	}
	began := l.now
	l.tick()
	if l.looked = l.now; l.now-began > l.napped+lookSlack { // it was held up, and nobody knows before the look or behind it
		l.looked = began
	}
	l.polledAll = n >= 0 && n < len(l.events) // a signal, also one that had stopped the process, cuts the look short
	for _, ev := range l.events[:max(n, 0)] {
		// One closed earlier in this turn is not there any more, or has another number.
		if w, open := l.fds[int(ev.Fd)]; open && w.number == ev.Pad {
			w.owner.ready(ev.Events)
		}
	}
	l.fire()
	return nil
}

// waitFailed counts failures of the wait itself. One may pass, as for lack of memory; many in a row end the program.
func (l *Loop) waitFailed(err error) error {
	if err == nil || errors.Is(err, unix.EINTR) {
		l.failures = 0
		return nil
	}
	if l.failures++; l.failures >= mostFailures {
		return fmt.Errorf("epoll_wait: %w", err)
	}
	time.Sleep(time.Millisecond)
	return nil
}

// Flush writes what was queued in this turn, as far as the peers take it.
func (l *Loop) Flush() {
	for len(l.dirty) > 0 {
		list := l.dirty
		l.dirty = nil
		for _, c := range list {
			c.dirty = false
			c.flush()
		}
	}
}

func (l *Loop) add(fd int, events uint32, p pollable) error {
	l.added++
	event := &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.added}
	if err := System.Control(l.epoll, unix.EPOLL_CTL_ADD, fd, event); err != nil {
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	l.fds[fd] = watched{owner: p, number: l.added}
	return nil
}

func (l *Loop) change(fd int, events uint32) error {
	return System.Control(l.epoll, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.fds[fd].number})
}

// remove closes fd, which takes it out of epoll too.
func (l *Loop) remove(fd int) {
	delete(l.fds, fd)
	unix.Close(fd) //nolint:errcheck // nothing can be done about it
}

// Timer calls a function once.
type Timer struct {
	at    Timestamp
	call  func()
	place int // in the heap; -1: not in it
}

// At calls f at the given time, in the turn that finds it due.
func (l *Loop) At(at Timestamp, f func()) *Timer {
	t := &Timer{at: at, call: f}
	heap.Push(&l.timers, t)
	return t
}

// Stop takes a timer back. A nil, fired or stopped one is left alone.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.place >= 0 {
		heap.Remove(&l.timers, t.place)
	}
}

func (l *Loop) fire() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		heap.Pop(&l.timers).(*Timer).call()
	}
}

type timers []*Timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}
func (t *timers) Push(x any) {
	x.(*Timer).place = len(*t)
	*t = append(*t, x.(*Timer))
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.place = -1
	return x
}
