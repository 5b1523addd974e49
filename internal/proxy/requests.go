package proxy

import (
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// request is one client request until its answer is given and its last attempt has ended.
type request struct {
	Request
	moduleID     int64 // the module's
	responder    Responder
	deadline     eventloop.Timestamp // by which the answer must have been written
	idempotency  policy.Idempotency
	finalAnswers int  // final answers so far, as the audit counts
	mayHaveRun   bool // a call was written whole and not proven not to have run, as the audit knows
	timer        *eventloop.Timer
	attempts     []*attempt
	openAttempts int
	routed       bool // the module has heard of it and its first actions have been carried out
	finished     bool // answered, or the client has left
}

// isIdempotent says that the request may be repeated freely.
func (q *request) isIdempotent() bool { return q.idempotency == policy.Idempotent }

// Submit takes a request whose last byte has just come. It returns the request's number, for Abandon, or 0
// when it was answered at once.
func (p *Proxy) Submit(in Request, to Responder) int64 {
	left := to.ClientDisconnected().GraceOver
	verdict := policy.MayAdmit(policy.AdmitInfo{ClientDisconnected: left, Stopping: p.lifecycle.rejecting(), Remaining: in.Timeout,
		OpenRequests: len(p.requests), MaxOpenRequests: p.maxOpen, MemoryFull: p.memory.full()})
	if !p.counters.allows(actionStart, verdict) {
		answer := Answer{Status: Rejected, RetryAfter: closingRetryAfter}
		if verdict.Rule == policy.RuleLimits { // a refusal is all that memory allows; clients come again
			answer = Answer{Status: Overloaded}
		}
		p.log.Info("request not taken", "request", in.ID, "rule", verdict.Rule, "reason", verdict.Reason)
		p.rejectUnsubmitted(in, to, answer)
		return 0
	}
	p.lastID++
	now := p.loop.Now()
	q := &request{Request: in, moduleID: p.lastID, responder: to, deadline: now + in.Timeout - min(answerReserve, in.Timeout/answerReserveDivisor),
		idempotency: p.set.Policy.Classes[in.Class].Idempotency}
	if p.lifecycle.phase == Stopping {
		q.deadline = max(now, min(q.deadline, p.lifecycle.answerBy))
	}
	p.requests[q.moduleID] = q
	p.openRequests++
	p.memory.requestBodies += len(q.Body)
	q.timer = p.loop.At(q.deadline, func() { p.expire(q) })
	p.notify(policy.Request{ID: q.moduleID, Object: in.Object, Part: in.Part, Group: in.Group, Class: in.Class,
		SizeKB: in.SizeKB, Remaining: q.deadline - now})
	return q.moduleID
}

// rejectUnsubmitted answers a request that has not been submitted to the decision module.
func (p *Proxy) rejectUnsubmitted(in Request, to Responder, a Answer) {
	p.counters.count(in.ClassName, a.Status.outcome())
	to.Respond(p.withAllowedRetryAfter(a))
}

// HandleDisconnect takes note that the client has given a request up; it gets no answer.
func (p *Proxy) HandleDisconnect(number int64) {
	if q := p.requests[number]; q != nil && !q.finished {
		p.finish(q)
		p.counters.count(q.ClassName, faulted)
		p.notify(policy.ClientDisconnected{ID: number})
	}
}

// handleConnectionClosed ends an open request whose client connection has closed. byPeer says that the client closed it.
func (p *Proxy) handleConnectionClosed(number int64, byPeer bool) {
	if q := p.requests[number]; q != nil {
		p.invariants.checkConnectionClosed(q, byPeer)
	}
	p.HandleDisconnect(number)
}

// CancelAfterDisconnect answers a request whose client has probably left, and stops what is out for it. A client that has only ended
// its own side learns what to make of it.
func (p *Proxy) CancelAfterDisconnect(number int64) {
	q := p.requests[number]
	if q == nil || q.finished {
		return
	}
	status := Rejected
	for _, a := range q.attempts {
		if a.started && !q.isIdempotent() { // it may have run
			status = Failed
		}
	}
	p.answer(q, Answer{Status: status})
	p.notify(policy.ClientDisconnected{ID: number})
}

// expire ends what is still out when a request's time is over; the module then gives the final answer. One that
// it holds without an attempt is failed here: every request gets its answer in time.
func (p *Proxy) expire(q *request) {
	if q.openAttempts == 0 {
		p.answer(q, Answer{Status: Failed})
		p.notify(policy.ClientDisconnected{ID: q.moduleID})
		return
	}
	q.timer = p.loop.At(p.loop.Now()+answerReserve/4, func() { p.expire(q) })
	for _, a := range q.attempts {
		p.endAttempt(a, resp.Answer{}, policy.ResultTimeout)
	}
}

// answer gives the final answer, once.
func (p *Proxy) answer(q *request, a Answer) {
	if q == nil || q.finished {
		return
	}
	if a.Status != Served && a.Status != NotModified {
		p.log.Info("request not served", "request", q.ID, "class", q.ClassName, "answer", a.Status.outcome(), "attempts", len(q.attempts))
	}
	p.finish(q)
	p.invariants.checkFinalAnswer(q, a.Status)
	p.counters.count(q.ClassName, a.Status.outcome())
	q.responder.Respond(p.withAllowedRetryAfter(a))
}

// withAllowedRetryAfter leaves the advice to stay away out of an answer where the settings do not allow it.
func (p *Proxy) withAllowedRetryAfter(a Answer) Answer {
	if p.set.RetryAfterDisabled {
		a.RetryAfter = 0
	}
	return a
}

func (p *Proxy) finish(q *request) {
	q.finished = true
	p.openRequests--
	p.releaseIfDone(q)
}

// releaseIfDone drops a request that is over. One whose attempts are still out keeps its timer, which ends them: a
// silent cache would else keep them for good. One that is taken back in the turn it came in stays until the
// module has heard of it: the module decides on an attempt first, waits for its end, and would else count it as
// under way for good, a link's place lost with each.
func (p *Proxy) releaseIfDone(q *request) {
	if q.routed && q.finished && q.openAttempts == 0 && p.requests[q.moduleID] == q {
		p.loop.Stop(q.timer)
		p.memory.requestBodies -= len(q.Body)
		delete(p.requests, q.moduleID)
	}
}

// markRouted notes that the module knows a request.
func (p *Proxy) markRouted(q *request) {
	q.routed = true
	p.releaseIfDone(q)
}

// shortenDeadline moves a request's deadline forward to deadline; an earlier one stays.
func (p *Proxy) shortenDeadline(q *request, deadline eventloop.Timestamp) {
	if q.deadline <= deadline {
		return
	}
	q.deadline = deadline
	p.loop.Stop(q.timer)
	q.timer = p.loop.At(deadline, func() { p.expire(q) })
}
