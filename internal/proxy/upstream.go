package proxy

// This file holds one connection to a cache, a parent or the origin: which calls it accepts, and how answers
// and its end reach the attempts.

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
)

// unresponsiveAfter is how long a connection with open calls may bring no byte before it takes no new calls.
const unresponsiveAfter = time.Second

// upstream is one connection to a cache, a parent or the origin, with the calls that are open on it.
type upstream struct {
	p            *Proxy
	conn         *connpool.PooledConn
	calls        map[string]*attempt // by the id of the client's request, which the answers carry
	waitingSince eventloop.Timestamp // since when an answer is due and no byte has come; 0: none is due
}

// openUpstream makes the handler of a new connection.
func (p *Proxy) openUpstream(conn *connpool.PooledConn) eventloop.Handler {
	return &upstream{p: p, conn: conn, calls: map[string]*attempt{}}
}

// accepts reports whether a call for q can be sent here. No two calls for one request share a connection:
// answers carry the request's id alone, so that the answer to a cancelled call would be taken for that of the
// next one.
func (u *upstream) accepts(q *request) bool {
	if u.unresponsive() || u.calls[q.ID] != nil {
		return false
	}
	for _, a := range q.attempts {
		if a.upstream == u {
			return false
		}
	}
	return true
}

// unresponsive reports whether nothing has come for too long since a call was sent. The server may be cut off
// from the network: a call would wait here until its deadline, and a non-idempotent one could not be retried.
// Time counts from the first unanswered call on, even if several were cancelled since.
func (u *upstream) unresponsive() bool {
	return u.waitingSince != 0 && u.p.loop.Now()-u.waitingSince > unresponsiveAfter
}

// recordSent notes that a call has been sent.
func (u *upstream) recordSent() {
	if u.waitingSince == 0 {
		u.waitingSince = u.p.loop.Now()
	}
}

// recordReceived notes that bytes have come. The answers to the calls that are still open are due from now on.
func (u *upstream) recordReceived() {
	u.waitingSince = 0
	if len(u.calls) > 0 {
		u.waitingSince = u.p.loop.Now()
	}
}

// Receive handles the complete answers in data. An answer to a call that is not open any more has crossed its
// STOP command.
func (u *upstream) Receive(data []byte) (used int, err error) {
	u.conn.MarkAlive()
	defer u.recordReceived()
	for {
		size, ans, err := resp.Decode(data[used:])
		if size == 0 || err != nil {
			return used, err
		}
		used += size
		if a := u.calls[ans.ID]; a != nil {
			u.p.handleAnswer(a, ans)
		}
	}
}

// Closed ends the calls that are open on the connection, in the order in which their requests were admitted.
func (u *upstream) Closed(err error) {
	u.conn.RemoveFromPool()
	if len(u.calls) > 0 {
		u.p.log.Info("upstream connection lost", "server", u.conn.EndpointID(), "open_calls", len(u.calls), "error", err)
	}
	if errors.Is(err, resp.ErrMalformed) && !errors.Is(err, eventloop.ErrNotConnected) {
		u.p.log.Warn("upstream connection closed after a malformed answer", "server", u.conn.EndpointID(), "error", err)
	}
	byAdmission := func(a, b *attempt) int { return cmp.Compare(a.req.number, b.req.number) }
	for _, a := range slices.SortedFunc(maps.Values(u.calls), byAdmission) {
		u.p.endAttempt(a, resp.Answer{}, resultOfClose(err))
	}
}

// release takes an attempt that has ended off the connection. A call that was sent and not answered is
// stopped.
func (u *upstream) release(a *attempt, answered bool) {
	delete(u.calls, a.req.ID)
	if a.started && !answered && !u.conn.Ended() {
		u.conn.Stale = u.conn.Stale || u.isUnusableAfter(a)
		u.conn.Write(resp.AppendStop(nil, a.req.ID))
	}
	u.conn.Release()
}

// isUnusableAfter reports whether the connection must take no new calls once a call that was sent on it has
// been stopped. Also unusable: a connection on which an answer has arrived in part, as its rest would be read
// as the start of the next answer, and one on which the call was written in part. The call's remaining bytes
// are written only while other calls keep the connection open, and for maxPartialWriteTime at most.
func (u *upstream) isUnusableAfter(stopped *attempt) bool {
	return u.unresponsive() || u.conn.UnparsedBytes() > 0 || !stopped.written || u.p.requiresConnClose(stopped)
}
