package proxy

import (
	"errors"
	"slices"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// unresponsiveAfter is how long a connection with calls out may bring nothing before new calls go elsewhere.
const unresponsiveAfter = time.Second

// upstream is one connection to a cache, a parent or the origin, with the calls that are open on it.
type upstream struct {
	p            *Proxy
	conn         *connpool.PooledConn
	calls        map[string]*attempt // by the request's id, which answers come under
	waitingSince eventloop.Timestamp // from when on an answer has been waited for without a byte; 0: none is due
}

// openUpstream makes the owner of a new connection.
func (p *Proxy) openUpstream(s *connpool.PooledConn) eventloop.Handler {
	return &upstream{p: p, conn: s, calls: map[string]*attempt{}}
}

// accepts says whether a call for q can go here. Answers come under the request's id alone: an answer to an
// earlier call for it, given up meanwhile, would be taken for the new one's.
func (u *upstream) accepts(q *request) bool {
	return !u.unresponsive() && u.calls[q.ID] == nil && !slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.upstream == u })
}

// unresponsive says that a call was sent long ago and nothing at all has come since. The machine may be cut off: calls
// put on this connection would wait for good, and one that must not run twice could not be sent again. A new
// connection finds out. It counts from the first call, also of several that were given up soon.
func (u *upstream) unresponsive() bool {
	return u.waitingSince != 0 && u.p.loop.Now()-u.waitingSince > unresponsiveAfter
}

// noteSent notes that a call has been written.
func (u *upstream) noteSent() {
	if u.waitingSince == 0 {
		u.waitingSince = u.p.loop.Now()
	}
}

// noteReceived notes that something has come; what is still out is waited for from now on.
func (u *upstream) noteReceived() {
	u.waitingSince = 0
	if len(u.calls) > 0 {
		u.waitingSince = u.p.loop.Now()
	}
}

// Receive takes whole answers off what has come in.
func (u *upstream) Receive(data []byte) (used int, err error) {
	u.conn.MarkAlive()
	defer u.noteReceived()
	for {
		n, ans, err := resp.Decode(data[used:])
		if n == 0 || err != nil {
			return used, err
		}
		used += n
		if a := u.calls[ans.ID]; a != nil { // else it was given up, and the answer crossed the STOP
			u.p.handleAnswer(a, ans)
		}
	}
}

// Closed ends all calls that were open here. What was not written never ran; the rest may have.
func (u *upstream) Closed(err error) {
	u.conn.RemoveFromPool()
	if len(u.calls) > 0 {
		u.p.log.Info("connection to a server lost under calls", "calls", len(u.calls), "error", err)
	}
	result := policy.ResultReset
	switch {
	case errors.Is(err, eventloop.ErrNotConnected):
		result = resultOfConnectError(err)
	case errors.Is(err, resp.ErrMalformed):
		u.p.log.Warn("connection to a server dropped", "error", err)
	}
	calls := make([]*attempt, 0, len(u.calls))
	for _, a := range u.calls {
		calls = append(calls, a)
	}
	slices.SortFunc(calls, func(a, b *attempt) int { return int(a.req.moduleID - b.req.moduleID) })
	for _, a := range calls {
		u.p.endAttempt(a, resp.Answer{}, result)
	}
}

// release takes an ended attempt off the connection. One that was sent and not answered is stopped.
func (u *upstream) release(a *attempt, unanswered bool) {
	delete(u.calls, a.req.ID)
	if a.started && unanswered && !u.conn.Ended() {
		// An answer that stopped short would take the next one's bytes for its own.
		// One that was written in part must not come whole any more.
		u.conn.Stale = u.conn.Stale || u.unresponsive() || u.conn.UnparsedBytes() > 0 || u.p.requiresConnClose(a) || !a.written
		u.conn.Write(resp.AppendStop(nil, a.req.ID))
	}
	u.conn.Release()
}
