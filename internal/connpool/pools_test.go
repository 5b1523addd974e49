package connpool

import (
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cloverdoor/internal/eventloop"
)

// nobody is a handler that takes all input and does nothing.
type nobody struct{}

func (nobody) Receive(data []byte) (int, error) { return len(data), nil }
func (nobody) Closed(error)                     {}

// newSocket returns a non-blocking TCP socket.
func newSocket() (int, error) {
	return unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// full is a server whose queue of new connections is full: a further one does not come up until there is room again.
type full struct {
	fd    int
	addr  netip.AddrPort
	first []int // connections that fill it
}

func newFull(t *testing.T) *full {
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
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	f := &full{fd: fd, addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(at.(*unix.SockaddrInet4).Port))}
	t.Cleanup(func() {
		for _, fd := range append(f.first, f.fd) {
			unix.Close(fd) //nolint:errcheck // the test is over
		}
	})
	for range 2 { // one more than the queue holds, which may be one more than was asked for
		c, err := newSocket()
		if err != nil {
			t.Fatal(err)
		}
		f.first = append(f.first, c)
		unix.Connect(c, &unix.SockaddrInet4{Port: int(f.addr.Port()), Addr: f.addr.Addr().As4()}) //nolint:errcheck // in progress
	}
	return f
}

// accept takes one connection off the queue, once there is one.
func (f *full) accept(t *testing.T, l *eventloop.Loop) int {
	t.Helper()
	for range 1000 {
		if fd, _, err := unix.Accept(f.fd); err == nil {
			f.first = append(f.first, fd)
			return fd
		}
		turn(t, l)
	}
	t.Fatal("nothing to accept")
	return -1
}

func turn(t *testing.T, l *eventloop.Loop) {
	t.Helper()
	if err := l.Wait(5 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	l.Flush()
}

// What waits for a connection that is late to come up gets another, and the late one is not waited for by others. The
// danger: a handshake's lost packet is sent again after a second only, when the time of many a request is over.
func TestReassignFromALateConnection(t *testing.T) {
	l, err := eventloop.NewLoop(eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	server := newFull(t)
	ps := New(l, Limits{MaxUsesPerConn: 8, MaxConns: 10, DedicatedConns: 8, ConnectTimeout: time.Minute, IdleTimeout: time.Minute},
		func(*PooledConn) eventloop.Handler { return nobody{} })
	ps.SetAddress("s", server.addr)
	any := func(*PooledConn) bool { return true }
	late, err := ps.Acquire("s", false, any)
	if err != nil {
		t.Fatal(err)
	}
	for !late.overdue() {
		turn(t, l)
	}
	if late.Connected() {
		t.Fatal("the server's queue was not full: nothing is late")
	}
	server.accept(t, l) // there is room for one more now
	other, err := ps.Reassign(late, any)
	if err != nil || other == late {
		t.Fatal(err)
	}
	late.Release()
	for i := 0; !other.Connected(); i++ {
		if turn(t, l); i == 1000 {
			t.Fatal("the other one never came up")
		}
	}
	if late.Connected() {
		t.Fatal("the late one is up too: nothing was tested")
	}
	if s, err := ps.Acquire("s", false, any); err != nil || s == late {
		t.Errorf("a new use waits for the late one: %v", err)
	}
	// One that has brought something since shows that the server is there: no further handshake is needed.
	fd := server.accept(t, l)
	if _, err := unix.Write(fd, []byte("x")); err != nil {
		t.Fatal(err)
	}
	for i := 0; other.LastReceived() <= late.CreatedAt() || ps.connCount == 0; i++ {
		if turn(t, l); i == 1000 {
			t.Fatal("nothing was heard")
		}
	}
	if s, err := ps.Reassign(late, any); err != nil || !s.Connected() {
		t.Errorf("a new connection though one is up: %v", err)
	}
}

// Uses that can be repeated share a connection up to the limit; one that can't gets its own, and so does each where nothing
// is to be shared.
func TestSharedConnections(t *testing.T) {
	for _, c := range []struct {
		shared  int
		careful []bool // of each use
		want    int    // connections
	}{
		{0, []bool{false, false, false}, 3},
		{3, []bool{false, false, false}, 1},
		{3, []bool{false, false, false, false}, 2},
		{3, []bool{false, true, false}, 2},
		{3, []bool{true, true}, 2},
	} {
		l, err := eventloop.NewLoop(eventloop.SystemClock())
		if err != nil {
			t.Fatal(err)
		}
		ps := New(l, Limits{MaxUsesPerConn: 8, MaxConns: 10, DedicatedConns: 8, SharedUses: c.shared, ConnectTimeout: time.Minute, IdleTimeout: time.Minute},
			func(*PooledConn) eventloop.Handler { return nobody{} })
		ps.SetAddress("s", newFull(t).addr)
		for _, careful := range c.careful {
			if _, err := ps.Acquire("s", careful, func(*PooledConn) bool { return true }); err != nil {
				t.Fatal(err)
			}
		}
		if ps.connCount != c.want {
			t.Errorf("%+v: %d connections", c, ps.connCount)
		}
	}
}
