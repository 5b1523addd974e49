package connpool

import (
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cloverdoor/internal/eventloop"
)

// discarder is a handler that discards its input.
type discarder struct{}

func (discarder) Receive(data []byte) (int, error) { return len(data), nil }
func (discarder) Closed(error)                     {}

// newSocket returns a non-blocking TCP socket.
func newSocket() (int, error) {
	return unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// fullServer is a server whose accept queue is full: a further connection is not established until one is
// accepted.
type fullServer struct {
	fd    int
	addr  netip.AddrPort
	conns []int // descriptors of the connections that fill the queue, and of accepted ones
}

// newFullServer starts a fullServer on loopback.
func newFullServer(t *testing.T) *fullServer {
	t.Helper()
	fd, err := newSocket()
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	f := &fullServer{fd: fd, addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(sockaddr.(*unix.SockaddrInet4).Port))}
	t.Cleanup(func() {
		for _, fd := range append(f.conns, f.fd) {
			unix.Close(fd) //nolint:errcheck // the test is over
		}
	})
	for range 2 { // the queue holds one connection more than the backlog given to listen
		c, err := newSocket()
		if err != nil {
			t.Fatal(err)
		}
		f.conns = append(f.conns, c)
		unix.Connect(c, &unix.SockaddrInet4{Port: int(f.addr.Port()), Addr: f.addr.Addr().As4()}) //nolint:errcheck // in progress
	}
	return f
}

// accept accepts one connection, as soon as there is one, and returns its descriptor.
func (f *fullServer) accept(t *testing.T, l *eventloop.Loop) int {
	t.Helper()
	for range 1000 {
		if fd, _, err := unix.Accept(f.fd); err == nil {
			f.conns = append(f.conns, fd)
			return fd
		}
		runTurn(t, l)
	}
	t.Fatal("no connection to accept")
	return -1
}

// acceptsAll is UseInfo.Accepts of a use that may go on any connection.
func acceptsAll(*PooledConn) bool { return true }

// newTestPools returns pools with the endpoint "s" at addr, and their loop.
func newTestPools(t *testing.T, addr netip.AddrPort, maxSharedUses int) (*eventloop.Loop, *Pools) {
	t.Helper()
	l, err := eventloop.NewLoop(eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{
		MaxUsesPerConn: 8,
		MaxConns:       10,
		DedicatedConns: 8,
		MaxSharedUses:  maxSharedUses,
		ConnectTimeout: time.Minute,
		IdleTimeout:    time.Minute,
	}
	ps := New(l, limits, func(*PooledConn) eventloop.Handler { return discarder{} })
	ps.SetAddress("s", addr)
	return l, ps
}

// runTurn runs one turn of the loop.
func runTurn(t *testing.T, l *eventloop.Loop) {
	t.Helper()
	if err := l.Wait(5 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	l.Flush()
}

// runTurnsUntil runs turns of the loop until the condition holds, and fails the test if it never does.
func runTurnsUntil(t *testing.T, l *eventloop.Loop, condition func() bool, failure string) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		runTurn(t, l)
	}
	t.Fatal(failure)
}

// A use that waits for an overdue connection gets another one, and no new use gets the overdue one. This
// matters because a lost packet of a handshake is retransmitted only after a second, when many requests have
// reached their deadline.
func TestReassignFromAnOverdueConnection(t *testing.T) {
	server := newFullServer(t)
	l, ps := newTestPools(t, server.addr, 0)
	idempotent := UseInfo{Accepts: acceptsAll}
	overdue, err := ps.Acquire("s", idempotent)
	if err != nil {
		t.Fatal(err)
	}
	runTurnsUntil(t, l, overdue.overdue, "the connection never became overdue")
	if overdue.Connected() {
		t.Fatal("the overdue connection is established: the server's queue was not full")
	}
	server.accept(t, l) // the queue has capacity for one more now
	other, err := ps.Reassign(overdue, acceptsAll)
	if err != nil || other == overdue {
		t.Fatal(err)
	}
	overdue.Release()
	runTurnsUntil(t, l, other.Connected, "the other connection was never established")
	if overdue.Connected() {
		t.Fatal("the overdue connection is established too: the test cannot tell which is preferred")
	}
	if conn, err := ps.Acquire("s", idempotent); err != nil || conn == overdue {
		t.Errorf("a new use waits for the overdue connection: %v", err)
	}
	// A connection that has received something since the overdue one was dialed shows that the endpoint is
	// reachable: no new one is dialed.
	fd := server.accept(t, l)
	if _, err := unix.Write(fd, []byte("x")); err != nil {
		t.Fatal(err)
	}
	hasReceived := func() bool { return other.LastReceived() > overdue.CreatedAt() && ps.connCount > 0 }
	runTurnsUntil(t, l, hasReceived, "the other connection received nothing")
	if conn, err := ps.Reassign(overdue, acceptsAll); err != nil || !conn.Connected() {
		t.Errorf("a new connection was dialed although one is established: %v", err)
	}
}

// Idempotent uses share a connection up to the limit. A non-idempotent use gets its own, and so does every
// use if the limit is 0.
func TestSharedConnections(t *testing.T) {
	for _, tt := range []struct {
		maxSharedUses int
		nonIdempotent []bool // of each use
		wantConns     int
	}{
		{0, []bool{false, false, false}, 3},
		{3, []bool{false, false, false}, 1},
		{3, []bool{false, false, false, false}, 2},
		{3, []bool{false, true, false}, 2},
		{3, []bool{true, true}, 2},
	} {
		_, ps := newTestPools(t, newFullServer(t).addr, tt.maxSharedUses)
		for _, nonIdempotent := range tt.nonIdempotent {
			use := UseInfo{NonIdempotent: nonIdempotent, Accepts: acceptsAll}
			if _, err := ps.Acquire("s", use); err != nil {
				t.Fatal(err)
			}
		}
		if ps.connCount != tt.wantConns {
			t.Errorf("%+v: got %d connections", tt, ps.connCount)
		}
	}
}
