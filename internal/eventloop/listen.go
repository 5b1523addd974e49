package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// acceptBackoff is how long a listener rests when there is no room or the process is out of descriptors: the
// connections that wait would else wake the loop without end.
const acceptBackoff = 20 * time.Millisecond

// acceptDelayThreshold is the time in a queue that counts.
const acceptDelayThreshold = 20 * time.Millisecond

// maxAbortedAccepts is how many connections in a row may turn out to be gone before the listener rests.
const maxAbortedAccepts = 64

// Listener accepts connections.
type Listener struct {
	loop           *Loop
	fd             int
	hasCapacity    func() bool
	accept         func(*Conn) Handler
	closed         bool
	paused         bool
	backlogRemains bool // connections have been left waiting: it is not known since when
}

// Listen accepts connections on addr alone, as long as room finds room for one more; the others wait to be
// accepted. accept gives each its handler.
func (l *Loop) Listen(addr netip.AddrPort, room func() bool, accept func(*Conn) Handler) (*Listener, error) {
	fd, err := socket(addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, startError(err))
	}
	err = errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
		unix.Bind(fd, sockaddr(addr)))
	if err == nil {
		err = unix.Listen(fd, 1024)
	}
	if err != nil {
		unix.Close(fd) //nolint:errcheck // the first error is what counts
		return nil, fmt.Errorf("listen on %s: %w", addr, startError(err))
	}
	ln, err := l.newListener(fd, room, accept)
	if err != nil {
		unix.Close(fd) //nolint:errcheck // the first error is what counts
	}
	return ln, err
}

// ListenOn accepts connections on a listening socket that the process was started with, and may share with others.
func (l *Loop) ListenOn(fd int, room func() bool, accept func(*Conn) Handler) (*Listener, error) {
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err == nil && listens == 0 {
		err = errors.New("not a listening socket")
	}
	if err == nil {
		err = unix.SetNonblock(fd, true)
	}
	if err != nil {
		return nil, fmt.Errorf("listen on descriptor %d: %w", fd, startError(err))
	}
	unix.CloseOnExec(fd)
	ln, err := l.newListener(fd, room, accept)
	if err == nil {
		ln.backlogRemains = true // since before this process was started
	}
	return ln, err
}

func (l *Loop) newListener(fd int, room func() bool, accept func(*Conn) Handler) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, hasCapacity: room, accept: accept}
	if err := l.register(fd, unix.EPOLLIN, ln); err != nil {
		return nil, startError(err)
	}
	return ln, nil
}

// AcceptPending takes what waits now.
func (ln *Listener) AcceptPending() { ln.handleEvents(0) }

// HasPending says whether a connection waits to be accepted.
func (ln *Listener) HasPending() bool { return !ln.closed && ln.backlogNonEmpty() }

// Close stops accepting.
func (ln *Listener) Close() {
	if !ln.closed {
		ln.closed = true
		ln.loop.closeDescriptor(ln.fd)
	}
}

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
