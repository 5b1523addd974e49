package proxy

import (
	"math"

	"cloverdoor/internal/eventloop"
)

// PeerClosing notes that the client sends no more. It has closed, most likely, and nothing must begin for it long after. It
// may also wait for its answers all the same: it gets what can be had at once.
func (c *clientConn) PeerClosing(after eventloop.Timestamp) {
	c.cancelAt = max(1, after+disconnectGrace)
	c.server.p.loop.At(c.cancelAt, c.cancelOpenRequests)
}

func (c *clientConn) isDisconnected() bool {
	return c.cancelAt != 0 && c.server.p.loop.CurrentTime() >= c.cancelAt
}

// pollClient reads what has come since the turn began, if that is long ago: the client may have left, or taken back what it
// asked for.
func (c *clientConn) pollClient() {
	now := c.server.p.loop.CurrentTime()
	if now-max(c.polledAt, c.server.p.loop.Now()) > clientPollInterval {
		c.polledAt = now
		c.conn.PollNow()
	}
}

// cancelOpenRequests ends what is open for a client that has left.
func (c *clientConn) cancelOpenRequests() {
	c.rejectBlocked(math.MaxInt64)
	for _, number := range c.openRequests {
		c.server.p.CancelAfterDisconnect(number)
	}
}

// PeerClosed says whether the client is still owed something; it is closed when it is not any more.
func (c *clientConn) PeerClosed() (owed bool) {
	c.closeWhenDone = true
	if bytes, _ := c.conn.QueuedOutput(); len(c.openRequests) == 0 && bytes == 0 {
		return false
	}
	if len(c.openRequests) == 0 {
		c.conn.CloseAfterFlush()
	}
	return true
}
