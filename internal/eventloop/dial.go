package eventloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Dial starts a connection to addr. Output may be queued at once; it is written when the connection is
// established. A connection that is not established within timeout fails with ErrConnectTimeout. An error that
// Dial returns wraps ErrNotConnected. If it was caused by this host or process, and so says nothing about the
// peer, it wraps ErrLocalResourcesExhausted as well.
func (l *Loop) Dial(addr netip.AddrPort, timeout time.Duration, h Handler) (*Conn, error) {
	fd, err := newSocket(addr)
	if err != nil {
		return nil, connectError(addr, err)
	}
	c := &Conn{
		loop:           l,
		fd:             fd,
		handler:        h,
		interest:       unix.EPOLLOUT,
		group:          Servers,
		createdAt:      l.now,
		lastReceivedAt: l.now,
	}
	err = System.Connect(fd, socketAddress(addr))
	if err != nil && !isOneOf(err, unix.EINPROGRESS, unix.EINTR) { // an interrupted connect continues as well
		unix.Close(fd) //nolint:errcheck // the connect's error is returned
		return nil, connectError(addr, err)
	}
	if err := l.register(fd, c.interest, c); err != nil {
		unix.Close(fd) //nolint:errcheck // the registration's error is returned
		return nil, connectError(addr, err)
	}
	c.registered = true
	c.connectTimer = l.At(l.now+timeout, func() { c.Fail(ErrConnectTimeout) })
	return c, nil
}

// finishConnect checks the result of a connect. If the connect is still pending or its result unknown, the
// connection is left as it is, and the next event or the connect timeout decides.
func (c *Conn) finishConnect() {
	code, err := System.GetOption(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		c.Fail(err)
		return
	}
	if err := System.PeerName(c.fd); err != nil {
		return
	}
	c.loop.Stop(c.connectTimer)
	c.connected = true
	c.lastReceivedAt = c.loop.now
	c.connectDuration = c.Age()
	c.scheduleFlush()
}

// connectError wraps the error of connecting to addr.
func connectError(addr netip.AddrPort, err error) error {
	if isLocalError(err) {
		err = fmt.Errorf("%w: %w", ErrLocalResourcesExhausted, err)
	}
	return fmt.Errorf("%w: connect %s: %w", ErrNotConnected, addr, err)
}

// newSocket returns a non-blocking TCP socket of addr's family that sends small writes without delay.
func newSocket(addr netip.AddrPort) (int, error) {
	family := unix.AF_INET
	if addr.Addr().Is6() {
		family = unix.AF_INET6
	}
	fd, err := System.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	if err := System.SetOption(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1); err != nil {
		unix.Close(fd) //nolint:errcheck // the first error is returned
		return -1, fmt.Errorf("setsockopt: %w", err)
	}
	return fd, nil
}

// socketAddress returns addr in the form that system calls take.
func socketAddress(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}
