// Package eventloop is the project's own event loop: epoll, timers, non-blocking connections with write queues, and
// pools of connections. Everything in it belongs to one goroutine. It knows bytes only, no protocol.
package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Loop waits for readiness and for timers. A turn is: Wait, then what its callbacks queued is carried out,
// then Flush.
type Loop struct {
	epollFD           int
	registrations     map[int]registration
	registrationCount int32 // descriptors so far
	timers            timerHeap
	clock             TimeSource
	now               Timestamp
	previousPollEnd   Timestamp // when the last look at all that is ready ended: what is new in this turn came after it
	pollEnd           Timestamp // when the look of this turn ended, or a time before that
	pollComplete      bool      // it was at all
	toFlush           []*Conn   // with output queued in this turn
	bufferedBytes     int       // bytes held in all buffers and queues
	readBuffer        []byte    // shared by all reads
	events            []unix.EpollEvent
	pollFailures      int           // of the wait, in a row
	pollTimeout       time.Duration // how long the last wait was to last at the most
}

// readBufferBytes is how much one connection may bring in one turn: none holds up the others.
const readBufferBytes = 128 << 10

// maxEventsPerPoll is how many descriptors one look finds ready: more than a process holds on any usual limit, so that what the
// coordinator told is heard in the same turn as the requests that came with it.
const maxEventsPerPoll = 4096

// pollOverrun is what a look may take beyond the time for which it waits.
const pollOverrun = 10 * time.Millisecond

// maxPollFailures is how often in a row the wait for readiness may fail.
const maxPollFailures = 100

// NewLoop returns an empty loop that takes its time from clock.
func NewLoop(clock TimeSource) (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, startError(fmt.Errorf("epoll_create: %w", err))
	}
	l := &Loop{
		epollFD: epoll, registrations: map[int]registration{}, clock: clock,
		readBuffer: make([]byte, readBufferBytes), events: make([]unix.EpollEvent, maxEventsPerPoll),
	}
	l.updateTime()
	return l, nil
}

// Now is the clock time of this turn.
func (l *Loop) Now() Timestamp { return l.now }

// CurrentTime is the clock's time now, where that of the turn may be too old.
func (l *Loop) CurrentTime() Timestamp { return l.clock.Now() }

// BufferedBytes is how many bytes all connections hold, received and not used or queued and not written.
func (l *Loop) BufferedBytes() int { return l.bufferedBytes }

// updateTime brings the loop's time up to date.
func (l *Loop) updateTime() { l.now = l.clock.Now() }

// Wait sleeps until something is ready, the next timer is due or most has passed, and runs the callbacks of all
// that is ready.
func (l *Loop) Wait(most time.Duration) error {
	if l.pollComplete {
		l.previousPollEnd = l.pollEnd
	}
	l.updateTime()
	if len(l.timers) > 0 {
		most = min(most, l.timers[0].due-l.now)
	}
	most = l.clock.PollTimeout(max(most, 0))
	l.pollTimeout = most
	millis := int((most + time.Millisecond - 1) / time.Millisecond)
	n, err := System.Wait(l.epollFD, l.events, millis)
	if err := l.checkPollError(err); err != nil {
		return err
	}
	began := l.now
	l.updateTime()
	if l.pollEnd = l.now; l.now-began > l.pollTimeout+pollOverrun { // it was held up, and nobody knows before the look or behind it
		l.pollEnd = began
	}
	l.pollComplete = n >= 0 && n < len(l.events) // a signal, also one that had stopped the process, cuts the look short
	for _, ev := range l.events[:max(n, 0)] {
		// One closed earlier in this turn is not there any more, or has another number.
		if w, open := l.registrations[int(ev.Fd)]; open && w.generation == ev.Pad {
			w.owner.handleEvents(ev.Events)
		}
	}
	l.fireTimers()
	return nil
}

// checkPollError counts failures of the wait itself. One may pass, as for lack of memory; many in a row end the program.
func (l *Loop) checkPollError(err error) error {
	if err == nil || errors.Is(err, unix.EINTR) {
		l.pollFailures = 0
		return nil
	}
	if l.pollFailures++; l.pollFailures >= maxPollFailures {
		return fmt.Errorf("epoll_wait: %w", err)
	}
	time.Sleep(time.Millisecond)
	return nil
}

// Flush writes what was queued in this turn, as far as the peers take it.
func (l *Loop) Flush() {
	for len(l.toFlush) > 0 {
		list := l.toFlush
		l.toFlush = nil
		for _, c := range list {
			c.flushScheduled = false
			c.flush()
		}
	}
}
