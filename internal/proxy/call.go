package proxy

import (
	"strconv"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// queueEntry is a call in the queue of a connection. Only the place where it was put last counts: one that moves
// on and comes back to a connection that is up by then is in its queue twice, and would be sent twice.
type queueEntry struct {
	*attempt
	number int
}

// Encode makes the call when its first byte is about to go. The module is asked once more: while the call
// waited for its connection its target may have been drained or its object purged.
func (s queueEntry) Encode() ([]byte, bool) {
	a := s.attempt
	if a.ended || a.started || a.lastEntry != s.number {
		return nil, false
	}
	now := a.p.loop.CurrentTime() // the process may have been without its core since the turn began
	f, ok := a.maySend(now)
	if !ok {
		a.p.endAttempt(a, resp.Answer{}, policy.ResultNotSent)
		return nil, false
	}
	a.source = f.Source
	if f.MaxAge > 0 {
		a.oldestCopyMillis = (a.p.clock.unix(now) - f.MaxAge - maxAgeTolerance).Milliseconds()
	}
	c := resp.Call{
		ID: a.req.ID, Class: a.req.ClassName, Object: a.req.Object, Part: strconv.Itoa(a.req.Part),
		Timeout: max(a.req.deadline-now, time.Millisecond), RetentionRank: f.RetentionRank, MaxAge: f.MaxAge, KnownVersion: a.req.KnownVersion, IdempotencyKey: a.req.IdempotencyKey,
		CoalesceFill: f.CoalesceFill, CachedOnly: f.CachedOnly, StaleWhileRevalidate: f.StaleWhileRevalidate, Body: a.req.Body,
	}
	if f.Source != f.Target {
		c.Source = f.Source
	}
	return resp.AppendCall(nil, &c), true
}

// maySend asks the module once more whether the call may begin, and with which orders.
func (a *attempt) maySend(now eventloop.Timestamp) (policy.Fetch, bool) {
	a.req.responder.PollClient()
	left := a.req.responder.ClientDisconnected().GraceOver
	if a.req.finished { // answered or given up since, perhaps in this very turn
		a.p.counters.allows(actionSend, policy.Verdict{Rule: policy.RuleAnswer, Reason: policy.ReasonAnswered})
		return policy.Fetch{}, false
	}
	f, verdict := a.p.router.MaySend(now, policy.SendInfo{ID: a.req.moduleID, Attempt: a.number, Remaining: a.req.deadline - now, ClientDisconnected: left})
	if !a.p.counters.allows(actionSend, verdict) {
		a.p.log.Info("call not sent", "request", a.req.ID, "attempt", a.number, "server", a.target, "rule", verdict.Rule, "reason", verdict.Reason)
		if verdict.Rule == policy.RuleClientDisconnected {
			a.p.CancelAfterDisconnect(a.req.moduleID)
		}
		return policy.Fetch{}, false
	}
	return f, true
}

// Started notes that the call may run once its last byte has gone. The rest of one that its peer takes only in part must
// not wait for long: the deadline that it passes on would be too late.
func (a *attempt) Started(whole bool) {
	a.started = true
	a.upstream.noteSent()
	a.p.invariants.checkSent(a, a.source)
	if !whole {
		a.p.loop.At(a.p.loop.CurrentTime()+maxPartialWriteTime, a.failPartialWrite)
	}
}

// Written counts the call: it has gone to its target whole.
func (a *attempt) Written() {
	a.written = true
	a.p.invariants.checkWritten(a)
	a.p.counters.count(a.req.ClassName, relayed)
}

// failPartialWrite ends the connection of a call of which the peer still has not taken the last byte.
func (a *attempt) failPartialWrite() {
	if !a.written && !a.ended {
		a.upstream.conn.Fail(errPartialWrite)
	}
}
