package proxy

// This file closes the connections of clients that are to be disconnected, because of a drain or a shutdown. Until the
// time of lifecycle.closeTime a connection is closed when nothing is lost by that; then it is closed unless its client
// has yet to read answers, and at lifecycle.readBy in any case, so that no client can put off the end of a drain or of the
// process.

import (
	"math"
	"time"

	"cloverdoor/policy"
)

const (
	// crossingTime is the time that a request may take to cross the close of its connection: the client sends such a
	// request again.
	crossingTime = 50 * time.Millisecond
	// slowReadRate is the number of bytes a second by which the time of a client that reads slowly is estimated: half of
	// what such clients read, as the bytes that their systems hold can't be seen.
	slowReadRate = 500_000
	// maxReadsBeforeClose is the number of times that a connection is polled for input before it is closed.
	maxReadsBeforeClose = 4
)

// closeDrainedConns closes connections while clients are to be disconnected. It is called at the end of a turn, when all
// output of the turn is written. A connection that can't be closed is checked again in the next turn, so its denial
// isn't counted.
func (f *FastCGIServer) closeDrainedConns() {
	for c := range f.conns {
		c.closeIfDrained()
	}
	f.loop.Flush()
	f.reportHeldConns()
}

// closeIfDrained closes the connection if nothing remains to be done on it, or if its time is over.
func (c *clientConn) closeIfDrained() {
	now := c.server.loop.Now()
	closeTime, limited := c.server.lifecycle.closeTime(c.conn.CreatedAt())
	switch {
	case c.conn.Ended():
		c.hold.update(policy.ReasonClosing, now)
	case limited && now >= closeTime:
		c.closeAtTimeLimit(now >= c.server.lifecycle.readBy)
	default:
		if c.needsTimeToRead() {
			c.answerOpenRequests()
		}
		verdict := policy.MayClose(c.drainInfo())
		c.hold.update(verdict.Reason, now)
		if verdict.Allowed() {
			c.closeGracefully(closedDrained)
		}
	}
}

// closeAtTimeLimit reads what has arrived, answers all that is open and closes the connection. What arrives later crosses
// the close, and a request that has arrived in part is not answered. A client that has yet to read answers would not see
// the end of the connection and go on sending: until the time for reading is over, its connection stays open and its
// further requests are rejected.
func (c *clientConn) closeAtTimeLimit(readingTimeOver bool) {
	c.readRemainingInput()
	if c.conn.Ended() {
		return
	}
	held := policy.MayClose(c.drainInfo())
	c.answerOpenRequests()
	if !readingTimeOver && c.hasAnswersToRead() {
		c.hold.update(policy.ReasonReading, c.server.loop.Now())
		return
	}
	if !held.Allowed() {
		c.hold.update(held.Reason, c.server.loop.Now())
		c.logHold("client connection held to the time limit")
	}
	c.decoder.DropPartial()
	c.updatePartialBytes()
	c.closeGracefully(closedAtTimeLimit)
}

// readRemainingInput reads and handles what has arrived. Of a client that has sent more than a few reads return, the rest
// crosses the close.
func (c *clientConn) readRemainingInput() {
	for range maxReadsBeforeClose {
		c.conn.PollNow()
		if c.conn.Ended() || !c.conn.InputLeft() {
			return
		}
	}
}

// hasAnswersToRead reports whether the client has answers on their way, more than it reads while a request may cross the
// close, or has yet to read some that it has received.
func (c *clientConn) hasAnswersToRead() bool {
	undeliveredBytes, _ := c.conn.UndeliveredOutput()
	return float64(undeliveredBytes) > slowReadRate*crossingTime.Seconds() || c.mayHaveUnreadAnswers()
}

// answerOpenRequests cancels the open requests and rejects the blocked ones.
func (c *clientConn) answerOpenRequests() {
	c.rejectAllBlocked()
	for _, number := range c.openRequests {
		c.server.handler.cancelBeforeClose(number)
	}
}

// rejectAllBlocked rejects the requests that are blocked by backpressure.
func (c *clientConn) rejectAllBlocked() { c.rejectOverdueBlocked(math.MaxInt64) }

// drainInfo returns what policy.MayClose needs to decide whether a connection can be closed because clients are to be
// disconnected. No answer may be lost, nor anything that the client has sent or is about to send. Answers that were sent
// need not be acknowledged: the end of the connection follows right behind them, and CloseAfterFlush waits for the
// client.
func (c *clientConn) drainInfo() policy.CloseInfo {
	return policy.CloseInfo{
		OpenRequests:   len(c.openRequests),
		QueuedBytes:    c.conn.QueuedBytes(),
		PartialRequest: c.hasPartialRequest(),
		RecentlyUsed:   c.expectsRequest(),
		ClientReading:  c.mayHaveUnreadAnswers,
		UnsentBytes:    c.conn.UnsentBytes,
		HasUnreadInput: c.conn.HasUnreadInput,
	}
}

// mayHaveUnreadAnswers reports whether the client has answers that it has yet to read, as far as that can be seen, and would
// not notice the end of the connection before it has read them.
func (c *clientConn) mayHaveUnreadAnswers() bool {
	return c.readsSlowly() && c.isReceiving() || c.hasUnreadAnswers()
}

// hasNoTimeForAnswer reports whether a client that reads slowly would not receive the answer to a further request before
// its connection has to be closed, because of the answers before it.
func (c *clientConn) hasNoTimeForAnswer() bool {
	if !c.server.lifecycle.disconnecting() {
		return false
	}
	undeliveredBytes, _ := c.conn.UndeliveredOutput()
	return float64(undeliveredBytes) > c.timeLeft().Seconds()*slowReadRate || c.needsTimeToRead()
}

// needsTimeToRead reports whether a client that reads slowly needs the time until its connection has to be closed for the
// answers that it has been sent: once for its system to receive them, once to read them. It would go on sending, and not
// see the end of the connection, until it has read them.
func (c *clientConn) needsTimeToRead() bool {
	return c.readsSlowly() && c.timeLeft() < 2*c.conn.DeliveryTime()
}

// timeLeft returns the time until the connection has to be closed. Clients must be about to be disconnected.
func (c *clientConn) timeLeft() time.Duration {
	closeTime, _ := c.server.lifecycle.closeTime(c.conn.CreatedAt())
	return max(0, closeTime-c.server.loop.Now())
}
