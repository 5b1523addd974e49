package proxy

// This file starts attempts and selects the connections on which their calls are queued.

import (
	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// maxReassignments is the maximum number of times that a call is moved from an overdue connection (one that takes
// unusually long to be established) to another one. Even if a third of all connections are overdue, three in
// succession are rare.
const maxReassignments = 2

// attempt is one call of a request to a cache, a parent or the origin. It ends once, with one result.
type attempt struct {
	p         *Proxy
	req       *request
	number    int    // index among the request's attempts
	target    string // id of the endpoint that is called
	source    string // set by each Encode: id of the endpoint that fills a miss, or the target if nothing is filled
	createdAt eventloop.Timestamp

	upstream     *upstream // the connection on which the call is queued or sent; nil: none was available
	lastSequence int       // sequence of the attempt's last queueEntry; earlier entries are not sent
	started      bool      // the first byte has been written
	written      bool      // the last byte has been written: the call may be executed

	// oldestCopyMillis is the earliest creation time, in Unix milliseconds, of a copy that is accepted as the
	// answer; 0: no limit.
	oldestCopyMillis int64

	ended  bool
	result policy.Result // valid once it has ended
	record attemptRecord // the invariant checker's record of the attempt
}

// startAttempt carries out a Fetch action of the decision module: it starts an attempt and queues its call on a
// connection to the target. The attempt ends at once if its request is finished or no connection is available.
func (p *Proxy) startAttempt(q *request, fetch policy.Fetch) {
	a := &attempt{p: p, req: q, number: len(q.attempts), target: fetch.Target, createdAt: p.loop.Now()}
	if a.number > 0 {
		p.logRetryOrHedge(a, q.attempts[a.number-1])
	}
	q.attempts = append(q.attempts, a)
	q.openAttempts++
	if q.finished {
		p.endAttempt(a, resp.Answer{}, policy.ResultNotSent)
		return
	}
	use := connpool.UseInfo{NonIdempotent: !q.isIdempotent(), Accepts: q.canUseConn}
	conn, err := p.pools.Acquire(fetch.Target, use)
	if err != nil {
		p.endAttempt(a, resp.Answer{}, resultOfConnectError(err))
		return
	}
	a.enqueue(conn, maxReassignments)
}

// logRetryOrHedge logs an attempt after the first one of its request: a hedge if the previous attempt is still
// open, otherwise a retry.
func (p *Proxy) logRetryOrHedge(a, previous *attempt) {
	if !previous.ended {
		p.log.Info("hedge", "request", a.req.ID, "attempt", a.number, "server", a.target,
			"previous_server", previous.target)
		return
	}
	p.log.Info("retry", "request", a.req.ID, "attempt", a.number, "server", a.target,
		"previous_server", previous.target, "previous_result", previous.result)
}

// canUseConn reports whether a call for the request can be sent on a connection.
func (q *request) canUseConn(conn *connpool.PooledConn) bool {
	return conn.Owner.(*upstream).accepts(q)
}

// enqueue queues the call on a connection. If the connection becomes overdue before it is established, the call is
// moved to another one, at most reassignmentsLeft times. The move is safe, as nothing of the call has been sent, and
// useful, as some connections take more than a second to be established, which is longer than most deadlines allow.
func (a *attempt) enqueue(conn *connpool.PooledConn, reassignmentsLeft int) {
	a.upstream = conn.Owner.(*upstream)
	a.upstream.calls[a.req.ID] = a
	a.lastSequence++
	conn.Send(queueEntry{a, a.lastSequence})
	if conn.Connected() || reassignmentsLeft == 0 {
		return
	}
	untilOverdue := max(0, conn.OverdueAfter()-conn.Age())
	a.p.loop.At(a.p.loop.Now()+untilOverdue, func() { a.reassign(conn, reassignmentsLeft) })
}

// reassign moves the call from an overdue connection to another one. The call stays if the pool provides no other
// connection, or if no move is needed: the first byte has been written, the attempt has ended, or the connection is
// established or has ended.
func (a *attempt) reassign(overdueConn *connpool.PooledConn, reassignmentsLeft int) {
	if a.ended || a.started || overdueConn.Connected() || overdueConn.Ended() {
		return
	}
	otherConn, err := a.p.pools.Reassign(overdueConn, a.req.canUseConn)
	if err != nil {
		return
	}
	delete(a.upstream.calls, a.req.ID)
	overdueConn.Release()
	a.enqueue(otherConn, reassignmentsLeft-1)
}
