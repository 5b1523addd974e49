package eventloop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// listenBacklog is the size of a listening socket's accept queue.
const listenBacklog = 1024

// Listener accepts connections on a socket. It pauses when it cannot accept, see acceptBackoff.
type Listener struct {
	loop           *Loop
	fd             int
	ensureCapacity func() bool
	accept         func(*Conn) Handler
	closed         bool
	paused         bool // until a timer resumes accepting
	backlogRemains bool // connections were left in the accept queue; how long they have waited is unknown
}

// Listen accepts connections on addr. ensureCapacity is called before each accept; while it returns false,
// connections wait in the accept queue. accept returns the handler of a new connection. Neither must block.
// The error wraps ErrLocalResourcesExhausted if it may be temporary.
func (l *Loop) Listen(addr netip.AddrPort, ensureCapacity func() bool, accept func(*Conn) Handler) (*Listener, error) {
	fd, err := newSocket(addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, wrapSetupError(err))
	}
	if err := bindAndListen(fd, addr); err != nil {
		unix.Close(fd) //nolint:errcheck // the first error is returned
		return nil, fmt.Errorf("listen on %s: %w", addr, wrapSetupError(err))
	}
	ln, err := l.newListener(fd, ensureCapacity, accept)
	if err != nil {
		unix.Close(fd) //nolint:errcheck // the first error is returned
	}
	return ln, err
}

func bindAndListen(fd int, addr netip.AddrPort) error {
	err := errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
		unix.Bind(fd, socketAddress(addr)))
	if err != nil {
		return err
	}
	return unix.Listen(fd, listenBacklog)
}

// ListenOn accepts connections on a listening socket that the process inherited and may share with other
// processes. ensureCapacity, accept and the error are as for Listen.
func (l *Loop) ListenOn(fd int, ensureCapacity func() bool, accept func(*Conn) Handler) (*Listener, error) {
	if err := prepareInherited(fd); err != nil {
		return nil, fmt.Errorf("listen on descriptor %d: %w", fd, wrapSetupError(err))
	}
	unix.CloseOnExec(fd)
	ln, err := l.newListener(fd, ensureCapacity, accept)
	if err == nil {
		ln.backlogRemains = true // connections may have waited since before the process started
	}
	return ln, err
}

// prepareInherited checks that fd is a listening socket and makes it non-blocking.
func prepareInherited(fd int) error {
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil {
		return err
	}
	if listening == 0 {
		return errors.New("not a listening socket")
	}
	return unix.SetNonblock(fd, true)
}

func (l *Loop) newListener(fd int, ensureCapacity func() bool, accept func(*Conn) Handler) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, ensureCapacity: ensureCapacity, accept: accept}
	if err := l.register(fd, unix.EPOLLIN, ln); err != nil {
		return nil, wrapSetupError(err)
	}
	return ln, nil
}

// Close stops accepting and closes the socket.
func (ln *Listener) Close() {
	if !ln.closed {
		ln.closed = true
		ln.loop.closeDescriptor(ln.fd)
	}
}
