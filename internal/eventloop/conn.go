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
	maxQueuedBytes  = 16 << 20 // queued output at which the connection is given up
	maxJoinedBytes  = 16 << 10 // bytes up to which small outputs are kept as one: each apart would cost more than it holds
	largeInputBytes = 64 << 10 // bytes read in one turn behind which more may have waited for as long
	maxReadsPerTurn = 16       // of one connection in one turn, while each fills the buffer

	retryInterval  = 20 * time.Millisecond  // before a call that failed for lack of memory is tried again
	lingerInterval = 200 * time.Millisecond // how long the peer's end of a closed connection is waited for
	maxLinger      = 10 * time.Second       // and how long at most, while it still takes what it is owed
)

// Conn is one non-blocking TCP connection.
type Conn struct {
	loop              *Loop
	fd                int
	handler           Handler
	unparsed          []byte
	outputQueue       []output
	queuedBytes       int // bytes in queue
	interest          uint32
	connectTimer      *Timer // of the connect
	connected         bool
	closed            bool
	flushScheduled    bool
	closing           bool          // no more is taken either way; closed when the peer has closed too
	readingStopped    bool          // no more is read, until it is closing
	registered        bool          // with epoll
	peerHalfClosed    bool          // the peer has been seen to send no more
	inputEnded        bool          // and all that it sent has been handed over
	connectedAfter    Timestamp     // an accepted connection was made after this; 0: not known
	createdAt         Timestamp     // when it was begun or accepted
	waitedForAccept   bool          // it may have waited to be accepted for long
	delayBeforeAccept time.Duration // for how long the process was held up before
	inputWaitingSince Timestamp     // since when what comes next may have waited, as there was much before it; 0: it is new
	queueingDelay     time.Duration // see Waited
	connectDuration   time.Duration // to come up
	lastReceivedAt    Timestamp
	lastWrittenAt     Timestamp
}

// Connected says whether the connection has been made.
func (c *Conn) Connected() bool { return c.connected }

// Age is for how long the connection has existed.
func (c *Conn) Age() time.Duration { return c.loop.now - c.createdAt }

// CreatedAt is when the connection was begun or accepted.
func (c *Conn) CreatedAt() Timestamp { return c.createdAt }

// ConnectDuration is how long the connection took to come up; 0: it has not yet, or was accepted.
func (c *Conn) ConnectDuration() time.Duration { return c.connectDuration }

// Ended says whether the connection has ended or is about to.
func (c *Conn) Ended() bool { return c.closed || c.closing }

// LastReceived is when the peer was last heard of: made the connection or sent something.
func (c *Conn) LastReceived() Timestamp { return c.lastReceivedAt }

// UnparsedBytes is how many bytes have been received and not used yet: part of a message.
func (c *Conn) UnparsedBytes() int { return len(c.unparsed) }

// Close ends the connection at once. Its handler is not called any more.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.Stop(c.connectTimer)
	c.loop.bufferedBytes -= c.queuedBytes + len(c.unparsed)
	c.queuedBytes, c.unparsed, c.outputQueue = 0, nil, nil
	c.loop.closeDescriptor(c.fd)
}

// CloseAfterFlush ends the connection in good order: what is queued is written, the peer is told that no more
// comes, and its own end is waited for. Closing at once with input unread would reset the connection, and the
// peer would lose answers still on their way.
func (c *Conn) CloseAfterFlush() {
	if c.Ended() {
		return
	}
	c.closing = true
	if len(c.outputQueue) == 0 {
		c.shutdownOutput()
	}
}

// shutdownOutput begins the wait for the peer's end only when all that was queued has gone: a peer that reads slowly
// would else lose the rest of an answer.
func (c *Conn) shutdownOutput() {
	if c.inputEnded { // nothing can be unread
		c.Fail(io.EOF)
		return
	}
	if err := System.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		c.Fail(fmt.Errorf("shutdown: %w", err))
		return
	}
	c.linger(c.loop.now + maxLinger)
	c.updateInterest()
}

// linger closes after a while, though the peer has not closed: a close over unread bytes resets the connection,
// and a peer that still takes its answers would lose the rest of them.
func (c *Conn) linger(end Timestamp) {
	c.loop.At(c.loop.now+lingerInterval, func() {
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
	if !c.connected {
		err = fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	c.Close()
	c.handler.Closed(err)
}

func (c *Conn) handleEvents(events uint32) {
	if !c.connected {
		c.finishConnect()
	}
	const broken = unix.EPOLLHUP | unix.EPOLLERR
	half, isHalf := c.handler.(HalfCloser)
	switch {
	case !c.connected || c.closed:
	case (c.inputEnded || c.readingStopped) && events&broken != 0, isHalf && events&unix.EPOLLERR != 0:
		c.Fail(unix.ECONNRESET) // what it sent before is not wanted any more
	case isHalf && !c.closing && events&unix.EPOLLRDHUP != 0:
		c.notifyPeerClosing(half)
	}
	if c.connected && !c.closed && !c.inputEnded && (!c.readingStopped || c.closing) && events&(unix.EPOLLIN|unix.EPOLLRDHUP|broken) != 0 {
		c.receive()
	}
	if c.connected && !c.closed && events&unix.EPOLLOUT != 0 {
		c.scheduleFlush()
	}
}

// notifyPeerClosing tells the handler, once, that the peer sends no more. One that did so before the last look at it would have
// been seen then, unless it was not looked at yet.
func (c *Conn) notifyPeerClosing(half HalfCloser) {
	if c.peerHalfClosed {
		return
	}
	c.peerHalfClosed = true
	after := c.loop.previousPollEnd
	if c.createdAt >= after {
		after = c.connectedAfter
	}
	half.PeerClosing(after)
}

// updateInterest asks epoll for what the connection waits for: input and the peer's end, until that has come, and room for
// output. Input is waited for also when the peer leaves ours unread: it may take back what it asked for, or leave.
func (c *Conn) updateInterest() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if c.inputEnded {
		events = 0
	} else if c.closing || c.peerHalfClosed && !c.readingStopped {
		events = unix.EPOLLIN
	} else if c.readingStopped && c.peerHalfClosed {
		events = 0
	} else if c.readingStopped {
		events = unix.EPOLLRDHUP
	}
	if !c.connected || len(c.outputQueue) > 0 {
		events |= unix.EPOLLOUT
	}
	if events == c.interest {
		return
	}
	if !c.registered { // register brings them
		c.interest = events
		return
	}
	if err := c.loop.modify(c.fd, events); err != nil { // for lack of memory; what it waits for now still wakes it
		c.loop.At(c.loop.now+retryInterval, func() {
			if !c.closed {
				c.updateInterest()
			}
		})
		return
	}
	c.interest = events
}
