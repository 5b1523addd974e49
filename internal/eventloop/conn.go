package eventloop

import (
	"errors"
	"fmt"
	"io"
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
	PeerClosing(after Timestamp)
	// PeerClosed is called once, when all that the peer sent has been handed over. It says whether output is still
	// owed: the handler then closes the connection itself when it is not any more.
	PeerClosed() (owed bool)
}

// ErrNotConnected marks a connection that never came up: nothing was sent on it.
var ErrNotConnected = errors.New("not connected")

// ErrConnectTimeout says that a connection did not come up in the time that it was given.
var ErrConnectTimeout = errors.New("connect timed out")

// ErrWriteStalled marks a connection whose peer does not take what it is sent.
var ErrWriteStalled = errors.New("peer takes no output")

const (
	mostQueued = 16 << 20 // queued output at which the connection is given up
	mostJoined = 16 << 10 // bytes up to which small outputs are kept as one: each apart would cost more than it holds
	muchInput  = 64 << 10 // bytes read in one turn behind which more may have waited for as long
	mostReads  = 16       // of one connection in one turn, while each fills the buffer

	retryPause = 20 * time.Millisecond  // before a call that failed for lack of memory is tried again
	lingerFor  = 200 * time.Millisecond // how long the peer's end of a closed connection is waited for
	lingerMost = 10 * time.Second       // and how long at most, while it still takes what it is owed
)

// Conn is one non-blocking TCP connection.
type Conn struct {
	loop       *Loop
	fd         int
	handler    Handler
	in         []byte
	queue      []output
	queued     int // bytes in queue
	events     uint32
	timeout    *Timer // of the connect
	up         bool
	closed     bool
	dirty      bool
	closing    bool          // no more is taken either way; closed when the peer has closed too
	deaf       bool          // no more is read, until it is closing
	registered bool          // with epoll
	rdhup      bool          // the peer has been seen to send no more
	eof        bool          // and all that it sent has been handed over
	came       Timestamp     // an accepted connection was made after this; 0: not known
	since      Timestamp     // when it was begun or accepted
	queuedLong bool          // it may have waited to be accepted for long
	inQueue    time.Duration // for how long the process was held up before
	behind     Timestamp     // since when what comes next may have waited, as there was much before it; 0: it is new
	waited     time.Duration // see Waited
	took       time.Duration // to come up
	heard      Timestamp
	wrote      Timestamp
}

// Connected says whether the connection has been made.
func (c *Conn) Connected() bool { return c.up }

// Age is for how long the connection has existed.
func (c *Conn) Age() time.Duration { return c.loop.now - c.since }

// CreatedAt is when the connection was begun or accepted.
func (c *Conn) CreatedAt() Timestamp { return c.since }

// ConnectDuration is how long the connection took to come up; 0: it has not yet, or was accepted.
func (c *Conn) ConnectDuration() time.Duration { return c.took }

// Ended says whether the connection has ended or is about to.
func (c *Conn) Ended() bool { return c.closed || c.closing }

// LastReceived is when the peer was last heard of: made the connection or sent something.
func (c *Conn) LastReceived() Timestamp { return c.heard }

// UnparsedBytes is how many bytes have been received and not used yet: part of a message.
func (c *Conn) UnparsedBytes() int { return len(c.in) }

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

// CloseAfterFlush ends the connection in good order: what is queued is written, the peer is told that no more
// comes, and its own end is waited for. Closing at once with input unread would reset the connection, and the
// peer would lose answers still on their way.
func (c *Conn) CloseAfterFlush() {
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
		c.Fail(io.EOF)
		return
	}
	if err := System.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		c.Fail(fmt.Errorf("shutdown: %w", err))
		return
	}
	c.linger(c.loop.now + lingerMost)
	c.watch()
}

// linger closes after a while, though the peer has not closed: a close over unread bytes resets the connection,
// and a peer that still takes its answers would lose the rest of them.
func (c *Conn) linger(end Timestamp) {
	c.loop.At(c.loop.now+lingerFor, func() {
		switch {
		case c.closed:
		case c.UnackedBytes() > 0 && c.loop.now < end:
			c.linger(end)
		default:
			if c.receive(); !c.closed {
				c.Fail(io.EOF)
			}
		}
	})
}

// Fail ends the connection with an error, which its handler is told.
func (c *Conn) Fail(err error) {
	if c.closed {
		return
	}
	if !c.up {
		err = fmt.Errorf("%w: %w", ErrNotConnected, err)
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
	case (c.eof || c.deaf) && events&broken != 0, isHalf && events&unix.EPOLLERR != 0:
		c.Fail(unix.ECONNRESET) // what it sent before is not wanted any more
	case isHalf && !c.closing && events&unix.EPOLLRDHUP != 0:
		c.peerClosing(half)
	}
	if c.up && !c.closed && !c.eof && (!c.deaf || c.closing) && events&(unix.EPOLLIN|unix.EPOLLRDHUP|broken) != 0 {
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

// watch asks epoll for what the connection waits for: input and the peer's end, until that has come, and room for
// output. Input is waited for also when the peer leaves ours unread: it may take back what it asked for, or leave.
func (c *Conn) watch() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if c.eof {
		events = 0
	} else if c.closing || c.rdhup && !c.deaf {
		events = unix.EPOLLIN
	} else if c.deaf && c.rdhup {
		events = 0
	} else if c.deaf {
		events = unix.EPOLLRDHUP
	}
	if !c.up || len(c.queue) > 0 {
		events |= unix.EPOLLOUT
	}
	if events == c.events {
		return
	}
	if !c.registered { // register brings them
		c.events = events
		return
	}
	if err := c.loop.change(c.fd, events); err != nil { // for lack of memory; what it waits for now still wakes it
		c.loop.At(c.loop.now+retryPause, func() {
			if !c.closed {
				c.watch()
			}
		})
		return
	}
	c.events = events
}
