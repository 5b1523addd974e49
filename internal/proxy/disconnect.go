package proxy

// This file handles clients that close their sending side, or their connection, while they have open requests.

import (
	"time"

	"cloverdoor/internal/eventloop"
)

const (
	// disconnectGrace is the time from a client's close of its sending side to the cancellation of its open
	// requests. Nothing may be started for a client more than 0.1 s after its disconnect; without any grace, a
	// client that has closed only its sending side would lose answers that are about to come.
	disconnectGrace = 80 * time.Millisecond
	// clientPollInterval is the time since the last read from a client after which the client is polled within
	// a turn of the event loop.
	clientPollInterval = 30 * time.Millisecond
	// maxCatchUpPolls is the number of times that a client is polled to read what it has sent before an attempt.
	maxCatchUpPolls = 8
	// unknownDisconnectTime stands for the time of a disconnect if that time is unknown. It is long ago, so that
	// the grace is over.
	unknownDisconnectTime eventloop.Timestamp = 1
)

// PeerClosing records that the client closed its sending side after the given time (0: unknown). The client
// has most likely closed the connection, but may also wait for its answers: those that come within
// disconnectGrace are still sent.
func (c *clientConn) PeerClosing(closedAfter eventloop.Timestamp) {
	c.disconnectedSince = max(unknownDisconnectTime, closedAfter)
	c.server.loop.At(c.disconnectedSince+disconnectGrace, c.cancelOpenRequests)
}

// disconnectState returns whether and since when the client is disconnected.
func (c *clientConn) disconnectState() DisconnectState {
	if c.disconnectedSince == 0 {
		return DisconnectState{}
	}
	graceOver := c.server.loop.ReadClock() >= c.disconnectedSince+disconnectGrace
	return DisconnectState{Since: c.disconnectedSince, GraceOver: graceOver}
}

// pollClient reads what the client has sent since the turn began, if both the start of the turn and the last
// poll are longer ago than clientPollInterval: the client may have disconnected or aborted a request meanwhile. If its
// input has waited unread for as long, it reads that. It reports whether nothing is left that has waited for
// disconnectGrace: the client's end may be behind it.
func (c *clientConn) pollClient() (caughtUp bool) {
	now := c.server.loop.ReadClock()
	lastRead := max(c.polledAt, c.server.loop.Now())
	if now-lastRead > clientPollInterval {
		c.polledAt = now
		c.conn.PollNow()
	}
	c.catchUp()
	return c.unreadTime() < disconnectGrace
}

// catchUp reads input that has waited for longer than clientPollInterval, once in a turn.
func (c *clientConn) catchUp() {
	if c.caughtUpAt == c.server.loop.Now() {
		return
	}
	for polls := 0; polls < maxCatchUpPolls && c.unreadTime() > clientPollInterval; polls++ {
		c.caughtUpAt = c.server.loop.Now()
		c.conn.PollNow()
	}
}

// unreadTime returns for how long input may have waited that has not been read; 0: none is known.
func (c *clientConn) unreadTime() time.Duration {
	since := c.conn.UnreadInputSince()
	if since == 0 || c.conn.Ended() {
		return 0
	}
	return c.server.loop.ReadClock() - since
}

// cancelOpenRequests ends the requests of a client that has disconnected: it rejects the blocked ones and cancels
// the others.
func (c *clientConn) cancelOpenRequests() {
	c.rejectAllBlocked()
	for _, number := range c.openRequests {
		c.server.handler.cancelAfterDisconnect(number)
	}
}

// PeerClosed reports whether output for the client is pending: an answer to an open request, or queued bytes. The
// connection is closed once all of it is written.
func (c *clientConn) PeerClosed() (outputPending bool) {
	c.closeWhenDone = true
	if len(c.openRequests) > 0 {
		return true
	}
	if c.conn.QueuedBytes() == 0 {
		return false
	}
	c.closeGracefully(closedHalfClose)
	return true
}
