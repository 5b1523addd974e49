package proxy

import (
	"errors"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// maxReassignments is how often a call moves on from a connection that is late: of those that a third are, three in a row are
// few.
const maxReassignments = 2

// maxPartialWriteTime is how long a call may be written in part: a server must not be told a deadline that is over 0.15 s too late.
const maxPartialWriteTime = 100 * time.Millisecond

var errPartialWrite = errors.New("peer takes a call only in part")

// maxAgeTolerance is what the age of a copy may exceed its bound by: both are told in whole milliseconds.
const maxAgeTolerance = 2 * time.Millisecond

// attempt is one sending of a request to a cache, a parent or the origin. It ends once, with one result.
type attempt struct {
	p                *Proxy
	req              *request
	number           int
	target           string
	created          eventloop.Timestamp
	upstream         *upstream           // nil: it got no connection
	lastEntry        int                 // how often it has been put on a connection
	started          bool                // its first byte has been written
	written          bool                // its last byte has been written: it may run
	source           string              // from which a miss is filled
	sentAt           eventloop.Timestamp // when its first byte was written, as the audit knows
	oldestCopyMillis int64               // Unix millisecond before which no copy that answers it may have been made; 0: not bound
	ended            bool
	result           policy.Result // how it ended
}

// startAttempt carries out a Fetch: it queues the call on a connection to the target.
func (p *Proxy) startAttempt(q *request, f policy.Fetch) {
	a := &attempt{p: p, req: q, number: len(q.attempts), target: f.Target, created: p.loop.Now()}
	if a.number > 0 {
		last := q.attempts[a.number-1]
		p.log.Info("further attempt", "request", q.ID, "attempt", a.number, "server", f.Target, "after", last.target, "result", last.result)
	}
	q.attempts = append(q.attempts, a)
	q.openAttempts++
	if q.finished {
		p.endAttempt(a, resp.Answer{}, policy.ResultNotSent)
		return
	}
	slot, err := p.pools.Acquire(f.Target, !q.isIdempotent(), func(s *connpool.PooledConn) bool { return s.Owner.(*upstream).accepts(q) })
	if err != nil {
		p.endAttempt(a, resp.Answer{}, resultOfConnectError(err))
		return
	}
	a.enqueue(slot, maxReassignments)
}

// enqueue queues the call on a connection. While that is late to come up, the call may move on to another: it has not been
// sent. Some connections come up after a second only, when the client's time is over.
func (a *attempt) enqueue(slot *connpool.PooledConn, moves int) {
	a.upstream = slot.Owner.(*upstream)
	a.upstream.calls[a.req.ID] = a
	a.lastEntry++
	slot.Send(queueEntry{a, a.lastEntry})
	if slot.Connected() || moves == 0 {
		return
	}
	a.p.loop.At(a.p.loop.Now()+max(0, slot.ConnectPatience()-slot.Age()), func() {
		if a.ended || a.started || slot.Connected() || slot.Ended() {
			return
		}
		other, err := a.p.pools.Reassign(slot, func(s *connpool.PooledConn) bool { return s.Owner.(*upstream).accepts(a.req) })
		if err != nil {
			return
		}
		delete(a.upstream.calls, a.req.ID)
		slot.Release()
		a.enqueue(other, moves-1)
	})
}
