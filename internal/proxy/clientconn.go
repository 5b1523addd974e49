package proxy

import (
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/fastcgi"
)

// clientConn is one connection of a client.
type clientConn struct {
	server        *FastCGIServer
	number        int64 // of the connection, in the log
	conn          *eventloop.Conn
	decoder       fastcgi.Decoder
	openRequests  map[uint16]int64    // the proxy's number of each open request
	partialBytes  int                 // bytes of requests that have not come whole
	skipBytes     int                 // bytes to come that are passed over
	closeWhenDone bool                // the client asked for no further request on it
	blocked       []blockedRequest    // requests that wait until the client has read more
	cancelAt      eventloop.Timestamp // from when on nothing begins for a client that has left; 0: it has not

	polledAt         eventloop.Timestamp // when it was looked at in the middle of a turn
	completeRequests int                 // requests that came whole
	incompleteSince  eventloop.Timestamp // since when the client owes its first request, or the rest of one; 0: it does not
	lastAnswer       eventloop.Timestamp // when it last got an answer
}

// Receive takes whole records off what has come in.
func (c *clientConn) Receive(data []byte) (used int, err error) {
	asked := c.completeRequests
	skipped := min(c.skipBytes, len(data))
	c.skipBytes -= skipped
	used, err = c.decodeRecords(data[skipped:])
	if used += skipped; err != nil {
		c.stopReading(err)
		return len(data), nil
	}
	if c.server.memoryCritical() {
		used += c.rejectPartial(data[used:])
	}
	c.updatePartialBytes()
	switch unfinished := used < len(data) || c.decoder.Receiving(); {
	case !unfinished && c.completeRequests > 0:
		c.incompleteSince = 0
	case c.incompleteSince == 0 || c.completeRequests > asked:
		c.incompleteSince = c.server.p.loop.Now()
	}
	return used, nil
}

func (c *clientConn) decodeRecords(data []byte) (used int, err error) {
	for !c.conn.Ended() {
		n, ev, err := c.decoder.Decode(data[used:])
		if n == 0 || err != nil {
			return used, err
		}
		used += n
		switch ev := ev.(type) {
		case *fastcgi.Request:
			c.handleRequest(ev)
		case fastcgi.Rejected:
			c.completeRequests++
			c.closeWhenDone = c.closeWhenDone || !ev.KeepConn
			(&responder{conn: c, id: ev.ID}).write(fastcgi.Response{Status: 503, Body: []byte(ev.Err.Error() + "\n")})
		case fastcgi.Abort:
			c.handleAbort(ev.ID)
		case fastcgi.Reply:
			c.conn.Write(ev.Data)
			c.closeWhenDone = c.closeWhenDone || ev.Close
			c.closeIfDone()
		}
	}
	return len(data), nil
}

func (c *clientConn) handleRequest(r *fastcgi.Request) {
	c.completeRequests++
	c.closeWhenDone = c.closeWhenDone || !r.KeepConn
	to := &responder{conn: c, id: r.ID}
	if r.Script == healthPath {
		status := 503
		if c.server.p.lifecycle.phase == Serving {
			status = 200
		}
		to.write(fastcgi.Response{Status: status})
		return
	}
	in, err := c.server.parse(r)
	switch {
	case err != nil:
		to.write(fastcgi.Response{Status: 400, Body: []byte(err.Error() + "\n")})
	case (c.isBackpressured() || len(c.blocked) > 0) && !c.isDisconnected() && !c.server.p.lifecycle.rejecting():
		c.block(r, in)
	default:
		in.Timeout -= max(c.server.p.loop.SchedulingDelay(longestNap), c.conn.QueueingDelay()) // its client has been waiting for it
		c.submit(in, to)
	}
}

// submit takes on a request, or has it answered at once.
func (c *clientConn) submit(in Request, to *responder) {
	c.openRequests[to.id] = 0 // Submit may answer at once, which takes it out again
	if number := c.server.p.Submit(in, to); number != 0 {
		c.openRequests[to.id] = number
	}
}

// handleAbort ends a request that its client gave up. FastCGI wants END_REQUEST for it, as the number is in use
// until then; there is no other answer.
func (c *clientConn) handleAbort(id uint16) {
	if c.blocked = slices.DeleteFunc(c.blocked, func(r blockedRequest) bool { return r.request.ID == id }); len(c.blocked) == 0 {
		delete(c.server.blockedConns, c)
	}
	c.server.p.HandleDisconnect(c.openRequests[id])
	c.finishRequest(id, fastcgi.AppendEnd(nil, id, 1, fastcgi.Complete))
}

// finishRequest writes the last bytes of a request and frees its number.
func (c *clientConn) finishRequest(id uint16, data []byte) {
	delete(c.openRequests, id)
	c.lastAnswer = c.server.p.loop.Now()
	c.decoder.Done(id)
	c.conn.Write(data)
	c.closeIfDone()
}

// stopReading leaves the rest of what the client sends unread, as it can't be read. What came whole is owed its answer; the
// connection is closed after the last one.
func (c *clientConn) stopReading(err error) {
	c.server.p.log.Warn("client's connection is not read any more", "connection", c.number, "error", err, "open", len(c.openRequests))
	c.conn.StopReading()
	c.closeWhenDone = true
	c.incompleteSince = 0
	c.decoder.DropPartial()
	c.updatePartialBytes()
	c.closeIfDone()
}

// Closed gives up what was open on the connection. There is no error where this program has closed it of its own accord.
func (c *clientConn) Closed(err error) {
	delete(c.server.conns, c)
	for _, number := range c.openRequests {
		c.server.p.handleConnectionClosed(number, err != nil)
	}
	c.openRequests, c.blocked = nil, nil
	delete(c.server.blockedConns, c)
	c.setPartialBytes(0)
}

// closeIfDone closes a connection that its client wants to be closed, once it is empty.
func (c *clientConn) closeIfDone() {
	if c.closeWhenDone && c.hasNoOpenRequest() {
		c.conn.CloseAfterFlush()
	}
}

// hasNoOpenRequest says that no request is open.
func (c *clientConn) hasNoOpenRequest() bool { return len(c.openRequests) == 0 && !c.decoder.Busy() }

// idleTime is how long nothing has come or gone.
func (c *clientConn) idleTime() time.Duration {
	return c.server.p.loop.Now() - max(c.conn.LastReceived(), c.lastAnswer)
}

// isOverdue says that a client has paused for too long over a request, or has asked nothing for too long.
func (c *clientConn) isOverdue() bool {
	if c.incompleteSince != 0 && (c.idleTime() > requestPauseTimeout || c.server.p.loop.Now()-c.incompleteSince > requestReadTimeout) {
		return true
	}
	return c.idleTime() > idleTimeout
}

// expectsRequest says that the client has just connected, or has begun a record: what it asks would be lost by a close.
func (c *clientConn) expectsRequest() bool {
	return c.incompleteSince != 0 && c.server.p.loop.Now()-c.incompleteSince <= evictPartialAfter
}
