package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptBackoff is the pause of a listener after it found no capacity or accept failed. Without a pause, the
	// connections in the accept queue would wake the loop continuously.
	acceptBackoff = 20 * time.Millisecond

	// maxAbortedAccepts is the number of aborted connections in one turn at which a listener pauses.
	maxAbortedAccepts = 64
)

// AcceptPending accepts the connections in the accept queue, as far as there is capacity.
func (ln *Listener) AcceptPending() { ln.acceptAll() }

// HasPending reports whether the listener is open and a connection waits in the accept queue.
func (ln *Listener) HasPending() bool { return !ln.closed && ln.backlogNonEmpty() }

// handleEvents accepts connections, whatever the events are.
func (ln *Listener) handleEvents(uint32) { ln.acceptAll() }

// acceptAll accepts connections until the queue is empty or the listener pauses, and records whether any
// remain in the queue.
func (ln *Listener) acceptAll() {
	ln.acceptWhilePossible()
	ln.backlogRemains = ln.HasPending()
}

// acceptWhilePossible accepts connections until the queue is empty or acceptTime has passed. It pauses the listener if
// there is no capacity, accept fails or too many connections are aborted.
func (ln *Listener) acceptWhilePossible() {
	aborted := 0
	end := ln.loop.clock.Now() + acceptTime
	for accepted := 0; ln.HasPending(); accepted++ {
		if accepted > 0 && ln.loop.clock.Now() >= end {
			return
		}
		if aborted == maxAbortedAccepts || !ln.ensureCapacity() {
			ln.pause()
			return
		}
		fd, err := System.Accept(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			ln.addConn(fd)
		case errors.Is(err, unix.EAGAIN): // accepted by another process that shares the socket
			return
		case isAborted(err):
			aborted++
		default:
			ln.pause()
			return
		}
	}
}

// backlogNonEmpty reports whether a connection waits in the accept queue. It is checked before each call of
// ensureCapacity, which may evict another connection: the eviction would be in vain if the connection that
// woke this process has been accepted by another process that shares the socket.
func (ln *Listener) backlogNonEmpty() bool {
	fds := []unix.PollFd{{Fd: int32(ln.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// pause stops accepting for acceptBackoff. Connections wait in the accept queue meanwhile.
func (ln *Listener) pause() {
	ln.loop.modify(ln.fd, 0) //nolint:errcheck // if this fails, the loop is only woken more often
	if !ln.paused {
		ln.paused = true
		ln.loop.At(ln.loop.now+acceptBackoff, ln.resume)
	}
}

// resume watches the listener again. If epoll refuses, the listener pauses and tries again later; otherwise
// no connection would ever be accepted again.
func (ln *Listener) resume() {
	ln.paused = false
	if ln.closed {
		return
	}
	if err := ln.loop.modify(ln.fd, unix.EPOLLIN); err != nil {
		ln.pause()
	}
}

// addConn sets up an accepted connection and calls accept for its handler.
func (ln *Listener) addConn(fd int) {
	l := ln.loop
	schedulingDelay := l.SchedulingDelay(l.pollTimeout)
	c := &Conn{
		loop:           l,
		fd:             fd,
		connected:      true,
		interest:       unix.EPOLLIN | unix.EPOLLRDHUP,
		group:          Clients,
		createdAt:      l.now,
		lastReceivedAt: l.now,
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

// setAcceptedOptions sets TCP_NODELAY, which sends small answers without delay, and SO_KEEPALIVE, which
// detects vanished clients. A failure for lack of local resources is retried while the connection is served.
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

// registerAccepted registers an accepted connection with epoll, and retries until that succeeds.
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
