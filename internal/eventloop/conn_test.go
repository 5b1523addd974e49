package eventloop

import (
	"net/netip"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// closingMessage is a message that closes its connection while it is encoded.
type closingMessage struct {
	conn    **Conn
	encoded *bool
}

func (m closingMessage) Encode() ([]byte, bool) {
	(*m.conn).Close()
	*m.encoded = true
	return nil, false
}
func (closingMessage) Started(bool) {}
func (closingMessage) Written()     {}

// discarder is a handler that discards its input.
type discarder struct{}

func (discarder) Receive(data []byte) (int, error) { return len(data), nil }
func (discarder) Closed(error)                     {}

// Input counts as unread from its arrival until it is read. The peer's close is no input.
func TestHasUnreadInput(t *testing.T) {
	l, err := NewLoop(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	c := &Conn{loop: l, fd: pair[0], handler: discarder{}, connected: true, interest: unix.EPOLLIN}
	defer c.Close()
	if c.HasUnreadInput() {
		t.Error("input counts as unread although nothing was sent")
	}
	if _, err := unix.Write(pair[1], []byte("x")); err != nil {
		t.Fatal(err)
	}
	if !c.HasUnreadInput() {
		t.Error("input that has arrived does not count as unread")
	}
	c.receive()
	if c.HasUnreadInput() {
		t.Error("input counts as unread although it was read")
	}
	if err := unix.Close(pair[1]); err != nil {
		t.Fatal(err)
	}
	if c.HasUnreadInput() {
		t.Error("the peer's close counts as unread input")
	}
}

// Encoding a message may close the connection, as when the connection was open for this message only. The rest
// of the connection's queue is dropped.
func TestConnClosedWhileAMessageIsEncoded(t *testing.T) {
	l, err := NewLoop(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	ensureCapacity := func() bool { return true }
	accept := func(*Conn) Handler { return discarder{} }
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), ensureCapacity, accept)
	if err != nil {
		t.Fatal(err)
	}
	addr, err := unix.Getsockname(ln.fd)
	if err != nil {
		t.Fatal(err)
	}
	port := addr.(*unix.SockaddrInet4).Port
	c, err := l.Dial(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)), time.Minute, discarder{})
	if err != nil {
		t.Fatal(err)
	}
	encoded := false
	c.Send(closingMessage{&c, &encoded})
	for range 1000 {
		if err := l.Wait(10 * time.Millisecond); err != nil {
			t.Fatal(err)
		}
		l.Flush()
		if encoded {
			break
		}
	}
	if !encoded || !c.Ended() || l.BufferedBytes() != 0 {
		t.Error("the message was not encoded, the connection is open or output is still buffered")
	}
}

// queueingMessage is a message that queues more output on its connection while it is encoded.
type queueingMessage struct {
	conn    *Conn
	encoded int // number of calls of Encode
	written int // number of calls of Written
}

func (m *queueingMessage) Encode() ([]byte, bool) {
	m.encoded++
	m.conn.Write([]byte(" later"))
	return []byte("message"), m.encoded == 1
}
func (m *queueingMessage) Started(bool) {}
func (m *queueingMessage) Written()     { m.written++ }

// Output that is queued while a message is encoded does not replace the rest of the message if the peer
// accepts only a part of it.
func TestOutputQueuedWhileAMessageIsEncoded(t *testing.T) {
	l, err := NewLoop(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, os.NewFile(uintptr(pair[1]), "peer"))
	c := &Conn{loop: l, fd: pair[0], handler: discarder{}, connected: true}
	defer c.Close()
	substitute(t, func(s *SystemCalls) {
		original := s.Write
		s.Write = func(fd int, data []byte) (int, error) { return original(fd, data[:1]) }
	})
	message := &queueingMessage{conn: c}
	c.Send(message)
	for range len("message later") {
		c.Flush()
	}
	received := make([]byte, 100)
	n, err := unix.Read(pair[1], received)
	if err != nil || string(received[:n]) != "message later" {
		t.Errorf("the peer received %q, error %v", received[:max(n, 0)], err)
	}
	if message.encoded != 1 || message.written != 1 || l.BufferedBytes() != 0 {
		t.Errorf("message %+v, want it encoded and written once; %d bytes buffered, want 0", message, l.BufferedBytes())
	}
}
