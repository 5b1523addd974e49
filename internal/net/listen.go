package net

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// acceptPause is how long a listener rests when there is no room or the process is out of descriptors: the
// connections that wait would else wake the loop without end.
const acceptPause = 20 * time.Millisecond

// Listener accepts connections.
type Listener struct {
	loop   *Loop
	fd     int
	room   func() bool
	accept func(*Conn) Handler
	closed bool
	behind bool // connections have been left waiting: it is not known since when
}

// Listen accepts connections on addr alone, as long as room finds room for one more; the others wait to be
// accepted. accept gives each its handler.
func (l *Loop) Listen(addr netip.AddrPort, room func() bool, accept func(*Conn) Handler) (*Listener, error) {
	fd, err := socket(addr)
	if err != nil {
		return nil, err
	}
	err = errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
		unix.Bind(fd, sockaddr(addr)))
	if err == nil {
		err = unix.Listen(fd, 1024)
	}
	if err != nil {
		unix.Close(fd) //nolint:errcheck // the first error is what counts
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return l.listener(fd, room, accept)
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
		return nil, fmt.Errorf("listen on descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	return l.listener(fd, room, accept)
}

func (l *Loop) listener(fd int, room func() bool, accept func(*Conn) Handler) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, room: room, accept: accept}
	if err := l.add(fd, unix.EPOLLIN, ln); err != nil {
		unix.Close(fd) //nolint:errcheck // the first error is what counts
		return nil, err
	}
	return ln, nil
}

// Accept takes what waits now.
func (ln *Listener) Accept() { ln.ready(0) }

// Close stops accepting.
func (ln *Listener) Close() {
	if !ln.closed {
		ln.closed = true
		ln.loop.remove(ln.fd)
	}
}

func (ln *Listener) ready(uint32) {
	defer func() { ln.behind = !ln.closed && ln.waiting() }()
	for !ln.closed && ln.waiting() {
		if !ln.room() {
			ln.pause()
			return
		}
		fd, err := System.Accept(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE), errors.Is(err, unix.ENOMEM):
			ln.pause()
			return
		case errors.Is(err, unix.ECONNABORTED), errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return
		}
		ln.take(fd)
	}
}

// waiting says whether a connection waits to be accepted: room must not be made for none. Another process that shares
// the socket may have taken the one that woke this one.
func (ln *Listener) waiting() bool {
	fds := []unix.PollFd{{Fd: int32(ln.fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

func (ln *Listener) pause() {
	if err := ln.loop.change(ln.fd, 0); err != nil {
		return
	}
	ln.loop.At(ln.loop.now+acceptPause, func() {
		if !ln.closed {
			ln.loop.change(ln.fd, unix.EPOLLIN) //nolint:errcheck // a live listener's descriptor is in epoll
		}
	})
}

func (ln *Listener) take(fd int) {
	l := ln.loop
	c := &Conn{loop: l, fd: fd, up: true, events: unix.EPOLLIN | unix.EPOLLRDHUP, since: l.now, heard: l.now, wrote: l.now}
	if !ln.behind {
		c.came = l.lastPoll
	}
	c.handler = ln.accept(c)
	err := errors.Join(
		System.SetOption(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1),
		System.SetOption(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
		l.add(fd, c.events, c))
	if err != nil {
		c.fail(err)
	}
}
