package proxy

// This file holds what is done when a client stops sending, or closes its connection, while requests of it
// are open.

import (
	"math"
	"time"

	"cloverdoor/internal/eventloop"
)

const (
	// disconnectGrace is how long after a client has stopped sending its open requests are cancelled. Nothing
	// may begin for it more than 0.1 s after a disconnect; without any grace, a client that has closed only
	// its sending side would lose answers that are about to come.
	disconnectGrace = 80 * time.Millisecond
	// clientPollInterval is how old what has been read from a client may be before it is polled within a
	// turn.
	clientPollInterval = 30 * time.Millisecond
	// unknownDisconnectTime stands for a disconnect whose time is not known: it counts as long ago, so that
	// the grace is over.
	unknownDisconnectTime eventloop.Timestamp = 1
)

// PeerClosing notes that the client sends no more: it stopped after the given time (0: not known). It has
// most likely closed the connection, but may also have closed only its sending side and wait for its answers:
// those that come within disconnectGrace are still sent.
func (c *clientConn) PeerClosing(after eventloop.Timestamp) {
	c.disconnectedSince = max(unknownDisconnectTime, after)
	c.server.loop.At(c.disconnectedSince+disconnectGrace, c.cancelOpenRequests)
}

// disconnectState says whether and since when the client is disconnected.
func (c *clientConn) disconnectState() Disconnect {
	if c.disconnectedSince == 0 {
		return Disconnect{}
	}
	graceOver := c.server.loop.CurrentTime() >= c.disconnectedSince+disconnectGrace
	return Disconnect{Since: c.disconnectedSince, GraceOver: graceOver}
}

// pollClient reads what the client has sent since the turn began, if the turn, or the last poll, is older
// than clientPollInterval: the client may have disconnected or aborted a request meanwhile.
func (c *clientConn) pollClient() {
	now := c.server.loop.CurrentTime()
	lastRead := max(c.polledAt, c.server.loop.Now())
	if now-lastRead > clientPollInterval {
		c.polledAt = now
		c.conn.PollNow()
	}
}

// cancelOpenRequests cancels the requests of a client that has disconnected.
func (c *clientConn) cancelOpenRequests() {
	c.rejectOverdueBlocked(math.MaxInt64)
	for _, number := range c.openRequests {
		c.server.handler.CancelAfterDisconnect(number)
	}
}

// PeerClosed reports whether the client is still owed output. The connection is closed once it is not any
// more.
func (c *clientConn) PeerClosed() (owed bool) {
	c.closeWhenDone = true
	if len(c.openRequests) > 0 {
		return true
	}
	queuedBytes, _ := c.conn.QueuedOutput()
	if queuedBytes == 0 {
		return false
	}
	c.conn.CloseAfterFlush()
	return true
}
