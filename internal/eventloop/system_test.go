package eventloop

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// substitute replaces system calls until the test ends.
func substitute(t *testing.T, change func(*SystemCalls)) {
	t.Helper()
	original := System
	t.Cleanup(func() { System = original })
	change(&System)
}

// echo is a handler that answers with what it receives.
type echo struct {
	conn     *Conn
	closeErr error // passed to Closed; nil before
	received []byte
}

func (e *echo) Receive(data []byte) (int, error) {
	e.received = append(e.received, data...)
	e.conn.Write(append([]byte(nil), data...))
	return len(data), nil
}

func (e *echo) Closed(err error) { e.closeErr = err }

// testListener is a listener on loopback with a loop of its own.
type testListener struct {
	*Listener
	loop *Loop
	addr string
}

// newTestListener listens on loopback.
func newTestListener(t *testing.T, ensureCapacity func() bool, accept func(*Conn) Handler) *testListener {
	t.Helper()
	return newTestListenerWithClock(t, SystemClock(), ensureCapacity, accept)
}

// newTestListenerWithClock listens on loopback, with a loop that takes its time from a clock.
func newTestListenerWithClock(t *testing.T, clock TimeSource, ensureCapacity func() bool, accept func(*Conn) Handler) *testListener {
	t.Helper()
	loop, err := NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), ensureCapacity, accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ln.Close)
	sockaddr, err := unix.Getsockname(ln.fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(sockaddr.(*unix.SockaddrInet4).Port))
	return &testListener{ln, loop, addr.String()}
}

// dial connects a client.
func (ln *testListener) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", ln.addr)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, conn)
	return conn
}

// closeAtEnd closes c when the test ends, unless the test has closed it.
func closeAtEnd(tb testing.TB, c io.Closer) {
	tb.Helper()
	tb.Cleanup(func() {
		err := c.Close()
		if err != nil && !errors.Is(err, net.ErrClosed) {
			tb.Errorf("close at the end of the test: %v", err)
		}
	})
}

// waitUntil waits until the condition holds, for a second at most, without running a loop.
func waitUntil(condition func() bool) {
	for end := time.Now().Add(time.Second); !condition() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// runTurns runs a loop until done holds, for a second at most, and returns the number of turns.
func runTurns(t *testing.T, loop *Loop, done func() bool) (count int) {
	t.Helper()
	for end := time.Now().Add(time.Second); !done() && time.Now().Before(end); count++ {
		if err := loop.Wait(10 * time.Millisecond); err != nil {
			t.Fatal(err)
		}
		loop.Flush()
	}
	return count
}

// failingCall is a system call that fails at first.
type failingCall struct {
	name     string
	errnos   []unix.Errno
	minCalls int // minimum number of calls made by the time the client has its answer

	// install replaces the call. nextError is called before each call and returns the error to fail with,
	// or nil.
	install func(s *SystemCalls, nextError func() error)
}

// failuresInARow is the number of calls, from the first on, for which a failingCall fails.
const failuresInARow = 3

var failingCalls = []failingCall{
	{
		name: "accept",
		errnos: []unix.Errno{
			unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTUNREACH,
			unix.ETIMEDOUT, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM,
		},
		minCalls: failuresInARow + 1,
		install: func(s *SystemCalls, nextError func() error) {
			original := s.Accept
			s.Accept = func(fd, flags int) (int, error) {
				if err := nextError(); err != nil {
					return -1, err
				}
				return original(fd, flags)
			}
		},
	},
	{
		name:     "setsockopt",
		errnos:   []unix.Errno{unix.ENOBUFS, unix.ENOMEM},
		minCalls: 1, // attempted again while the connection is served
		install: func(s *SystemCalls, nextError func() error) {
			original := s.SetOption
			s.SetOption = func(fd, level, option, value int) error {
				if err := nextError(); err != nil {
					return err
				}
				return original(fd, level, option, value)
			}
		},
	},
	{
		name:     "epoll_ctl",
		errnos:   []unix.Errno{unix.ENOMEM, unix.ENOSPC},
		minCalls: 1, // attempted again while the connection is served
		install: func(s *SystemCalls, nextError func() error) {
			original := s.Control
			s.Control = func(epollFD, operation, fd int, event *unix.EpollEvent) error {
				if err := nextError(); err != nil {
					return err
				}
				return original(epollFD, operation, fd, event)
			}
		},
	},
	{
		name:     "read",
		errnos:   []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM},
		minCalls: failuresInARow + 1,
		install: func(s *SystemCalls, nextError func() error) {
			original := s.Read
			s.Read = func(fd int, data []byte) (int, error) {
				if err := nextError(); err != nil {
					return 0, err
				}
				return original(fd, data)
			}
		},
	},
	{
		name:     "write",
		errnos:   []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM},
		minCalls: failuresInARow + 1,
		install: func(s *SystemCalls, nextError func() error) {
			original := s.Write
			s.Write = func(fd int, data []byte) (int, error) {
				if err := nextError(); err != nil {
					return 0, err
				}
				return original(fd, data)
			}
		},
	},
}

// A client that connects while a system call fails is served once the call succeeds again, and the loop does
// not spin meanwhile.
func TestClientIsServedThoughCallsFail(t *testing.T) {
	for _, call := range failingCalls {
		for _, errno := range call.errnos {
			t.Run(call.name+" "+errno.Error(), func(t *testing.T) { testServedThoughCallFails(t, call, errno) })
		}
	}
}

func testServedThoughCallFails(t *testing.T, call failingCall, errno unix.Errno) {
	t.Helper()
	const maxTurns = 100
	var server *echo
	listener := newTestListener(t, func() bool { return true }, func(c *Conn) Handler {
		server = &echo{conn: c}
		return server
	})
	client := listener.dial(t)
	if _, err := client.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	calls := 0
	substitute(t, func(s *SystemCalls) {
		call.install(s, func() error {
			calls++
			if calls <= failuresInARow {
				return errno
			}
			return nil
		})
	})
	readResult := make(chan error, 1)
	go func() { readResult <- readWithin(client, time.Second, 5) }()
	turns := runTurns(t, listener.loop, func() bool { return len(readResult) > 0 })
	if err := <-readResult; err != nil {
		t.Errorf("no answer: %v; the server's connection: %v", err, server)
	}
	if calls < call.minCalls {
		t.Errorf("the system call was made only %d times", calls)
	}
	if turns > maxTurns {
		t.Errorf("%d turns: the loop spins", turns)
	}
}

// readWithin reads up to size bytes once, and fails if none arrive within timeout.
func readWithin(conn net.Conn, timeout time.Duration, size int) error {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, size))
	return err
}

// A listener that paused for lack of capacity, or because accept fails repeatedly, accepts again even if
// epoll refuses at first to watch it. While accept fails, it is called only a few times.
func TestListenerResumesAfterFailures(t *testing.T) {
	var server *echo
	ensureCapacity := false
	listener := newTestListener(t, func() bool { return ensureCapacity }, func(c *Conn) Handler {
		server = &echo{conn: c}
		return server
	})
	listener.dial(t)
	refusals := 0
	substitute(t, func(s *SystemCalls) {
		original := s.Control
		s.Control = func(epollFD, operation, fd int, event *unix.EpollEvent) error {
			if fd == listener.fd && event.Events != 0 && refusals < 3 {
				refusals++
				return unix.ENOMEM
			}
			return original(epollFD, operation, fd, event)
		}
	})
	runTurns(t, listener.loop, func() bool { return refusals > 0 })
	ensureCapacity = true
	calls := 0
	accept := System.Accept
	System.Accept = func(int, int) (int, error) { calls++; return -1, unix.ENOBUFS }
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); {
		runTurns(t, listener.loop, func() bool { return !time.Now().Before(end) })
	}
	if calls > 10 {
		t.Errorf("%d accept calls in 100 ms: the listener does not pause", calls)
	}
	System.Accept = accept
	runTurns(t, listener.loop, func() bool { return server != nil })
	if server == nil {
		t.Error("the listener no longer accepts connections")
	}
}

// An answer that arrived before a write fails is read first: it says more than the loss of its connection.
func TestAnswerIsReadBeforeAFailedWriteCounts(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EPIPE, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH} {
		loop, err := NewLoop(SystemClock())
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, listener)
		caller := &echo{}
		caller.conn, err = loop.Dial(netip.MustParseAddrPort(listener.Addr().String()), time.Second, caller)
		if err != nil {
			t.Fatal(err)
		}
		runTurns(t, loop, caller.conn.Connected)
		peer, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, peer)
		if _, err := peer.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		waitUntil(caller.conn.HasUnreadInput)
		substitute(t, func(s *SystemCalls) { s.Write = func(int, []byte) (int, error) { return -1, errno } })
		caller.conn.Write([]byte("another call"))
		loop.Flush()
		if string(caller.received) != "answer" || !errors.Is(caller.closeErr, errno) {
			t.Errorf("write error %v: received %q before the connection ended with %v", errno, caller.received, caller.closeErr)
		}
	}
}

// halfEcho is an echo that implements HalfCloser.
type halfEcho struct {
	echo
	closing bool // PeerClosing was called
}

func (h *halfEcho) PeerClosing(Timestamp) { h.closing = true }
func (h *halfEcho) PeerClosed() bool      { return false }

// A connection that is evicted may have an event of its own in the same turn. The event is not delivered to
// the new connection that gets the evicted connection's descriptor.
func TestEventOfAClosedDescriptor(t *testing.T) {
	var servers []*halfEcho
	evictFirst := func() bool {
		if len(servers) == 1 {
			servers[0].conn.Close()
		}
		return true
	}
	listener := newTestListener(t, evictFirst, func(c *Conn) Handler {
		servers = append(servers, &halfEcho{echo: echo{conn: c}})
		return servers[len(servers)-1]
	})
	firstConn := listener.dial(t)
	runTurns(t, listener.loop, func() bool { return len(servers) == 1 })
	listener.dial(t) // before the first connection is closed, so that the listener's event comes first
	if err := firstConn.Close(); err != nil {
		t.Fatal(err)
	}
	waitUntil(func() bool { return hungUp(servers[0].conn.fd) })
	fd := servers[0].conn.fd
	for filler := -1; filler < fd; { // afterwards all descriptors below the old connection's are taken
		var err error
		if filler, err = unix.Open("/dev/null", unix.O_CLOEXEC, 0); err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, os.NewFile(uintptr(filler), "/dev/null"))
	}
	runTurns(t, listener.loop, func() bool { return len(servers) == 2 })
	if servers[1].conn.fd != fd {
		t.Fatalf("the new connection has descriptor %d, want the old one's, %d", servers[1].conn.fd, fd)
	}
	if servers[1].closing || servers[1].closeErr != nil {
		t.Errorf("the new connection was notified of the end of the old one: closing %v, ended %v",
			servers[1].closing, servers[1].closeErr)
	}
}

// hungUp reports whether the peer has shut down its sending side.
func hungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// testClock is a clock that a test advances.
type testClock struct{ now Timestamp }

func (c *testClock) Now() Timestamp { return c.now }
func (c *testClock) PollTimeout(wantedTimeout time.Duration) time.Duration {
	return min(wantedTimeout, time.Millisecond)
}

// The process is stopped just after a poll has returned. Input that arrives before it continues counts as
// delayed, although only the poll of the next turn reports it.
func TestSchedulingDelayWhenStoppedAfterAPoll(t *testing.T) {
	const stopDuration = 2 * time.Second
	clock := &testClock{now: Timestamp(time.Now().UnixNano())}
	loop, err := NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, ln)
	var delays []time.Duration
	var conns []*Conn
	var peers []net.Conn
	for range 2 {
		recorder := &delayRecorder{loop: loop, delays: &delays}
		conn, err := loop.Dial(netip.MustParseAddrPort(ln.Addr().String()), time.Minute, recorder)
		if err != nil {
			t.Fatal(err)
		}
		runTurns(t, loop, conn.Connected)
		peer, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, peer)
		conns = append(conns, conn)
		peers = append(peers, peer)
	}
	sendInput := func(i int) { // returns when the input can be read
		if _, err := peers[i].Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		waitUntil(conns[i].HasUnreadInput)
	}
	sendInput(0)
	stopPending := true
	substitute(t, func(s *SystemCalls) {
		original := s.Wait
		s.Wait = func(epollFD int, events []unix.EpollEvent, timeoutMillis int) (int, error) {
			n, err := original(epollFD, events, timeoutMillis)
			if stopPending && n > 0 {
				stopPending = false
				clock.now += stopDuration
				sendInput(1)
			}
			return n, err
		}
	})
	runTurns(t, loop, func() bool { return len(delays) == 2 })
	for i, delay := range delays {
		if delay < stopDuration-expectedPollInterval {
			t.Errorf("input %d counts as delayed by only %v", i+1, delay)
		}
	}
}

// expectedPollInterval is the time between two polls that a delayRecorder expects.
const expectedPollInterval = 50 * time.Millisecond

// delayRecorder records the scheduling delay whenever it receives input.
type delayRecorder struct {
	loop   *Loop
	delays *[]time.Duration
}

func (r *delayRecorder) Receive(data []byte) (int, error) {
	*r.delays = append(*r.delays, r.loop.SchedulingDelay(expectedPollInterval))
	return len(data), nil
}

func (r *delayRecorder) Closed(error) {}
