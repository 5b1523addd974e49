package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// retryInterval is the pause before a system call that failed for lack of memory or another local resource is
// repeated.
const retryInterval = 20 * time.Millisecond

// errorEvents are the epoll events of a connection that was reset or has ended in both directions.
const errorEvents = unix.EPOLLHUP | unix.EPOLLERR

// Conn is a non-blocking TCP connection of a Loop.
type Conn struct {
	loop    *Loop
	fd      int
	handler Handler

	connected      bool   // the handshake is complete
	closing        bool   // CloseAfterFlush was called
	closed         bool   // the descriptor is closed
	registered     bool   // with epoll
	readingStopped bool   // StopReading was called: input is read and discarded
	peerHalfClosed bool   // a HalfCloser was notified that the peer has shut down its sending side
	inputEnded     bool   // all input up to the peer's shutdown has been read
	flushScheduled bool   // the connection is in Loop.toFlush
	interest       uint32 // epoll events that are watched

	group       Group
	queued      bool      // in Loop.ready
	readyEvents uint32    // epoll events that are to be handled when it is served
	yielded     bool      // the handler has left input for a later turn, see Yield
	inputLeft   bool      // the last reads ended before all input had been read
	sliceEnd    Timestamp // see SliceOver

	unparsed       []byte   // received input that the handler has not consumed
	discardedBytes int      // see DiscardedBytes
	outputQueue    []output // output that has not been written completely
	queuedBytes    int      // in outputQueue; a message counts only once a part of it has been written

	connectTimer    *Timer // fires at the connect timeout; nil for an accepted connection
	createdAt       Timestamp
	lastReceivedAt  Timestamp     // see LastReceived
	connectDuration time.Duration // see ConnectDuration

	delays   inputDelays
	backlog  inputBacklog
	delivery delivery
	peer     peerWindow
}

// Connected reports whether the handshake is complete.
func (c *Conn) Connected() bool { return c.connected }

// Age returns the time since the connection was dialed or accepted.
func (c *Conn) Age() time.Duration { return c.loop.now - c.createdAt }

// CreatedAt returns when the connection was dialed or accepted.
func (c *Conn) CreatedAt() Timestamp { return c.createdAt }

// ConnectDuration returns how long the handshake took; 0 for a connection that is not established or was
// accepted.
func (c *Conn) ConnectDuration() time.Duration { return c.connectDuration }

// Ended reports whether the connection is closed or closing.
func (c *Conn) Ended() bool { return c.closed || c.closing }

// LastReceived returns when input last arrived or, before any has, when the connection was established.
func (c *Conn) LastReceived() Timestamp { return c.lastReceivedAt }

// UnparsedBytes returns how many bytes of input have been received and not consumed by the handler.
func (c *Conn) UnparsedBytes() int { return len(c.unparsed) }

// DiscardedBytes returns how many bytes of input were read and discarded after CloseAfterFlush was called.
func (c *Conn) DiscardedBytes() int { return c.discardedBytes }

// open reports whether the connection can transfer data.
func (c *Conn) open() bool { return c.connected && !c.closed }

// handleEvents notices the end of the connection at once, whatever input of it waits, and leaves the rest of the events to
// the time when the connection is served.
func (c *Conn) handleEvents(events uint32) {
	c.noticeEnd(events)
	if !c.closed {
		c.loop.enqueue(c, events)
	}
}

// noticeEnd handles what epoll events say of the end of an established connection.
func (c *Conn) noticeEnd(events uint32) {
	switch {
	case !c.open():
	case c.isReset(events):
		c.Fail(unix.ECONNRESET)
	case events&unix.EPOLLRDHUP != 0:
		c.notifyPeerClosing()
	}
}

// processEvents handles epoll events. Each step may close the connection.
func (c *Conn) processEvents(events uint32) {
	if !c.connected {
		c.finishConnect()
	}
	c.noticeEnd(events)
	if !c.open() {
		return
	}
	if c.yielded || c.wantsInput() && events&(unix.EPOLLIN|unix.EPOLLRDHUP|errorEvents) != 0 {
		c.receive()
	}
	if c.open() && events&unix.EPOLLOUT != 0 {
		c.scheduleFlush()
	}
}

// isReset reports whether events say that the connection has ended and its remaining input is of no use: all
// of it has been read, it is discarded, or the peer of a HalfCloser has reset the connection and so wants no
// answer any more.
func (c *Conn) isReset(events uint32) bool {
	if (c.inputEnded || c.readingStopped) && events&errorEvents != 0 {
		return true
	}
	_, isHalfCloser := c.handler.(HalfCloser)
	return isHalfCloser && events&unix.EPOLLERR != 0
}

// wantsInput reports whether input is to be read. After StopReading and while the connection is closing, it is read and
// discarded.
func (c *Conn) wantsInput() bool { return !c.inputEnded }

// notifyPeerClosing notifies a HalfCloser, once, that the peer has shut down its sending side.
func (c *Conn) notifyPeerClosing() {
	handler, isHalfCloser := c.handler.(HalfCloser)
	if !isHalfCloser || c.closing || c.peerHalfClosed {
		return
	}
	c.peerHalfClosed = true
	handler.PeerClosing(c.peerClosedAfter())
}

// peerClosedAfter returns a time after which the peer shut down its sending side; 0: unknown. The previous
// poll would have reported an earlier shutdown, unless the connection is newer than that poll or input was in the way.
func (c *Conn) peerClosedAfter() Timestamp {
	if c.createdAt >= c.loop.previousPollEnd {
		return c.delays.connectedAfter
	}
	if unreadSince := c.UnreadInputSince(); unreadSince != 0 {
		return min(unreadSince, c.loop.previousPollEnd)
	}
	return c.loop.previousPollEnd
}
