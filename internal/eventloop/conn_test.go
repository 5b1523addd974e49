package eventloop

import (
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// closing is a message that finds, when it is to be encoded, that it is not to go, which ends its connection.
type closing struct {
	c    **Conn
	done *bool
}

func (m closing) Encode() ([]byte, bool) {
	(*m.c).Close()
	*m.done = true
	return nil, false
}
func (closing) Started(bool) {}
func (closing) Written()     {}

type nobody struct{}

func (nobody) Receive(data []byte) (int, error) { return len(data), nil }
func (nobody) Closed(error)                     {}

// What a peer has sent counts as unread until it is taken.
func TestUnread(t *testing.T) {
	l, err := NewLoop(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	c := &Conn{loop: l, fd: pair[0], handler: nobody{}, connected: true, interest: unix.EPOLLIN}
	defer c.Close()
	if c.HasUnreadInput() {
		t.Error("nothing was sent")
	}
	if _, err := unix.Write(pair[1], []byte("x")); err != nil {
		t.Fatal(err)
	}
	if !c.HasUnreadInput() {
		t.Error("what was sent is not seen")
	}
	if c.receive(); c.HasUnreadInput() {
		t.Error("it was read")
	}
	unix.Close(pair[1]) //nolint:errcheck // its end is what counts
	if c.HasUnreadInput() {
		t.Error("the peer's end is nothing unread")
	}
}

// The last use of a connection may end while its message is encoded, and the connection of a server that is
// gone with it: the rest of the queue is not there any more.
func TestConnClosedWhileAMessageIsEncoded(t *testing.T) {
	l, err := NewLoop(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func() bool { return true }, func(*Conn) Handler { return nobody{} })
	if err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(ln.fd)
	if err != nil {
		t.Fatal(err)
	}
	port := at.(*unix.SockaddrInet4).Port
	c, err := l.Dial(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)), time.Minute, nobody{})
	if err != nil {
		t.Fatal(err)
	}
	done := false
	c.Send(closing{&c, &done})
	for range 1000 {
		if err := l.Wait(10 * time.Millisecond); err != nil {
			t.Fatal(err)
		}
		if l.Flush(); done {
			break
		}
	}
	if !done || !c.Ended() || l.BufferedBytes() != 0 {
		t.Error("never encoded, or still open")
	}
}
