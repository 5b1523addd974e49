package proxy

import (
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/fastcgi"
)

// blockedRequest is a request of a client that leaves its answers unread. It is not served yet, but known: its client may take
// it back, or leave.
type blockedRequest struct {
	request   *fastcgi.Request
	parsed    Request
	blockedAt eventloop.Timestamp
}

func (c *clientConn) block(r *fastcgi.Request, in Request) {
	c.openRequests[r.ID] = 0
	c.blocked = append(c.blocked, blockedRequest{r, in, c.server.p.loop.Now()})
	c.server.blockedConns[c] = true
}

func (c *clientConn) popBlocked() blockedRequest {
	r := c.blocked[0]
	if c.blocked = c.blocked[1:]; len(c.blocked) == 0 {
		delete(c.server.blockedConns, c)
	}
	c.updatePartialBytes()
	return r
}

func (c *clientConn) isBackpressured() bool {
	bytes, _ := c.conn.QueuedOutput()
	return bytes >= backpressureBytes
}

// submitUnblocked takes on what was parked, as far as clients have read meanwhile.
func (f *FastCGIServer) submitUnblocked() {
	for c := range f.blockedConns {
		for len(c.blocked) > 0 && !c.isBackpressured() {
			r := c.popBlocked()
			to := &responder{conn: c, id: r.request.ID}
			in, err := f.parse(r.request) // once more: classes may have changed
			if err != nil {
				f.p.rejectUnsubmitted(r.parsed, to, Answer{Status: Rejected, RetryAfter: goneIn})
				continue
			}
			in.Timeout -= f.p.loop.Now() - r.blockedAt
			c.submit(in, to)
		}
	}
}

// rejectBlocked refuses the parked requests that have waited for half of their time: later, a refusal costs more.
func (c *clientConn) rejectBlocked(now eventloop.Timestamp) {
	for len(c.blocked) > 0 && now-c.blocked[0].blockedAt >= c.blocked[0].parsed.Timeout/2 {
		r := c.popBlocked()
		c.server.p.rejectUnsubmitted(r.parsed, &responder{conn: c, id: r.request.ID}, Answer{Status: Rejected, RetryAfter: goneIn})
	}
}

// relieveMemory keeps answers from using up the memory. What has been queued in this turn goes out at once; a client that has left
// its answers unread for a while loses its connection, which tells it that they are not whole.
func (c *clientConn) relieveMemory() {
	if !c.server.memoryCritical() {
		return
	}
	if c.conn.Flush(); c.isStalledFor(criticalWriteStallTimeout) {
		c.conn.Close()
		c.Closed(errMemoryLimit)
	}
}

// isStalledFor says that the client has taken nothing of what it is owed for so long.
func (c *clientConn) isStalledFor(length time.Duration) bool {
	bytes, since := c.conn.QueuedOutput()
	return bytes > 0 && c.server.p.loop.Now()-since > length
}
