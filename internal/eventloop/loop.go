// Package eventloop provides an epoll event loop with timers and non-blocking TCP connections. It transfers
// bytes and is independent of the protocol.
//
// A Loop with its connections, listeners and timers is used from a single goroutine, and its callbacks must
// not block. A turn of the loop consists of Wait, which polls for readiness and runs the callbacks, of
// whatever the program does with the results, and of Flush, which writes the output that was queued in the
// turn.
package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the size of the read buffer, and so the maximum that one read returns.
	readBufferBytes = 128 << 10

	// maxEventsPerPoll exceeds the number of descriptors that a process has under any usual limit, so that
	// one poll reports all descriptors that are ready. An event of the coordinator's watch is then handled in
	// the same turn as requests that arrived at the same time.
	maxEventsPerPoll = 4096

	// maxPollOverrun is the time by which a poll may exceed its timeout without counting as delayed.
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
	registrationCount int32                // number of registrations so far; numbers the generations
	timers            timerHeap
	clock             TimeSource
	now               Timestamp // see Now

	ready [groupCount][]*Conn // connections with epoll events to handle, or input left from an earlier turn
	slice time.Duration       // for the input of each connection of the group that is served

	groupYielded bool // YieldGroup was called for the group that is served

	toFlush       []*Conn // connections whose flush is scheduled
	bufferedBytes int     // memory of the input buffers and output queues of all connections
	readBuffer    []byte  // shared by all reads
	eventBuffer   []unix.EpollEvent

	pollTimeout     time.Duration // of the last poll
	pollFailures    int           // consecutive failed polls
	pollComplete    bool          // the last poll reported all descriptors that were ready
	pollEnd         Timestamp     // when the last poll returned; its start if it took too long
	previousPollEnd Timestamp     // pollEnd of the last complete poll before this turn; this turn's events are later
}

// NewLoop returns an empty loop that reads its time from clock. The error wraps ErrLocalResourcesExhausted if
// it may be temporary.
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

// Now returns the time of this turn: the clock's time just before the turn's callbacks run.
func (l *Loop) Now() Timestamp { return l.now }

// ReadClock reads the clock. It is for uses for which the time of the turn may be too old.
func (l *Loop) ReadClock() Timestamp { return l.clock.Now() }

// BufferedBytes returns the memory of all connections' buffers: input not consumed and output not written.
func (l *Loop) BufferedBytes() int { return l.bufferedBytes }

func (l *Loop) updateTime() { l.now = l.clock.Now() }

// Wait blocks until a descriptor is ready, the next timer is due or maxWait has passed, and runs the
// callbacks of descriptors that are ready and then of timers that are due, as far as the time for each group of
// connections and for the timers suffices. The rest is left for the next call, which does not block. Wait returns an
// error when polls have failed too often in a row for the cause to be temporary.
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
	l.serveReady()
	l.fireTimers()
	return nil
}

// poll waits for readiness and returns the events, which are valid until the next poll.
func (l *Loop) poll(maxWait time.Duration) ([]unix.EpollEvent, error) {
	if l.hasReady() {
		maxWait = 0
	}
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

// recordPoll updates the loop's time and records when the poll ended and whether it was complete. count is
// negative for a failed poll, such as one that a signal interrupted. If a poll took too long, the process was
// stopped either before or after the system collected the result; since it is unknown which, the poll counts
// as having ended when it started.
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
// as one for lack of memory, may be temporary. An interrupted poll does not count as a failure.
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
