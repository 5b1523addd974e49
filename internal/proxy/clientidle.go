package proxy

// This file tells when a client's connection is idle, and what its close would lose.

import (
	"time"

	"cloverdoor/policy"
)

// slowestReadRate is the number of bytes a second that a client reads at the least, for the time that it needs to read what
// its system holds.
const slowestReadRate = 300_000

// idleTime returns the time since the client last sent a request or a part of one, or received a part of its answers.
// Other input does not count: a client could keep its connection for ever with it. The result is meaningless while the
// client has yet to receive a part of its answers.
func (c *clientConn) idleTime() time.Duration {
	_, deliveredAt := c.conn.UndeliveredOutput()
	lastInput := c.lastRequestAt
	if c.hasPartialRequest() {
		lastInput = c.conn.LastReceived()
	}
	return c.server.loop.Now() - max(lastInput, deliveredAt)
}

// isReceiving reports whether the client has yet to receive a part of its answers, or probably still reads what its
// system has received.
func (c *clientConn) isReceiving() bool {
	undeliveredBytes, _ := c.conn.UndeliveredOutput()
	return undeliveredBytes > 0 || c.isReading()
}

// isReading reports whether the client has received all its answers and probably still reads what its system holds of
// them.
func (c *clientConn) isReading() bool {
	undeliveredBytes, deliveredAt := c.conn.UndeliveredOutput()
	return undeliveredBytes == 0 && c.readsSlowly() && c.server.loop.Now()-deliveredAt < maxReadingTime
}

// hasUnreadAnswers reports whether the client has received all its answers and, by the window of its system, has yet to
// read some of them. It makes a system call only within maxReadingTime of the time at which the client last received or
// read something.
func (c *clientConn) hasUnreadAnswers() bool {
	undeliveredBytes, deliveredAt := c.conn.UndeliveredOutput()
	if undeliveredBytes > 0 || c.server.loop.Now()-max(deliveredAt, c.conn.PeerReadAt()) >= maxReadingTime {
		return false
	}
	unreadBytes, readAt := c.conn.UnreadByPeer()
	readingTime := time.Duration(float64(unreadBytes) / slowestReadRate * float64(time.Second))
	return c.server.loop.Now()-max(deliveredAt, readAt) < min(readingTime, maxReadingTime)
}

// readsSlowly reports whether the client's answers wait for its reading, and not just for a delayed acknowledgment.
func (c *clientConn) readsSlowly() bool { return c.conn.DeliveryTime() > crossingTime }

// isOverdue reports whether the client has exceeded a timeout for sending a request or for being idle. A
// client that waits for an answer, or has yet to receive a part of one, is never overdue.
func (c *clientConn) isOverdue() bool {
	if len(c.openRequests) > 0 || c.isReceiving() {
		return false
	}
	idle := c.idleTime()
	if c.incompleteSince == 0 {
		return idle > idleTimeout
	}
	return idle > requestPauseTimeout || c.server.loop.Now()-c.incompleteSince > requestReadTimeout
}

// expectsRequest reports whether the client has just connected or begun a request: a close at this time would lose
// the request.
func (c *clientConn) expectsRequest() bool {
	return c.incompleteSince != 0 && c.server.loop.Now()-c.incompleteSince <= evictPartialAfter
}

// closeInfo returns what policy.MayClose needs to decide whether an idle connection can be closed.
func (c *clientConn) closeInfo() policy.CloseInfo {
	return policy.CloseInfo{
		OpenRequests:   len(c.openRequests),
		QueuedBytes:    c.conn.QueuedBytes(),
		ClientReading:  c.hasUnreadAnswers,
		HasUnreadInput: c.conn.HasUnreadInput,
		UnackedBytes:   c.conn.UnackedBytes,
	}
}
