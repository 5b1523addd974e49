package proxy

// This file closes client connections, and accounts for those that have closed.

import (
	"errors"

	"cloverdoor/internal/eventloop"
)

// closeGracefully closes the connection for a reason once its output has been sent. The first reason counts.
func (c *clientConn) closeGracefully(reason closeReason) {
	if c.conn.Ended() {
		return
	}
	c.setCloseReason(reason)
	c.closingSince = c.server.loop.Now()
	c.conn.CloseAfterFlush()
}

// setCloseReason records why the connection closes, unless that is known.
func (c *clientConn) setCloseReason(reason closeReason) {
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

// recordClose counts the end of the connection, and logs it unless its cause was logged. err is what ended it; open
// requests get no answer.
func (c *clientConn) recordClose(err error) {
	c.setCloseReason(reasonOfError(err))
	c.server.counters.connsClosed[c.closeReason]++
	if c.closeReason.causeIsLogged() {
		return
	}
	c.server.log.Info(closeMessage(c.closeReason), "connection", c.number, "reason", c.closeReason, "error", err,
		"phase", c.server.lifecycle.phase, "age", c.conn.Age(), "complete_requests", c.completeRequests,
		"requests", c.openRequestIDs(), "discarded_bytes", c.conn.DiscardedBytes())
}

// stopReading ignores further input after a protocol error. Requests that were complete before the error are
// still answered, and the connection is closed after the last answer.
func (c *clientConn) stopReading(err error) {
	c.server.log.Warn("client connection not read further, protocol error",
		"connection", c.number, "error", err, "open_requests", len(c.openRequests))
	c.conn.StopReading()
	c.setCloseReason(closedProtocolError)
	c.closeWhenDone = true
	c.incompleteSince = 0
	c.decoder.DropPartial()
	c.updatePartialBytes()
	c.closeIfDone()
}

// closeIdle closes the connection of a client that has neither sent nor received anything for too long.
func (c *clientConn) closeIdle() {
	c.server.log.Info("client connection closed, idle", "connection", c.number, "idle", c.idleTime(),
		"queued_bytes", c.conn.QueuedBytes(), "unacknowledged_bytes", c.conn.UnackedBytes())
	c.closeGracefully(closedIdle)
}

// Closed ends the open requests of a connection that was closed by its client or by a failure, or after its output
// had been written.
func (c *clientConn) Closed(err error) {
	if discardedBytes := c.conn.DiscardedBytes(); discardedBytes > 0 {
		c.server.log.Warn("client input discarded, it arrived after the close", "connection", c.number, "bytes", discardedBytes)
	}
	if errors.Is(err, eventloop.ErrWriteStalled) {
		c.logStalledClose(err, eventloop.MaxQueuedBytes)
	}
	c.release(err)
}

// closeStalled closes the connection of a client that has read none of its queued answers for too long; while the
// memory budget is critical, a shorter time is too long. Its open requests get no answer.
func (c *clientConn) closeStalled(reason error) {
	c.logStalledClose(reason, c.conn.QueuedBytes())
	c.conn.Close()
	c.release(reason)
}

// logStalledClose logs that the connection is closed although its client has not read all output.
func (c *clientConn) logStalledClose(reason error, queuedBytes int) {
	c.server.log.Info("client connection closed, output not read",
		"connection", c.number, "reason", reason, "queued_bytes", queuedBytes, "requests", c.openRequestIDs())
}

// release removes a closed connection from its server and ends the open requests. An eviction (errEvicted),
// unlike any other cause, must not happen while a request is open.
func (c *clientConn) release(err error) {
	c.recordClose(err)
	if c.server.conns[c] {
		delete(c.server.conns, c)
		c.server.memory.clientConns--
	}
	delete(c.server.blockedConns, c)
	for _, number := range c.openRequests {
		c.server.handler.handleConnectionClosed(number, errors.Is(err, errEvicted))
	}
	c.openRequests = nil
	c.blocked = nil
	c.setPartialBytes(0)
}

// closeIfDone closes the connection if no further request will be read from it and all have been answered.
func (c *clientConn) closeIfDone() {
	if c.closeWhenDone && c.hasNoOpenRequest() {
		c.closeGracefully(closedHalfClose)
	}
}

// closeUnlessKept has the connection closed after the open requests if one of them did not set KEEP_CONN.
func (c *clientConn) closeUnlessKept(keepConn bool) {
	if !keepConn {
		c.setCloseReason(closedWithoutKeep)
		c.closeWhenDone = true
	}
}

// hasNoOpenRequest reports whether the connection has neither an open request nor a partial one.
func (c *clientConn) hasNoOpenRequest() bool { return len(c.openRequests) == 0 && !c.decoder.Busy() }
