package proxy

// This file handles a connection to a cache, a parent or the origin: which calls it accepts, and how answers
// and the end of the connection reach the attempts.

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

// unresponsiveAfter is the time without input after which a connection with open calls accepts no new calls.
const unresponsiveAfter = time.Second

// upstream is one connection to a cache, a parent or the origin, with the calls that are open on it.
type upstream struct {
	p            *Proxy
	conn         *connpool.PooledConn
	calls        map[string]*attempt // by the id of the client's request, which answers carry
	waitingSince eventloop.Timestamp // time since which an answer is due and nothing has come; 0: none is due
}

// openUpstream returns the handler of a new connection.
func (p *Proxy) openUpstream(conn *connpool.PooledConn) eventloop.Handler {
	return &upstream{p: p, conn: conn, calls: map[string]*attempt{}}
}

// accepts reports whether a call for q can be sent on the connection. No two calls for one request share a
// connection: answers carry only the request's id, so the answer to a cancelled call would be taken for the answer
// to the next call.
func (u *upstream) accepts(q *request) bool {
	if u.isUnresponsive() || u.calls[q.ID] != nil {
		return false
	}
	for _, a := range q.attempts {
		if a.upstream == u {
			return false
		}
	}
	return true
}

// isUnresponsive reports whether nothing has been received for too long while answers were due. The server may be
// cut off from the network: a call would wait on the connection until its deadline, and a non-idempotent call could
// not be retried. The time counts from the first unanswered call, even if calls have been cancelled since.
func (u *upstream) isUnresponsive() bool {
	return u.waitingSince != 0 && u.p.loop.Now()-u.waitingSince > unresponsiveAfter
}

// recordSent records that a call has been sent.
func (u *upstream) recordSent() {
	if u.waitingSince == 0 {
		u.waitingSince = u.p.loop.Now()
	}
}

// recordReceived records that bytes have been received. The answers to the calls that are still open count as
// due from now on.
func (u *upstream) recordReceived() {
	u.waitingSince = 0
	if len(u.calls) > 0 {
		u.waitingSince = u.p.loop.Now()
	}
}

// Receive handles the complete answers in data. An answer to a call that is no longer open has crossed the
// call's STOP command and is ignored.
func (u *upstream) Receive(data []byte) (used int, err error) {
	u.conn.RecordInput()
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

// release removes an ended attempt from the connection. A call that was sent and not answered is stopped.
func (u *upstream) release(a *attempt, answered bool) {
	delete(u.calls, a.req.ID)
	if a.started && !answered && !u.conn.Ended() {
		u.conn.Stale = u.conn.Stale || u.isUnusableAfter(a)
		u.conn.Write(resp.AppendStop(nil, a.req.ID))
	}
	u.conn.Release()
}

// isUnusableAfter reports whether the connection must accept no new calls once a call that was sent on it has been
// stopped. That is the case if the connection is unresponsive, if the stopped call can be cancelled only by closing
// the connection, if an answer has arrived in part, as its rest would be read as the start of the next answer, or if
// the stopped call was written in part. The rest of such a call is written only while other calls keep the connection
// open, and for maxPartialWriteTime at most.
func (u *upstream) isUnusableAfter(stoppedAttempt *attempt) bool {
	return u.isUnresponsive() || u.conn.UnparsedBytes() > 0 || !stoppedAttempt.written ||
		u.p.requiresConnClose(stoppedAttempt)
}
