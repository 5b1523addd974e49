package proxy

import (
	"errors"
	"strconv"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// maxReassignments is how often a call moves on from a connection that is late: of those that a third are, three in a row are
// few.
const maxReassignments = 2

// maxHalfWritten is how long a call may be written in part: a server must not be told a deadline that is over 0.15 s too late.
const maxHalfWritten = 100 * time.Millisecond

var errHalfWritten = errors.New("peer takes a call only in part")

// ageSlack is what the age of a copy may exceed its bound by: both are told in whole milliseconds.
const ageSlack = 2 * time.Millisecond

// attempt is one sending of a request to a cache, a parent or the origin. It ends once, with one result.
type attempt struct {
	p       *Proxy
	req     *request
	number  int
	target  string
	created eventloop.Timestamp
	on      *upstream           // nil: it got no connection
	place   int                 // how often it has been put on a connection
	started bool                // its first byte has been written
	written bool                // its last byte has been written: it may run
	source  string              // from which a miss is filled
	began   eventloop.Timestamp // when its first byte was written, as the audit knows
	oldest  int64               // Unix millisecond before which no copy that answers it may have been made; 0: not bound
	ended   bool
	result  policy.Result // how it ended
}

// attempt carries out a Fetch: it queues the call on a connection to the target.
func (p *Proxy) attempt(q *request, f policy.Fetch) {
	a := &attempt{p: p, req: q, number: len(q.attempts), target: f.Target, created: p.loop.Now()}
	if a.number > 0 {
		last := q.attempts[a.number-1]
		p.log.Info("further attempt", "request", q.ID, "attempt", a.number, "server", f.Target, "after", last.target, "result", last.result)
	}
	q.attempts = append(q.attempts, a)
	q.pending++
	if q.finished {
		p.end(a, resp.Answer{}, policy.ResultNotSent)
		return
	}
	slot, err := p.pools.Acquire(f.Target, connpool.UseInfo{
		NonIdempotent: !q.safe(),
		Accepts:       func(s *connpool.PooledConn) bool { return s.Owner.(*upstream).takes(q) },
	})
	if err != nil {
		p.end(a, resp.Answer{}, connectResult(err))
		return
	}
	a.put(slot, maxReassignments)
}

// put queues the call on a connection. While that is late to come up, the call may move on to another: it has not been
// sent. Some connections come up after a second only, when the client's time is over.
func (a *attempt) put(slot *connpool.PooledConn, moves int) {
	a.on = slot.Owner.(*upstream)
	a.on.calls[a.req.ID] = a
	a.place++
	slot.Send(sending{a, a.place})
	if slot.Connected() || moves == 0 {
		return
	}
	a.p.loop.At(a.p.loop.Now()+max(0, slot.ConnectPatience()-slot.Age()), func() {
		if a.ended || a.started || slot.Connected() || slot.Ended() {
			return
		}
		other, err := a.p.pools.Reassign(slot, func(s *connpool.PooledConn) bool { return s.Owner.(*upstream).takes(a.req) })
		if err != nil {
			return
		}
		delete(a.on.calls, a.req.ID)
		slot.Release()
		a.put(other, moves-1)
	})
}

// sending is a call in the queue of a connection. Only the place where it was put last counts: one that moves
// on and comes back to a connection that is up by then is in its queue twice, and would be sent twice.
type sending struct {
	*attempt
	place int
}

// Encode makes the call when its first byte is about to go. The module is asked once more: while the call
// waited for its connection its target may have been drained or its object purged.
func (s sending) Encode() ([]byte, bool) {
	a := s.attempt
	if a.ended || a.started || a.place != s.place {
		return nil, false
	}
	now := a.p.loop.CurrentTime() // the process may have been without its core since the turn began
	f, ok := a.maySend(now)
	if !ok {
		a.p.end(a, resp.Answer{}, policy.ResultNotSent)
		return nil, false
	}
	a.source = f.Source
	if f.MaxAge > 0 {
		a.oldest = (a.p.clock.unix(now) - f.MaxAge - ageSlack).Milliseconds()
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
	a.req.to.PollClient()
	_, left := a.req.to.ClientDisconnected()
	if a.req.finished { // answered or given up since, perhaps in this very turn
		a.p.denied.allows(actionSend, policy.Verdict{Rule: policy.RuleAnswer, Reason: policy.ReasonAnswered})
		return policy.Fetch{}, false
	}
	f, verdict := a.p.router.MaySend(now, policy.SendInfo{ID: a.req.number, Attempt: a.number, Remaining: a.req.deadline - now, ClientDisconnected: left})
	if !a.p.denied.allows(actionSend, verdict) {
		a.p.log.Info("call not sent", "request", a.req.ID, "attempt", a.number, "server", a.target, "rule", verdict.Rule, "reason", verdict.Reason)
		if verdict.Rule == policy.RuleClientDisconnected {
			a.p.CancelAfterDisconnect(a.req.number)
		}
		return policy.Fetch{}, false
	}
	return f, true
}

// Started notes that the call may run once its last byte has gone. The rest of one that its peer takes only in part must
// not wait for long: the deadline that it passes on would be too late.
func (a *attempt) Started(whole bool) {
	a.started = true
	a.on.started()
	a.p.audit.began(a, a.source)
	if !whole {
		a.p.loop.At(a.p.loop.CurrentTime()+maxHalfWritten, a.giveUpHalfWritten)
	}
}

// Written counts the call: it has gone to its target whole.
func (a *attempt) Written() {
	a.written = true
	a.p.audit.wrote(a)
	a.p.tallies.count(a.req.ClassName, relayed)
}

// giveUpHalfWritten ends the connection of a call of which the peer still has not taken the last byte.
func (a *attempt) giveUpHalfWritten() {
	if !a.written && !a.ended {
		a.on.slot.Fail(errHalfWritten)
	}
}

// answered takes the answer to an attempt. The first good one is the request's.
func (p *Proxy) answered(a *attempt, ans resp.Answer) {
	result := results[ans.Status]
	// A fill that was joined may have begun before a purge. Its copy is not passed on; another attempt follows.
	if result == policy.ResultOK && a.tooOld(ans) {
		result = policy.ResultError
	}
	// Otherwise the client would take a copy for current that nobody has named. The answer is well formed all the same:
	// what else is out on the connection is not harmed.
	if ans.Status == resp.StatusNotModified && (a.req.KnownVersion == "" || ans.Version != a.req.KnownVersion) {
		result = policy.ResultError
	}
	if result == policy.ResultOK {
		p.audit.served(a, ans)
		status := Served
		if ans.Status == resp.StatusNotModified {
			status, ans.Body = NotModified, nil
		}
		p.answer(a.req, Answer{Status: status, Version: ans.Version, Body: ans.Body})
	}
	p.end(a, ans, result)
}

// tooOld says that a copy was made before what the call asked for. Answers that do not say when are trusted.
func (a *attempt) tooOld(ans resp.Answer) bool {
	return ans.CreatedAtMillis > 0 && ans.CreatedAtMillis < a.oldest
}

// A word without a result counts as an error: it may have run.
var results = map[resp.Status]policy.Result{
	resp.StatusServed: policy.ResultOK, resp.StatusNotModified: policy.ResultOK, resp.StatusNotFound: policy.ResultNotFound,
	resp.StatusOverloaded: policy.ResultRejected, resp.StatusCrashed: policy.ResultError, resp.StatusNotRun: policy.ResultNotSent,
}

// mustClose says that a call is given up so that another may follow, where no second one may be out: a
// server that hangs does not read the STOP; only the end of its connection gives up what is open on it.
func (p *Proxy) mustClose(a *attempt) bool {
	return !p.set.Policy.Hedging && a.started && !a.req.finished
}

// mayCancel says whether a call can be given up: one that must close its connection only where no other call is on it.
// It goes on then, until its answer or its deadline.
func (p *Proxy) mayCancel(a *attempt) bool {
	return !p.mustClose(a) || a.ended || a.on.slot.InUse == 1
}

// end ends an attempt and tells the module of it, once. A call that is out is stopped.
func (p *Proxy) end(a *attempt, ans resp.Answer, result policy.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.req.pending--
	if a.on != nil {
		a.on.leave(a, ans.Status == 0)
	}
	if a.neverRan() && ans.Status == 0 { // whatever ended it
		switch result {
		case policy.ResultCancelled:
			result = policy.ResultNotSent
		case policy.ResultTimeout, policy.ResultReset:
			result = policy.ResultConnectFailed
		}
	}
	a.result = result
	p.audit.ended(a, result)
	p.notify(policy.Outcome{ID: a.req.number, Attempt: a.number, Result: result, CacheStatus: policy.CacheStatus(ans.CacheStatus),
		Elapsed: p.loop.Now() - a.created, SourceFirstByte: ans.SourceFirstByte, TransferTime: p.sending(ans), RequestFinished: a.req.finished})
	p.forget(a.req)
}

// neverRan says that a call that has ended was not written whole, and never will be.
func (a *attempt) neverRan() bool { return !a.started || !a.written && a.on.slot.Ended() }

// sending is how long an answer's bytes take at the pace of one transfer.
func (p *Proxy) sending(ans resp.Answer) time.Duration {
	if p.flow <= 0 {
		return 0
	}
	return time.Duration(float64(len(ans.Body)) / p.flow * float64(time.Second))
}
