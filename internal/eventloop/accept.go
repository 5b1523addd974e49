package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptBackoff is how long a listener pauses when there is no capacity or accept fails: the connections
	// that wait would otherwise wake the loop continuously.
	acceptBackoff = 20 * time.Millisecond

	// maxAbortedAccepts is how many connections may turn out to be aborted in one turn before the listener
	// pauses.
	maxAbortedAccepts = 64
)

// AcceptPending accepts the connections that wait now.
func (ln *Listener) AcceptPending() { ln.acceptAll() }

// HasPending reports whether a connection waits to be accepted.
func (ln *Listener) HasPending() bool { return !ln.closed && ln.backlogNonEmpty() }

// handleEvents accepts connections, whatever the events are.
func (ln *Listener) handleEvents(uint32) { ln.acceptAll() }

// acceptAll accepts the connections that wait, as far as there is capacity.
func (ln *Listener) acceptAll() {
	ln.acceptWhilePossible()
	ln.backlogRemains = ln.HasPending()
}

func (ln *Listener) acceptWhilePossible() {
	aborted := 0
	for ln.HasPending() {
		if aborted == maxAbortedAccepts || !ln.ensureCapacity() {
			ln.pause()
			return
		}
		fd, err := System.Accept(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			ln.addConn(fd)
		case errors.Is(err, unix.EAGAIN): // another process that shares the socket accepted the connection
			return
		case isAborted(err):
			aborted++
		default:
			ln.pause()
			return
		}
	}
}

// backlogNonEmpty reports whether a connection waits to be accepted. It is checked before ensureCapacity, which
// may evict another connection: a process that shares the socket may have accepted the one that woke this
// process.
func (ln *Listener) backlogNonEmpty() bool {
	fds := []unix.PollFd{{Fd: int32(ln.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// pause leaves connections waiting until resume.
func (ln *Listener) pause() {
	ln.loop.modify(ln.fd, 0) //nolint:errcheck // the loop is only woken more often if it fails
	if !ln.paused {
		ln.paused = true
		ln.loop.At(ln.loop.now+acceptBackoff, ln.resume)
	}
}

// resume watches the listener again. If epoll refuses that, another pause follows: no connection would be
// accepted any more otherwise.
func (ln *Listener) resume() {
	ln.paused = false
	if ln.closed {
		return
	}
	if err := ln.loop.modify(ln.fd, unix.EPOLLIN); err != nil {
		ln.pause()
	}
}

// addConn sets up an accepted connection.
func (ln *Listener) addConn(fd int) {
	l := ln.loop
	schedulingDelay := l.SchedulingDelay(l.pollTimeout)
	c := &Conn{
		loop:           l,
		fd:             fd,
		connected:      true,
		interest:       unix.EPOLLIN | unix.EPOLLRDHUP,
		createdAt:      l.now,
		lastReceivedAt: l.now,
		lastWrittenAt:  l.now,
		delays: inputDelays{
			delayBeforeAccept: schedulingDelay,
			waitedForAccept:   ln.backlogRemains || schedulingDelay > acceptDelayThreshold,
		},
	}
	if !ln.backlogRemains {
		c.delays.connectedAfter = l.previousPollEnd
	}
	c.handler = ln.accept(c)
	c.setAcceptedOptions()
	c.registerAccepted()
}

// setAcceptedOptions has small answers sent without delay and vanished clients detected. It is attempted
// again when it fails for lack of local resources; the connection is served meanwhile.
func (c *Conn) setAcceptedOptions() {
	if c.closed {
		return
	}
	err := errors.Join(
		System.SetOption(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1),
		System.SetOption(c.fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1))
	if isLocalError(err) {
		c.loop.At(c.loop.now+retryInterval, c.setAcceptedOptions)
	}
}

// registerAccepted has epoll watch an accepted connection. It is attempted again until it succeeds.
func (c *Conn) registerAccepted() {
	if c.closed {
		return
	}
	if err := c.loop.register(c.fd, c.interest, c); err != nil {
		c.loop.At(c.loop.now+retryInterval, c.registerAccepted)
		return
	}
	c.registered = true
}
