package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

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
