package proxy

// This file implements backpressure: while a client leaves too many bytes of its answers unread, its further
// requests are blocked. A blocked request is open, so that its client can abort it, but is not submitted.

import (
	"errors"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/fastcgi"
	"cloverdoor/policy"
)

// backpressureBytes is the number of queued bytes of answers at which a client's further requests are blocked.
const backpressureBytes = 1 << 20

// blockedTimeoutDivisor is the number by which a request's timeout is divided to get the time for which the request
// may be blocked; then it is rejected. A later rejection would leave the client too little time for a retry.
const blockedTimeoutDivisor = 2

// blockedRequestOverheadBytes is the memory that a blocked request takes beside the request itself.
const blockedRequestOverheadBytes = 512

// errMemoryLimit says that a connection was closed because its unread answers take memory that the process
// lacks.
var errMemoryLimit = errors.New("memory limit reached")

// blockedRequest is a request that is blocked by backpressure.
type blockedRequest struct {
	request   *fastcgi.Request
	parsed    Request
	blockedAt eventloop.Timestamp
}

// isBackpressured reports whether too many bytes of answers are queued for the client.
func (c *clientConn) isBackpressured() bool {
	return c.conn.QueuedBytes() >= backpressureBytes
}

// block holds a request back until the client has read more of its answers.
func (c *clientConn) block(r *fastcgi.Request, parsed Request) {
	c.openRequests[r.ID] = notSubmitted
	c.blocked = append(c.blocked, blockedRequest{request: r, parsed: parsed, blockedAt: c.server.loop.Now()})
	c.server.blockedConns[c] = true
}

// popBlocked removes and returns the oldest blocked request.
func (c *clientConn) popBlocked() blockedRequest {
	oldest := c.blocked[0]
	c.setBlocked(c.blocked[1:])
	c.updatePartialBytes()
	return oldest
}

// setBlocked replaces the blocked requests. If none is left, it removes the connection from the server's blockedConns.
func (c *clientConn) setBlocked(blocked []blockedRequest) {
	c.blocked = blocked
	if len(blocked) == 0 {
		delete(c.server.blockedConns, c)
	}
}

// submitUnblocked submits the blocked requests of clients that have meanwhile read enough of their answers.
func (f *FastCGIServer) submitUnblocked() {
	for c := range f.blockedConns {
		for len(c.blocked) > 0 && !c.isBackpressured() {
			c.submitBlocked(c.popBlocked())
		}
	}
}

// submitBlocked submits a request that was blocked. It is parsed again, as the settings' classes may have
// changed, and rejected if its class no longer exists.
func (c *clientConn) submitBlocked(b blockedRequest) {
	parsed, err := c.server.parse(b.request)
	if err != nil {
		c.rejectBlockedRequest(b)
		return
	}
	parsed.Timeout -= c.server.loop.Now() - b.blockedAt
	c.submit(parsed, &responder{conn: c, id: b.request.ID})
}

// rejectOverdueBlocked rejects the requests that at the time now have been blocked for too long. It starts with the
// oldest request and stops at the first one that has not.
func (c *clientConn) rejectOverdueBlocked(now eventloop.Timestamp) {
	for len(c.blocked) > 0 && now-c.blocked[0].blockedAt >= c.blocked[0].parsed.Timeout/blockedTimeoutDivisor {
		c.rejectBlockedRequest(c.popBlocked())
	}
}

// rejectBlockedRequest rejects a blocked request.
func (c *clientConn) rejectBlockedRequest(b blockedRequest) {
	to := &responder{conn: c, id: b.request.ID}
	c.server.handler.rejectUnsubmitted(b.parsed, to, Answer{
		Status: Rejected, RetryAfter: unsubmittedRetryAfter, Reason: policy.ReasonBackpressure,
	})
}

// relieveMemory frees memory for an answer while the memory budget is critical: queued output is written at
// once, and the connection of a stalled client is closed, which shows the client that its answers are
// incomplete.
func (c *clientConn) relieveMemory() {
	if !c.server.memory.critical() {
		return
	}
	c.conn.Flush()
	if c.isStalled() {
		c.closeStalled(errMemoryLimit)
	}
}

// isStalled reports whether the connection is to be closed as the client receives nothing of its answers. Once it is
// closing and its queue is empty, the event loop limits the wait for the client, and maxClosingTime all of the wait.
func (c *clientConn) isStalled() bool {
	if c.closingSince != 0 && c.server.loop.Now()-c.closingSince > maxClosingTime {
		return true
	}
	if c.conn.QueuedBytes() == 0 {
		return !c.conn.Ended() && c.isStalledFor(writeStallTimeout)
	}
	return c.isStalledFor(writeStallTimeout) || c.server.memory.critical() && c.isStalledFor(criticalWriteStallTimeout)
}

// isStalledFor reports whether the client has yet to receive a part of its answers and has received none for longer
// than timeout.
func (c *clientConn) isStalledFor(timeout time.Duration) bool {
	now := c.server.loop.Now()
	if now-c.conn.LastProgress() <= timeout {
		return false
	}
	undeliveredBytes, since := c.conn.UndeliveredOutput()
	return undeliveredBytes > 0 && now-since > timeout
}
