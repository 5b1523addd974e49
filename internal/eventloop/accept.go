package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// AcceptPending takes what waits now.
func (ln *Listener) AcceptPending() { ln.handleEvents(0) }

// HasPending says whether a connection waits to be accepted.
func (ln *Listener) HasPending() bool { return !ln.closed && ln.backlogNonEmpty() }

func (ln *Listener) handleEvents(uint32) {
	defer func() { ln.backlogRemains = !ln.closed && ln.backlogNonEmpty() }()
	for failures := 0; !ln.closed && ln.backlogNonEmpty(); {
		if failures == maxAbortedAccepts || !ln.hasCapacity() {
			ln.pause()
			return
		}
		fd, err := System.Accept(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			ln.addConn(fd)
		case errors.Is(err, unix.EAGAIN): // another process took it
			return
		case isAborted(err):
			failures++
		default:
			ln.pause()
			return
		}
	}
}

// isAborted reports errors of accept that concern one connection alone, which is gone by then: the next one may be sound.
func isAborted(err error) bool {
	return isOneOf(err, unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT)
}

// backlogNonEmpty says whether a connection waits to be accepted: room must not be made for none. Another process that shares
// the socket may have taken the one that woke this one.
func (ln *Listener) backlogNonEmpty() bool {
	fds := []unix.PollFd{{Fd: int32(ln.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// pause leaves connections waiting for a while. The timer comes back until the listener is watched again: nobody would be
// let in otherwise.
func (ln *Listener) pause() {
	ln.loop.modify(ln.fd, 0) //nolint:errcheck // it is woken more often then
	if !ln.paused {
		ln.paused = true
		ln.loop.At(ln.loop.now+acceptBackoff, ln.resume)
	}
}

func (ln *Listener) resume() {
	ln.paused = false
	if ln.closed {
		return
	}
	if err := ln.loop.modify(ln.fd, unix.EPOLLIN); err != nil {
		ln.pause()
	}
}

func (ln *Listener) addConn(fd int) {
	l := ln.loop
	c := &Conn{loop: l, fd: fd, connected: true, interest: unix.EPOLLIN | unix.EPOLLRDHUP, createdAt: l.now, lastReceivedAt: l.now, lastWrittenAt: l.now}
	c.delayBeforeAccept = l.SchedulingDelay(l.pollTimeout)
	c.waitedForAccept = ln.backlogRemains || c.delayBeforeAccept > acceptDelayThreshold
	if !ln.backlogRemains {
		c.connectedAfter = l.previousPollEnd
	}
	c.handler = ln.accept(c)
	c.setOptions()
	c.register()
}

// setOptions has small answers sent at once, and vanished clients noticed. A client is not turned away because that fails: it
// may have asked already.
func (c *Conn) setOptions() {
	if c.closed {
		return
	}
	err := errors.Join(
		System.SetOption(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1),
		System.SetOption(c.fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1))
	if isLocalError(err) {
		c.loop.At(c.loop.now+retryInterval, c.setOptions)
	}
}

// register has epoll watch an accepted connection, as soon as there is memory for it.
func (c *Conn) register() {
	if c.closed {
		return
	}
	if err := c.loop.register(c.fd, c.interest, c); err != nil {
		c.loop.At(c.loop.now+retryInterval, c.register)
		return
	}
	c.registered = true
}
