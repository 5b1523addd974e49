package proxy

import (
	"math"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/fastcgi"
)

// clientConn is one connection of a client.
type clientConn struct {
	front   *FastCGIServer
	number  int64 // of the connection, in the log
	conn    *eventloop.Conn
	decoder fastcgi.Decoder
	open    map[uint16]int64    // the proxy's number of each open request
	partial int                 // bytes of requests that have not come whole
	skip    int                 // bytes to come that are passed over
	last    bool                // the client asked for no further request on it
	parked  []parked            // requests that wait until the client has read more
	goneBy  eventloop.Timestamp // from when on nothing begins for a client that has left; 0: it has not

	looked          eventloop.Timestamp // when it was looked at in the middle of a turn
	asked           int                 // requests that came whole
	incompleteSince eventloop.Timestamp // since when the client owes its first request, or the rest of one; 0: it does not
	answered        eventloop.Timestamp // when it last got an answer
}

// idle is how long nothing has come or gone.
func (c *clientConn) idle() time.Duration {
	return c.front.p.loop.Now() - max(c.conn.LastReceived(), c.answered)
}

// overdue says that a client has paused for too long over a request, or has asked nothing for too long.
func (c *clientConn) overdue() bool {
	if c.incompleteSince != 0 && (c.idle() > wholeAfter || c.front.p.loop.Now()-c.incompleteSince > wholeAtMost) {
		return true
	}
	return c.idle() > idleAfter
}

// midRequest says whether a request has come in part.
func (c *clientConn) midRequest() bool { return c.conn.UnparsedBytes() > 0 || c.decoder.Receiving() }

// evictable says whether a connection may be closed to make room for another.
func (c *clientConn) evictable() bool {
	bytes, _ := c.conn.QueuedOutput()
	if len(c.open) > 0 || bytes > 0 || c.conn.Ended() {
		return false // looked at here as well, as all connections are asked: what is left is decided by policy.MayClose
	}
	return c.idle() > [...]time.Duration{evictSilentAfter, evictIdleAfter, evictPartialAfter}[c.evictionRank()]
}

// evictBefore compares evictable connections: those that have said nothing go first, those in the middle of a request last.
func (c *clientConn) evictBefore(other *clientConn) bool {
	if a, b := c.evictionRank(), other.evictionRank(); a != b {
		return a < b
	}
	return c.idle() > other.idle()
}

func (c *clientConn) evictionRank() int {
	switch {
	case c.midRequest():
		return 2
	case c.asked > 0:
		return 1
	}
	return 0
}

// Receive takes whole records off what has come in.
func (c *clientConn) Receive(data []byte) (used int, err error) {
	asked := c.asked
	skipped := min(c.skip, len(data))
	c.skip -= skipped
	used, err = c.records(data[skipped:])
	if used += skipped; err != nil {
		c.stopReading(err)
		return len(data), nil
	}
	if c.front.memoryFull() {
		used += c.turnAwayPartial(data[used:])
	}
	c.recount()
	switch unfinished := used < len(data) || c.decoder.Receiving(); {
	case !unfinished && c.asked > 0:
		c.incompleteSince = 0
	case c.incompleteSince == 0 || c.asked > asked:
		c.incompleteSince = c.front.p.loop.Now()
	}
	return used, nil
}

// stopReading leaves the rest of what the client sends unread, as it can't be read. What came whole is owed its answer; the
// connection is closed after the last one.
func (c *clientConn) stopReading(err error) {
	c.front.p.log.Warn("client's connection is not read any more", "connection", c.number, "error", err, "open", len(c.open))
	c.conn.StopReading()
	c.last = true
	c.incompleteSince = 0
	c.decoder.DropPartial()
	c.recount()
	c.closeIfLast()
}

// turnAwayPartial gives back the memory of requests that have come in part: they are refused, and what still comes of them is passed
// over. It returns how much of a record that has begun is used up: the rest of it is skipped.
func (c *clientConn) turnAwayPartial(record []byte) (used int) {
	for _, id := range c.decoder.DropPartial() {
		c.asked++
		c.conn.Write(fastcgi.AppendEnd(nil, id, 0, fastcgi.Overloaded))
	}
	rest := fastcgi.MissingBytes(record)
	if rest == 0 || len(record) < leastSkipped {
		return 0
	}
	c.skip = rest
	return len(record)
}

// count keeps the proxy's sum of unfinished requests. A connection may be closed while what it brought is being
// taken: counted afterwards, it would stay in the sum for good, and the front would refuse more and more.
func (c *clientConn) count(held int) {
	if c.open == nil {
		held = 0
	}
	c.front.p.memory.partial += held - c.partial
	c.partial = held
}

func (c *clientConn) recount() {
	held := c.decoder.BufferedBytes()
	for _, r := range c.parked {
		held += len(r.request.Body)
	}
	c.count(held)
}

func (c *clientConn) records(data []byte) (used int, err error) {
	for !c.conn.Ended() {
		n, ev, err := c.decoder.Decode(data[used:])
		if n == 0 || err != nil {
			return used, err
		}
		used += n
		switch ev := ev.(type) {
		case *fastcgi.Request:
			c.request(ev)
		case fastcgi.Rejected:
			c.asked++
			c.last = c.last || !ev.KeepConn
			(&responder{conn: c, id: ev.ID}).write(fastcgi.Response{Status: 503, Body: []byte(ev.Err.Error() + "\n")})
		case fastcgi.Abort:
			c.abort(ev.ID)
		case fastcgi.Reply:
			c.conn.Write(ev.Data)
			c.last = c.last || ev.Close
			c.closeIfLast()
		}
	}
	return len(data), nil
}

// Closed gives up what was open on the connection. There is no error where this program has closed it of its own accord.
func (c *clientConn) Closed(err error) {
	delete(c.front.conns, c)
	for _, number := range c.open {
		c.front.p.handleConnectionClosed(number, err != nil)
	}
	c.open, c.parked = nil, nil
	delete(c.front.parking, c)
	c.count(0)
}

// PeerClosing notes that the client sends no more. It has closed, most likely, and nothing must begin for it long after. It
// may also wait for its answers all the same: it gets what can be had at once.
func (c *clientConn) PeerClosing(after eventloop.Timestamp) {
	c.goneBy = max(1, after+goneAfter)
	c.front.p.loop.At(c.goneBy, c.giveUp)
}

func (c *clientConn) gone() bool { return c.goneBy != 0 && c.front.p.loop.CurrentTime() >= c.goneBy }

// lookAgain reads what has come since the turn began, if that is long ago: the client may have left, or taken back what it
// asked for.
func (c *clientConn) lookAgain() {
	now := c.front.p.loop.CurrentTime()
	if now-max(c.looked, c.front.p.loop.Now()) > lookAgainAfter {
		c.looked = now
		c.conn.PollNow()
	}
}

// giveUp ends what is open for a client that has left.
func (c *clientConn) giveUp() {
	c.refuseParked(math.MaxInt64)
	for _, number := range c.open {
		c.front.p.CancelAfterDisconnect(number)
	}
}

// PeerClosed says whether the client is still owed something; it is closed when it is not any more.
func (c *clientConn) PeerClosed() (owed bool) {
	c.last = true
	if bytes, _ := c.conn.QueuedOutput(); len(c.open) == 0 && bytes == 0 {
		return false
	}
	if len(c.open) == 0 {
		c.conn.CloseAfterFlush()
	}
	return true
}

// parked is a request of a client that leaves its answers unread. It is not served yet, but known: its client may take
// it back, or leave.
type parked struct {
	request *fastcgi.Request
	in      Request
	at      eventloop.Timestamp
}

func (c *clientConn) park(r *fastcgi.Request, in Request) {
	c.open[r.ID] = 0
	c.parked = append(c.parked, parked{r, in, c.front.p.loop.Now()})
	c.front.parking[c] = true
}

// refuseParked refuses the parked requests that have waited for half of their time: later, a refusal costs more.
func (c *clientConn) refuseParked(now eventloop.Timestamp) {
	for len(c.parked) > 0 && now-c.parked[0].at >= c.parked[0].in.Timeout/2 {
		r := c.unpark()
		c.front.p.rejectUnsubmitted(r.in, &responder{conn: c, id: r.request.ID}, Answer{Status: Rejected, RetryAfter: closingRetryAfter})
	}
}

func (c *clientConn) unpark() parked {
	r := c.parked[0]
	if c.parked = c.parked[1:]; len(c.parked) == 0 {
		delete(c.front.parking, c)
	}
	c.recount()
	return r
}

func (c *clientConn) full() bool {
	bytes, _ := c.conn.QueuedOutput()
	return bytes >= backpressureAt
}

func (c *clientConn) request(r *fastcgi.Request) {
	c.asked++
	c.last = c.last || !r.KeepConn
	to := &responder{conn: c, id: r.ID}
	if r.Script == healthPath {
		status := 503
		if c.front.p.lifecycle.phase == Serving {
			status = 200
		}
		to.write(fastcgi.Response{Status: status})
		return
	}
	in, err := c.front.parse(r)
	switch {
	case err != nil:
		to.write(fastcgi.Response{Status: 400, Body: []byte(err.Error() + "\n")})
	case (c.full() || len(c.parked) > 0) && !c.gone() && !c.front.p.lifecycle.rejecting():
		c.park(r, in)
	default:
		in.Timeout -= max(c.front.p.loop.SchedulingDelay(maxPollTime), c.conn.QueueingDelay()) // its client has been waiting for it
		c.serve(in, to)
	}
}

// serve takes on a request, or has it answered at once.
func (c *clientConn) serve(in Request, to *responder) {
	c.open[to.id] = 0 // Submit may answer at once, which takes it out again
	if number := c.front.p.Submit(in, to); number != 0 {
		c.open[to.id] = number
	}
}

// abort ends a request that its client gave up. FastCGI wants END_REQUEST for it, as the number is in use
// until then; there is no other answer.
func (c *clientConn) abort(id uint16) {
	if c.parked = slices.DeleteFunc(c.parked, func(r parked) bool { return r.request.ID == id }); len(c.parked) == 0 {
		delete(c.front.parking, c)
	}
	c.front.p.HandleDisconnect(c.open[id])
	c.done(id, fastcgi.AppendEnd(nil, id, 1, fastcgi.Complete))
}

// makeRoom keeps answers from using up the memory. What has been queued in this turn goes out at once; a client that has left
// its answers unread for a while loses its connection, which tells it that they are not whole.
func (c *clientConn) makeRoom() {
	if !c.front.memoryFull() {
		return
	}
	if c.conn.Flush(); c.unreadSince(unreadAfter) {
		c.conn.Close()
		c.Closed(errFull)
	}
}

// unreadSince says that the client has taken nothing of what it is owed for so long.
func (c *clientConn) unreadSince(length time.Duration) bool {
	bytes, since := c.conn.QueuedOutput()
	return bytes > 0 && c.front.p.loop.Now()-since > length
}

// done writes the last bytes of a request and frees its number.
func (c *clientConn) done(id uint16, data []byte) {
	delete(c.open, id)
	c.answered = c.front.p.loop.Now()
	c.decoder.Done(id)
	c.conn.Write(data)
	c.closeIfLast()
}

// closeIfLast closes a connection that its client wants to be closed, once it is empty.
func (c *clientConn) closeIfLast() {
	if c.last && c.empty() {
		c.conn.CloseAfterFlush()
	}
}

// empty says that no request is open.
func (c *clientConn) empty() bool { return len(c.open) == 0 && !c.decoder.Busy() }

// asking says that the client has just connected, or has begun a record: what it asks would be lost by a close.
func (c *clientConn) asking() bool {
	return c.incompleteSince != 0 && c.front.p.loop.Now()-c.incompleteSince <= evictPartialAfter
}
