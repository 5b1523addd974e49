package net

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Handler owns a connection.
type Handler interface {
	// Receive takes what has come in and not been used yet, and returns how much of it is used now. It is
	// called again when more has come. An error closes the connection.
	Receive(data []byte) (used int, err error)
	// Closed is called once, when the connection has ended for any reason but Close. err is io.EOF when the
	// peer closed it in good order.
	Closed(err error)
}

// HalfCloser is a handler whose peer may end its own side first. It hears of that ahead of input that has not been
// read yet: by the time all is read, the peer may have been gone for long.
type HalfCloser interface {
	Handler
	// PeerClosing is called once, when the peer is seen to send no more. It did so after the given time; 0: not known.
	PeerClosing(after Clock)
	// PeerClosed is called once, when all that the peer sent has been handed over. It says whether output is still
	// owed: the handler then closes the connection itself when it is not any more.
	PeerClosed() (owed bool)
}

// Message is output that is made only when its first byte is about to be written.
type Message interface {
	// Encode returns the bytes, or false when the message is not to be sent any more. It may be called again
	// when the peer took nothing.
	Encode() ([]byte, bool)
	// Started is called once, when the first byte has been written.
	Started()
	// Written is called once, when the last byte has been written.
	Written()
}

// ErrConnect marks a connection that never came up: nothing was sent on it.
var ErrConnect = errors.New("not connected")

// ErrBacklog marks a connection whose peer does not take what it is sent.
var ErrBacklog = errors.New("peer takes no output")

const (
	mostQueued = 16 << 20 // queued output at which the connection is given up
	mostJoined = 16 << 10 // bytes up to which small outputs are kept as one: each apart would cost more than it holds
	mostReads  = 16       // of one connection in one turn, while each fills the buffer

	lingerFor  = 200 * time.Millisecond // how long the peer's end of a closed connection is waited for
	lingerMost = 10 * time.Second       // and how long at most, while it still takes what it is owed
)

// Conn is one non-blocking TCP connection.
type Conn struct {
	loop    *Loop
	fd      int
	handler Handler
	in      []byte
	queue   []output
	queued  int // bytes in queue
	events  uint32
	timeout *Timer // of the connect
	up      bool
	closed  bool
	dirty   bool
	closing bool          // no more is taken either way; closed when the peer has closed too
	rdhup   bool          // the peer has been seen to send no more
	eof     bool          // and all that it sent has been handed over
	came    Clock         // an accepted connection was made after this; 0: not known
	since   Clock         // when it was begun or accepted
	took    time.Duration // to come up
	heard   Clock
	wrote   Clock
}

// output is bytes, or a message that has not been encoded yet.
type output struct {
	data    []byte
	msg     Message
	written func() // of a message that has been encoded
}

// Up says whether the connection has been made.
func (c *Conn) Up() bool { return c.up }

// Age is for how long the connection has existed.
func (c *Conn) Age() time.Duration { return c.loop.now - c.since }

// Ended says whether the connection has ended or is about to.
func (c *Conn) Ended() bool { return c.closed || c.closing }

// Heard is when the peer was last heard of: made the connection or sent something.
func (c *Conn) Heard() Clock { return c.heard }

// Backlog is how many bytes wait to be written, and since when none was.
func (c *Conn) Backlog() (bytes int, since Clock) { return c.queued, c.wrote }

// Pending is how many bytes have been received and not used yet: part of a message.
func (c *Conn) Pending() int { return len(c.in) }

// Unread says whether the peer has sent something that has not been read. To close now would lose it, and it may
// have waited for longer than the peer would take for a crossing: the process does not always have its core.
func (c *Conn) Unread() bool {
	var first [1]byte
	n, _, err := unix.Recvfrom(c.fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// Write queues bytes; the connection keeps them.
func (c *Conn) Write(data []byte) {
	if c.Ended() || len(data) == 0 {
		return
	}
	c.push(output{data: data})
}

// Send queues a message.
func (c *Conn) Send(m Message) {
	if !c.Ended() {
		c.push(output{msg: m})
	}
}

func (c *Conn) push(o output) {
	if c.queued == 0 {
		c.wrote = c.loop.now
	}
	c.count(len(o.data))
	c.scheduleFlush()
	if n := len(c.queue); n > 0 && o.msg == nil {
		if last := &c.queue[n-1]; last.msg == nil && last.written == nil && len(last.data)+len(o.data) <= mostJoined {
			last.data = append(last.data, o.data...)
			return
		}
	}
	c.queue = append(c.queue, o)
}

// scheduleFlush has the queue written at the end of the turn: all that has come in it is known by then, and a message
// may be void.
func (c *Conn) scheduleFlush() {
	if !c.dirty {
		c.dirty = true
		c.loop.dirty = append(c.loop.dirty, c)
	}
}

func (c *Conn) count(n int) {
	c.queued += n
	c.loop.held += n
}

// Close ends the connection at once. Its handler is not called any more.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.Stop(c.timeout)
	c.loop.held -= c.queued + len(c.in)
	c.queued, c.in, c.queue = 0, nil, nil
	c.loop.remove(c.fd)
}

// CloseFlushed ends the connection in good order: what is queued is written, the peer is told that no more
// comes, and its own end is waited for. Closing at once with input unread would reset the connection, and the
// peer would lose answers still on their way.
func (c *Conn) CloseFlushed() {
	if c.Ended() {
		return
	}
	c.closing = true
	if len(c.queue) == 0 {
		c.shutdown()
	}
}

// shutdown begins the wait for the peer's end only when all that was queued has gone: a peer that reads slowly
// would else lose the rest of an answer.
func (c *Conn) shutdown() {
	if c.eof { // nothing can be unread
		c.fail(io.EOF)
		return
	}
	if err := unix.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		c.fail(fmt.Errorf("shutdown: %w", err))
		return
	}
	c.linger(c.loop.now + lingerMost)
	c.watch()
}

// linger closes after a while, though the peer has not closed. The danger: a close over unread bytes resets the
// connection, and a peer that still takes its answers would lose the rest of them.
func (c *Conn) linger(end Clock) {
	c.loop.At(c.loop.now+lingerFor, func() {
		switch {
		case c.closed:
		case c.Unacked() > 0 && c.loop.now < end:
			c.linger(end)
		default:
			if c.receive(); !c.closed {
				c.fail(io.EOF)
			}
		}
	})
}

// Unacked is how many bytes the peer has not acknowledged of those that were written.
func (c *Conn) Unacked() int {
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	if !c.up {
		err = fmt.Errorf("%w: %w", ErrConnect, err)
	}
	c.Close()
	c.handler.Closed(err)
}

func (c *Conn) ready(events uint32) {
	if !c.up {
		c.connected()
	}
	const broken = unix.EPOLLHUP | unix.EPOLLERR
	half, isHalf := c.handler.(HalfCloser)
	switch {
	case !c.up || c.closed:
	case c.eof && events&broken != 0, isHalf && events&unix.EPOLLERR != 0:
		c.fail(unix.ECONNRESET) // what it sent before is not wanted any more
	case isHalf && !c.closing && events&unix.EPOLLRDHUP != 0:
		c.peerClosing(half)
	}
	if c.up && !c.closed && !c.eof && events&(unix.EPOLLIN|unix.EPOLLRDHUP|broken) != 0 {
		c.receive()
	}
	if c.up && !c.closed && events&unix.EPOLLOUT != 0 {
		c.scheduleFlush()
	}
}

// peerClosing tells the handler, once, that the peer sends no more. One that did so before the last look at it would have
// been seen then, unless it was not looked at yet.
func (c *Conn) peerClosing(half HalfCloser) {
	if c.rdhup {
		return
	}
	c.rdhup = true
	after := c.loop.lastPoll
	if c.since >= after {
		after = c.came
	}
	half.PeerClosing(after)
}

// connected looks at how a connect ended.
func (c *Conn) connected() {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		c.fail(err)
		return
	}
	if _, err := unix.Getpeername(c.fd); err != nil {
		return // not yet
	}
	c.loop.Stop(c.timeout)
	c.up, c.heard, c.wrote, c.took = true, c.loop.now, c.loop.now, c.Age()
	c.scheduleFlush()
}

// receive takes what has come. A connection that brings much is read on, within bounds: a client may have taken back
// further on what it asks for first.
func (c *Conn) receive() {
	for range mostReads {
		n, err := unix.Read(c.fd, c.loop.read)
		switch {
		case err != nil && retry(err):
			return
		case err != nil:
			c.fail(fmt.Errorf("read: %w", err))
			return
		case n == 0:
			c.end()
			return
		}
		if !c.closing { // else it crossed the close
			c.take(c.loop.read[:n])
		}
		if c.closed || n < len(c.loop.read) {
			return
		}
	}
}

// end takes the peer's end of a conversation.
func (c *Conn) end() {
	if c.closing && len(c.queue) > 0 { // it still takes what it is owed
		c.eof = true
		c.scheduleFlush()
		return
	}
	if half, ok := c.handler.(HalfCloser); ok && !c.closing {
		if c.peerClosing(half); c.closed {
			return
		}
		if half.PeerClosed() {
			c.eof = true
			c.scheduleFlush()
			return
		}
	}
	if !c.closed {
		c.fail(io.EOF)
	}
}

func (c *Conn) take(data []byte) {
	c.heard = c.loop.now
	if len(c.in) > 0 {
		c.in = append(c.in, data...)
		c.loop.held += len(data)
		data = c.in
	}
	c.handOver(data)
}

func (c *Conn) handOver(data []byte) {
	used, err := c.handler.Receive(data)
	if c.closed {
		return
	}
	if err != nil {
		c.fail(err)
		return
	}
	rest := data[used:]
	c.loop.held += len(rest) - len(c.in)
	if used > 0 || len(c.in) == 0 {
		c.in = append([]byte(nil), rest...)
	}
}

func retry(err error) bool { return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) }

// flush writes until the peer takes no more.
func (c *Conn) flush() {
	for c.up && !c.closed && len(c.queue) > 0 {
		more, err := c.writeFirst()
		if err != nil {
			c.fail(err)
			return
		}
		if !more {
			break
		}
	}
	switch {
	case c.closed:
	case c.queued > mostQueued:
		c.fail(ErrBacklog)
	case c.closing && len(c.queue) == 0:
		c.shutdown()
	default:
		c.watch()
	}
}

// writeFirst writes from the first output of the queue; more is false when the peer takes no more now. A
// message that the peer took nothing of stays unmade, as what it says may have to change until it goes.
func (c *Conn) writeFirst() (more bool, err error) {
	first := &c.queue[0]
	data := first.data
	if first.msg != nil {
		made, ok := first.msg.Encode()
		if c.closed { // it was the last use of a connection that was to be closed
			return false, nil
		}
		if !ok {
			c.queue = c.queue[1:]
			return true, nil
		}
		data = made
	}
	n, err := unix.Write(c.fd, data)
	if err != nil && !retry(err) {
		return false, fmt.Errorf("write: %w", err)
	}
	if n <= 0 {
		return false, nil
	}
	c.wrote = c.loop.now
	if msg := first.msg; msg != nil {
		c.count(len(data))
		first.msg, first.written = nil, msg.Written
		msg.Started()
	}
	c.count(-n)
	if n < len(data) {
		first.data = data[n:]
		return false, nil
	}
	if first.written != nil {
		first.written()
	}
	c.queue = c.queue[1:]
	return true, nil
}

// watch asks epoll for what the connection waits for: input and the peer's end, until that has come, and room for
// output. Input is waited for also when the peer leaves ours unread: it may take back what it asked for, or leave.
func (c *Conn) watch() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if c.eof {
		events = 0
	} else if c.rdhup || c.closing {
		events = unix.EPOLLIN
	}
	if !c.up || len(c.queue) > 0 {
		events |= unix.EPOLLOUT
	}
	if events == c.events {
		return
	}
	if err := c.loop.change(c.fd, events); err != nil {
		c.fail(err)
		return
	}
	c.events = events
}

// Dial starts a connection. Output may be queued at once; it is written when the connection is up. One that is
// not up within timeout has failed.
func (l *Loop) Dial(addr netip.AddrPort, timeout time.Duration, h Handler) (*Conn, error) {
	fd, err := socket(addr)
	if err != nil {
		return nil, err
	}
	c := &Conn{loop: l, fd: fd, handler: h, events: unix.EPOLLOUT, since: l.now, heard: l.now, wrote: l.now}
	err = unix.Connect(fd, sockaddr(addr))
	if err != nil && !errors.Is(err, unix.EINPROGRESS) {
		unix.Close(fd) //nolint:errcheck // the connect's error is what counts
		return nil, fmt.Errorf("%w: connect %s: %w", ErrConnect, addr, err)
	}
	if err := l.add(fd, c.events, c); err != nil {
		unix.Close(fd) //nolint:errcheck // as above
		return nil, err
	}
	c.timeout = l.At(l.now+timeout, func() { c.fail(errors.New("connect timed out")) })
	return c, nil
}

func socket(addr netip.AddrPort) (int, error) {
	family := unix.AF_INET
	if addr.Addr().Is6() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1); err != nil {
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
