package eventloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// finishConnect looks at how a connect ended.
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
		return // not yet, or not known: it is looked at again, until the connect times out
	}
	c.loop.Stop(c.connectTimer)
	c.connected, c.lastReceivedAt, c.lastWrittenAt, c.connectDuration = true, c.loop.now, c.loop.now, c.Age()
	c.scheduleFlush()
}

// Dial starts a connection. Output may be queued at once; it is written when the connection is up. One that is
// not up within timeout has failed.
func (l *Loop) Dial(addr netip.AddrPort, timeout time.Duration, h Handler) (*Conn, error) {
	fd, err := socket(addr)
	if err != nil {
		return nil, connectError(addr, err)
	}
	c := &Conn{loop: l, fd: fd, handler: h, interest: unix.EPOLLOUT, createdAt: l.now, lastReceivedAt: l.now, lastWrittenAt: l.now}
	err = System.Connect(fd, sockaddr(addr))
	if err != nil && !isOneOf(err, unix.EINPROGRESS, unix.EINTR) { // an interrupted connect goes on as well
		unix.Close(fd) //nolint:errcheck // the connect's error is what counts
		return nil, connectError(addr, err)
	}
	if err := l.register(fd, c.interest, c); err != nil {
		unix.Close(fd) //nolint:errcheck // as above
		return nil, connectError(addr, err)
	}
	c.registered = true
	c.connectTimer = l.At(l.now+timeout, func() { c.Fail(ErrConnectTimeout) })
	return c, nil
}

// connectError is how a connect failed.
func connectError(addr netip.AddrPort, err error) error {
	if isLocalError(err) {
		err = fmt.Errorf("%w: %w", ErrLocalResources, err)
	}
	return fmt.Errorf("%w: connect %s: %w", ErrNotConnected, addr, err)
}

func socket(addr netip.AddrPort) (int, error) {
	family := unix.AF_INET
	if addr.Addr().Is6() {
		family = unix.AF_INET6
	}
	fd, err := System.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	if err := System.SetOption(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1); err != nil {
		unix.Close(fd) //nolint:errcheck // the first error is what counts
		return -1, fmt.Errorf("setsockopt: %w", err)
	}
	return fd, nil
}

func sockaddr(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}
