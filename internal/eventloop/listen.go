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

// Close stops accepting.
func (ln *Listener) Close() {
	if !ln.closed {
		ln.closed = true
		ln.loop.closeDescriptor(ln.fd)
	}
}
