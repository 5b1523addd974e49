package eventloop

import (
	"cmp"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// substitute puts calls in for one test.
func substitute(t *testing.T, change func(*SystemCalls)) {
	t.Helper()
	before := System
	t.Cleanup(func() { System = before })
	change(&System)
}

// echo answers with what it gets, and ends with its peer.
type echo struct {
	conn   *Conn
	ended  error
	passed []byte
}

func (e *echo) Receive(data []byte) (int, error) {
	e.passed = append(e.passed, data...)
	e.conn.Write(append([]byte(nil), data...))
	return len(data), nil
}

func (e *echo) Closed(err error) { e.ended = err }

// port is a listener with a loop of its own.
type port struct {
	*Listener
	loop *Loop
	addr string
}

// newPort listens on loopback, as long as room is found for one more.
func newPort(t *testing.T, room func() bool, accept func(*Conn) Handler) *port {
	t.Helper()
	loop, err := NewLoop(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	ln, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), room, accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ln.Close)
	name, err := unix.Getsockname(ln.fd)
	if err != nil {
		t.Fatal(err)
	}
	at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(name.(*unix.SockaddrInet4).Port))
	return &port{ln, loop, at.String()}
}

func (p *port) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// turns runs a loop until done, for a second at most, and returns how many turns that took.
func turns(t *testing.T, loop *Loop, done func() bool) (count int) {
	t.Helper()
	for end := time.Now().Add(time.Second); !done() && time.Now().Before(end); count++ {
		if err := loop.Wait(10 * time.Millisecond); err != nil {
			t.Fatal(err)
		}
		loop.Flush()
	}
	return count
}

// failTimes fails a call so often, then lets it through.
func failTimes(times int, code unix.Errno, real func() error) error {
	if times > 0 {
		return code
	}
	return real()
}

// A client that connects while a call fails is served once it works again, and the loop does not spin
// meanwhile.
func TestClientIsServedThoughCallsFail(t *testing.T) {
	const failing = 3
	failures := map[string]func(*SystemCalls, *int, unix.Errno){
		"accept": func(s *SystemCalls, calls *int, code unix.Errno) {
			real := s.Accept
			s.Accept = func(fd, flags int) (accepted int, err error) {
				*calls++
				err = failTimes(failing+1-*calls, code, func() error { accepted, err = real(fd, flags); return err })
				return accepted, err
			}
		},
		"setsockopt": func(s *SystemCalls, calls *int, code unix.Errno) {
			real := s.SetOption
			s.SetOption = func(fd, level, option, value int) error {
				*calls++
				return failTimes(failing+1-*calls, code, func() error { return real(fd, level, option, value) })
			}
		},
		"epoll_ctl": func(s *SystemCalls, calls *int, code unix.Errno) {
			real := s.Control
			s.Control = func(epoll, operation, fd int, event *unix.EpollEvent) error {
				*calls++
				return failTimes(failing+1-*calls, code, func() error { return real(epoll, operation, fd, event) })
			}
		},
		"read": func(s *SystemCalls, calls *int, code unix.Errno) {
			real := s.Read
			s.Read = func(fd int, data []byte) (n int, err error) {
				*calls++
				err = failTimes(failing+1-*calls, code, func() error { n, err = real(fd, data); return err })
				return n, err
			}
		},
		"write": func(s *SystemCalls, calls *int, code unix.Errno) {
			real := s.Write
			s.Write = func(fd int, data []byte) (n int, err error) {
				*calls++
				err = failTimes(failing+1-*calls, code, func() error { n, err = real(fd, data); return err })
				return n, err
			}
		},
	}
	codes := map[string][]unix.Errno{
		"accept": {unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT,
			unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM},
		"setsockopt": {unix.ENOBUFS, unix.ENOMEM},
		"epoll_ctl":  {unix.ENOMEM, unix.ENOSPC},
		"read":       {unix.EINTR, unix.ENOBUFS, unix.ENOMEM},
		"write":      {unix.EINTR, unix.ENOBUFS, unix.ENOMEM},
	}
	for call, fail := range failures {
		for _, code := range codes[call] {
			t.Run(call+" "+code.Error(), func(t *testing.T) {
				var server *echo
				p := newPort(t, func() bool { return true }, func(c *Conn) Handler {
					server = &echo{conn: c}
					return server
				})
				client := p.dial(t)
				client.Write([]byte("hello")) //nolint:errcheck // shows in the echo
				calls := 0
				substitute(t, func(s *SystemCalls) { fail(s, &calls, code) })
				answered := make(chan error, 1)
				go func() {
					client.SetReadDeadline(time.Now().Add(time.Second)) //nolint:errcheck // shows in the read
					_, err := client.Read(make([]byte, 5))
					answered <- err
				}()
				took := turns(t, p.loop, func() bool { return len(answered) > 0 })
				if err := <-answered; err != nil {
					t.Errorf("%v; the connection ended with %v", err, server)
				}
				// The options of a connection, and its registration, are tried again beside its traffic.
				if least := map[string]int{"epoll_ctl": 1, "setsockopt": 1}[call]; calls < cmp.Or(least, failing+1) {
					t.Errorf("%d calls", calls)
				}
				if took > 100 {
					t.Errorf("%d turns", took)
				}
			})
		}
	}
}

// A listener that rested, also because accepting fails again and again, comes back though epoll refuses that
// at first.
func TestListenerComesBack(t *testing.T) {
	var server *echo
	room := false
	p := newPort(t, func() bool { return room }, func(c *Conn) Handler {
		server = &echo{conn: c}
		return server
	})
	p.dial(t)
	refused := 0
	substitute(t, func(s *SystemCalls) {
		real := s.Control
		s.Control = func(epoll, operation, fd int, event *unix.EpollEvent) error {
			if fd == p.fd && event.Events != 0 && refused < 3 {
				refused++
				return unix.ENOMEM
			}
			return real(epoll, operation, fd, event)
		}
	})
	turns(t, p.loop, func() bool { return refused > 0 })
	room = true
	calls := 0
	accept := System.Accept
	System.Accept = func(int, int) (int, error) { calls++; return -1, unix.ENOBUFS }
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); {
		turns(t, p.loop, func() bool { return !time.Now().Before(end) })
	}
	if calls > 10 {
		t.Errorf("%d calls in 100 ms", calls)
	}
	System.Accept = accept
	turns(t, p.loop, func() bool { return server != nil })
	if server == nil {
		t.Error("nobody is let in any more")
	}
}

// An answer that had come before a write fails is read first: it tells more than the loss of its connection.
func TestAnswerIsReadBeforeAFailedWriteCounts(t *testing.T) {
	for _, code := range []unix.Errno{unix.EPIPE, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH} {
		loop, err := NewLoop(SystemClock())
		if err != nil {
			t.Fatal(err)
		}
		peer, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		caller := &echo{}
		caller.conn, err = loop.Dial(netip.MustParseAddrPort(peer.Addr().String()), time.Second, caller)
		if err != nil {
			t.Fatal(err)
		}
		turns(t, loop, caller.conn.Connected)
		other, err := peer.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		if _, err := other.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(time.Second); !caller.conn.HasUnreadInput() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		substitute(t, func(s *SystemCalls) { s.Write = func(int, []byte) (int, error) { return -1, code } })
		caller.conn.Write([]byte("another call"))
		loop.Flush()
		if string(caller.passed) != "answer" || !errors.Is(caller.ended, code) {
			t.Errorf("%v: %q was read before the end by %v", code, caller.passed, caller.ended)
		}
	}
}

// halfEcho is an echo that hears of its peer's end.
type halfEcho struct {
	echo
	closing bool
}

func (h *halfEcho) PeerClosing(Timestamp) { h.closing = true }
func (h *halfEcho) PeerClosed() bool      { return false }

// A connection that is closed to make room may have an event of its own in the same turn. It is not taken for
// one of the connection that gets its descriptor.
func TestEventOfAClosedDescriptor(t *testing.T) {
	var servers []*halfEcho
	room := func() bool {
		if len(servers) == 1 {
			servers[0].conn.Close()
		}
		return true
	}
	p := newPort(t, room, func(c *Conn) Handler {
		servers = append(servers, &halfEcho{echo: echo{conn: c}})
		return servers[len(servers)-1]
	})
	first := p.dial(t)
	turns(t, p.loop, func() bool { return len(servers) == 1 })
	p.dial(t) // the listener is ready first
	first.Close()
	for end := time.Now().Add(time.Second); !hungUp(servers[0].conn.fd) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fd := servers[0].conn.fd
	for filler := -1; filler < fd; { // the next descriptor that is free is the one of the old connection
		var err error
		if filler, err = unix.Open("/dev/null", unix.O_CLOEXEC, 0); err != nil {
			t.Fatal(err)
		}
		defer unix.Close(filler)
	}
	turns(t, p.loop, func() bool { return len(servers) == 2 })
	if servers[1].conn.fd != fd {
		t.Fatalf("descriptor %d in place of %d", servers[1].conn.fd, fd)
	}
	if servers[1].closing || servers[1].ended != nil {
		t.Errorf("the new connection was told of the end of the old one: closing %v, ended %v", servers[1].closing, servers[1].ended)
	}
}

func hungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// testClock is moved on by a test.
type testClock struct{ now Timestamp }

func (c *testClock) Now() Timestamp { return c.now }
func (c *testClock) PollTimeout(wanted time.Duration) time.Duration {
	return min(wanted, time.Millisecond)
}

// The process is stopped just after it has looked at what is ready. What comes until it goes on has waited,
// though it is found in the turn after the next look only.
func TestStoppedBehindALook(t *testing.T) {
	const stopped, nap = 2 * time.Second, 50 * time.Millisecond
	clock := &testClock{now: Timestamp(time.Now().UnixNano())}
	loop, err := NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var waited []time.Duration
	var conns []*Conn
	var peers []net.Conn
	for range 2 {
		w := &waiter{loop: loop, waited: &waited}
		conn, err := loop.Dial(netip.MustParseAddrPort(ln.Addr().String()), time.Minute, w)
		if err != nil {
			t.Fatal(err)
		}
		turns(t, loop, conn.Connected)
		peer, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		conns, peers = append(conns, conn), append(peers, peer)
	}
	come := func(i int) { // something comes on a connection
		if _, err := peers[i].Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(time.Second); !conns[i].HasUnreadInput() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	come(0)
	stop := true
	substitute(t, func(s *SystemCalls) {
		real := s.Wait
		s.Wait = func(epoll int, events []unix.EpollEvent, millis int) (int, error) {
			n, err := real(epoll, events, millis)
			if stop && n > 0 {
				stop = false
				clock.now += stopped
				come(1)
			}
			return n, err
		}
	})
	turns(t, loop, func() bool { return len(waited) == 2 })
	for i, w := range waited {
		if w < stopped-nap {
			t.Errorf("the %d. counts as having waited for %v", i+1, w)
		}
	}
}

// waiter notes how long the process had been held up when something was read.
type waiter struct {
	loop   *Loop
	waited *[]time.Duration
}

func (w *waiter) Receive(data []byte) (int, error) {
	*w.waited = append(*w.waited, w.loop.SchedulingDelay(50*time.Millisecond))
	return len(data), nil
}

func (w *waiter) Closed(error) {}
