// Package eventloop is an epoll event loop with timers and non-blocking TCP connections. It transfers bytes
// and knows no protocol.
//
// A Loop and all that belongs to it are used from a single goroutine; a callback must not block. One turn of
// the loop is Wait, which polls for readiness and runs the callbacks, then whatever the program does with the
// results, then Flush, which writes the output that was queued in the turn.
package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is how much one read returns at most.
	readBufferBytes = 128 << 10

	// maxEventsPerPoll exceeds the number of descriptors that a process has under any usual limit, so that
	// one poll reports all that is ready: the coordinator's watch event is then handled in the same turn as
	// requests that arrived with it.
	maxEventsPerPoll = 4096

	// maxPollOverrun is how much longer than its timeout a poll may take without counting as delayed.
	maxPollOverrun = 10 * time.Millisecond

	// maxPollFailures is the number of consecutive failed polls at which Wait returns an error.
	maxPollFailures = 100

	// pollFailurePause is the pause after a failed poll.
	pollFailurePause = time.Millisecond
)

// Loop polls for readiness and runs timers.
type Loop struct {
	epollFD           int
	registrations     map[int]registration // by descriptor
	registrationCount int32                // registrations so far, for generations
	timers            timerHeap
	clock             TimeSource
	now               Timestamp // time of this turn

	toFlush       []*Conn // connections whose flush is scheduled
	bufferedBytes int     // in the input buffers and output queues of all connections
	readBuffer    []byte  // shared by all reads
	eventBuffer   []unix.EpollEvent

	pollTimeout     time.Duration // of the last poll
	pollFailures    int           // consecutive failed polls
	pollComplete    bool          // the last poll reported all that was ready
	pollEnd         Timestamp     // when the last poll returned; its start if it took too long
	previousPollEnd Timestamp     // pollEnd of the last complete poll before this turn: new events are later
}

// NewLoop returns an empty loop that takes its time from clock.
func NewLoop(clock TimeSource) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, wrapSetupError(fmt.Errorf("epoll_create: %w", err))
	}
	l := &Loop{
		epollFD:       epollFD,
		registrations: map[int]registration{},
		clock:         clock,
		readBuffer:    make([]byte, readBufferBytes),
		eventBuffer:   make([]unix.EpollEvent, maxEventsPerPoll),
	}
	l.updateTime()
	return l, nil
}

// Now is the clock's time at the start of this turn's callbacks.
func (l *Loop) Now() Timestamp { return l.now }

// EarliestArrival is a time before which nothing of what is read in this turn had arrived.
func (l *Loop) EarliestArrival() Timestamp { return l.previousPollEnd }

// CurrentTime reads the clock, for uses for which the time of the turn may be too old.
func (l *Loop) CurrentTime() Timestamp { return l.clock.Now() }

// BufferedBytes is the size of all connections' buffers: input not consumed and output not written.
func (l *Loop) BufferedBytes() int { return l.bufferedBytes }

func (l *Loop) updateTime() { l.now = l.clock.Now() }

// Wait blocks until a descriptor is ready, the next timer is due or maxWait has passed, and runs the
// callbacks of all descriptors that are ready and then of all timers that are due. An error means that
// polling fails permanently.
func (l *Loop) Wait(maxWait time.Duration) error {
	if l.pollComplete {
		l.previousPollEnd = l.pollEnd
	}
	l.updateTime()
	events, err := l.poll(maxWait)
	if err != nil {
		return err
	}
	l.dispatch(events)
	l.fireTimers()
	return nil
}

// poll waits for readiness and returns the events, which are valid until the next poll.
func (l *Loop) poll(maxWait time.Duration) ([]unix.EpollEvent, error) {
	if len(l.timers) > 0 {
		maxWait = min(maxWait, l.timers[0].due-l.now)
	}
	l.pollTimeout = l.clock.PollTimeout(max(maxWait, 0))
	timeoutMillis := int((l.pollTimeout + time.Millisecond - 1) / time.Millisecond) // rounded up
	count, err := System.Wait(l.epollFD, l.eventBuffer, timeoutMillis)
	err = l.checkPollError(err)
	if err != nil {
		return nil, err
	}
	l.recordPoll(count)
	return l.eventBuffer[:max(count, 0)], nil
}

// recordPoll updates the loop's time and notes when the poll ended and whether it was complete. A failed
// poll, such as one that a signal interrupted, has a negative count. Of a poll that took too long it is
// unknown whether the process was stopped before or after the system collected the result; the poll then
// counts as ended when it started.
func (l *Loop) recordPoll(count int) {
	pollStart := l.now
	l.updateTime()
	l.pollEnd = l.now
	if l.now-pollStart > l.pollTimeout+maxPollOverrun {
		l.pollEnd = pollStart
	}
	l.pollComplete = count >= 0 && count < len(l.eventBuffer)
}

// checkPollError counts failed polls and returns an error when too many fail in a row. A single failure, such
// as one for lack of memory, may be temporary. An interrupted poll is none.
func (l *Loop) checkPollError(err error) error {
	if err == nil || errors.Is(err, unix.EINTR) {
		l.pollFailures = 0
		return nil
	}
	l.pollFailures++
	if l.pollFailures >= maxPollFailures {
		return fmt.Errorf("epoll_wait: %w", err)
	}
	time.Sleep(pollFailurePause)
	return nil
}

// Flush writes the output that was queued in this turn, as far as the peers accept it.
func (l *Loop) Flush() {
	for len(l.toFlush) > 0 {
		conns := l.toFlush
		l.toFlush = nil
		for _, c := range conns {
			c.flushScheduled = false
			c.flush()
		}
	}
}
