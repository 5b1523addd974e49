package proxy

// This file handles a client's connection: its records and its open requests.

import (
	"errors"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/fastcgi"
	"cloverdoor/policy"
)

// healthPath is the script name of the load balancer's health check. It is answered with 200 while the proxy
// is serving.
const healthPath = "/alive"

// maxConsecutiveReplies is the maximum number of replies to records, such as GET_VALUES, between two requests.
const maxConsecutiveReplies = 1000

// errTooManyReplies is the reason for reading no further from a client that has sent too many records without a request.
var errTooManyReplies = errors.New("too many records that need a reply and are no request")

// notSubmitted takes the place of a request's number while the request is blocked, or while submitRequest decides
// whether to admit it.
const notSubmitted = 0

// clientConn is one connection of a client, on which any number of requests may be open at a time.
type clientConn struct {
	server  *FastCGIServer
	number  int64 // identifies the connection in the log
	conn    *eventloop.Conn
	decoder fastcgi.Decoder

	openRequests      map[uint16]int64    // request numbers, or notSubmitted, by FastCGI id; nil once closed
	blocked           []blockedRequest    // the oldest first
	completeRequests  int                 // number of requests received completely, or rejected before they were complete
	sentUsableRequest bool                // one of them could be used
	closeWhenDone     bool                // no further request will be read; the connection is closed once all are answered
	closeReason       closeReason         // why the connection closes; empty: it does not, or its peer closes it
	closingSince      eventloop.Timestamp // when the graceful close began; 0: it has not
	hold              connHold            // why it is still open although clients are to be disconnected

	partialBytes    int                 // memory of partial and blocked requests
	skipBytes       int                 // bytes of a discarded record that have not been received yet
	incompleteSince eventloop.Timestamp // when the wait for the first request, or the rest of one, began; 0: no wait

	lastRequestAt      eventloop.Timestamp // when a request was last completed, rejected or aborted; before: when the client connected
	consecutiveReplies int                 // replies to other records since then

	polledAt          eventloop.Timestamp // when the client was last polled within a turn of the event loop
	caughtUpAt        eventloop.Timestamp // see catchUp
	disconnectedSince eventloop.Timestamp // the client closed its sending side after this time; 0: that side is open
}

// Receive handles the complete records in data, as far as the time of the connection in this turn suffices, and returns
// how many bytes it consumed. A protocol error stops reading but does not close the connection, so the returned error is
// always nil.
func (c *clientConn) Receive(data []byte) (used int, err error) {
	completeBefore := c.completeRequests
	skippedBytes := min(c.skipBytes, len(data))
	c.skipBytes -= skippedBytes
	decodedBytes, err := c.decodeRecords(data[skippedBytes:])
	if err != nil {
		c.stopReading(err)
		return len(data), nil
	}
	used = skippedBytes + decodedBytes
	c.updatePartialBytes()
	if c.mustRejectPartial(len(data) - used) {
		used += c.rejectPartial(data[used:])
		c.updatePartialBytes()
	}
	hasPartial := used < len(data) || c.decoder.Receiving()
	c.updateIncompleteSince(hasPartial, c.completeRequests > completeBefore)
	return used, nil
}

// updateIncompleteSince updates the start of the wait for a request or the rest of one. The wait restarts
// whenever a request is completed, as a partial request after it is another one.
func (c *clientConn) updateIncompleteSince(hasPartial, completedRequest bool) {
	if !hasPartial && c.completeRequests > 0 {
		c.incompleteSince = 0
		return
	}
	if c.incompleteSince == 0 || completedRequest {
		c.incompleteSince = c.server.loop.Now()
	}
}

// decodeRecords decodes and handles records until data holds no further complete one, the connection ends, or it has to
// wait for its next turn.
func (c *clientConn) decodeRecords(data []byte) (used int, err error) {
	for !c.conn.Ended() {
		n, event, err := c.decoder.Decode(data[used:])
		if n == 0 || err != nil {
			return used, err
		}
		used += n
		c.handleEvent(event)
		if used < len(data) && c.yieldIfNeeded() {
			return used, nil
		}
	}
	return len(data), nil
}

// yieldIfNeeded leaves further records for a later turn if the connection has had its part of this one, or if the decision
// module has as many events as it should get in a turn; then other clients have to wait too.
func (c *clientConn) yieldIfNeeded() (yielded bool) {
	switch {
	case c.server.handler.isBacklogged():
		c.conn.YieldGroup()
	case c.conn.SliceOver():
		c.conn.Yield()
	default:
		return false
	}
	return true
}

// handleEvent handles the event of one record. Most records produce no event; event is then nil.
func (c *clientConn) handleEvent(event fastcgi.Event) {
	_, isReply := event.(fastcgi.Reply)
	if event != nil && !isReply {
		c.lastRequestAt = c.server.loop.Now()
		c.consecutiveReplies = 0
	}
	switch event := event.(type) {
	case *fastcgi.Request:
		c.handleRequest(event)
	case fastcgi.Rejected:
		c.completeRequests++
		c.closeUnlessKept(event.KeepConn)
		to := &responder{conn: c, id: event.ID}
		c.server.counters.countNotServed(policy.ReasonTooLarge)
		to.writeError(statusServiceUnavailable, event.Err)
	case fastcgi.Abort:
		c.handleAbort(event.ID)
	case fastcgi.Reply:
		c.handleReply(event)
	}
}

// handleReply writes a reply to a record that is no part of a complete request. A client that only has such records to
// send is not read further.
func (c *clientConn) handleReply(reply fastcgi.Reply) {
	c.consecutiveReplies++
	if c.consecutiveReplies > maxConsecutiveReplies {
		c.stopReading(errTooManyReplies)
		return
	}
	c.conn.Write(reply.Data)
	c.closeUnlessKept(!reply.Close)
	c.closeIfDone()
}

// handleRequest answers a health check, and submits or blocks any other request.
func (c *clientConn) handleRequest(r *fastcgi.Request) {
	c.completeRequests++
	c.closeUnlessKept(r.KeepConn)
	to := &responder{conn: c, id: r.ID}
	if r.Script == healthPath {
		c.sentUsableRequest = true
		c.answerHealthCheck(to)
		return
	}
	parsed, err := c.server.parse(r)
	if err != nil {
		c.server.counters.countNotServed(policy.ReasonMalformed)
		to.writeError(statusBadRequest, err)
		return
	}
	c.sentUsableRequest = true
	if c.hasNoTimeForAnswer() {
		c.server.handler.rejectUnsubmitted(parsed, to, Answer{
			Status: Rejected, RetryAfter: unsubmittedRetryAfter, Reason: policy.ReasonStopping,
		})
		return
	}
	if c.mustBlock() {
		c.block(r, parsed)
		return
	}
	parsed.Timeout -= c.waitBeforeRead()
	c.submit(parsed, to)
}

// mustBlock reports whether the next request is blocked, because of backpressure or because earlier requests
// are blocked, as requests are submitted in the order in which they arrived. A request that would be rejected
// anyway is not blocked: submitRequest rejects it.
func (c *clientConn) mustBlock() bool {
	if !c.isBackpressured() && len(c.blocked) == 0 {
		return false
	}
	return !c.disconnectState().GraceOver && !c.server.lifecycle.rejecting()
}

// waitBeforeRead returns the longest time that a request that has just been read may have waited in the kernel.
func (c *clientConn) waitBeforeRead() time.Duration {
	return max(c.server.loop.SchedulingDelay(maxPollTime), c.conn.QueueingDelay())
}

// answerHealthCheck answers 200 while the proxy is serving, otherwise 503.
func (c *clientConn) answerHealthCheck(to *responder) {
	status := statusServiceUnavailable
	if c.server.lifecycle.phase == Serving {
		status = statusOK
	}
	to.write(fastcgi.Response{Status: status})
}

// submit submits a request. The request is marked as open before submitRequest is called, because submitRequest may
// answer it, which removes the mark.
func (c *clientConn) submit(parsed Request, to *responder) {
	c.openRequests[to.id] = notSubmitted
	number := c.server.handler.submitRequest(parsed, to)
	if number != notSubmitted {
		c.openRequests[to.id] = number
	}
}

// handleAbort ends a request that its client has aborted. The only answer is the END_REQUEST record that
// FastCGI requires, after which the client may use the request's id again.
func (c *clientConn) handleAbort(id uint16) {
	c.setBlocked(slices.DeleteFunc(c.blocked, func(b blockedRequest) bool { return b.request.ID == id }))
	c.server.handler.handleDisconnect(c.openRequests[id])
	c.finishRequest(id, fastcgi.AppendAborted(nil, id))
}

// finishRequest writes data, the complete answer to a request, and frees the request's id.
func (c *clientConn) finishRequest(id uint16, data []byte) {
	delete(c.openRequests, id)
	c.decoder.Done(id)
	c.conn.Write(data)
	c.closeIfDone()
}
