package proxy

// This file holds the life cycle of a request: its admission, its deadline, its one final answer, and its release once
// the last attempt has ended.

import (
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

const (
	// answerReserve is the time before the client's timeout by which a request must have its answer, as the answer
	// still has to be written and to reach the client. The client waits 50 ms longer than its timeout.
	answerReserve = 60 * time.Millisecond
	// answerReserveDivisor limits the reserve to a quarter of the timeout, so that a short timeout leaves time
	// to serve the request.
	answerReserveDivisor = 4
	// expiryRecheckTime is the time that the decision module has to give the final answer after the open attempts
	// were ended at the deadline.
	expiryRecheckTime = answerReserve / 4
	// unsubmittedRetryAfter is the Retry-After of a request that is rejected without being submitted to the
	// decision module. Such a rejection is no sign of congestion, so the client may retry soon.
	unsubmittedRetryAfter = 100 * time.Millisecond
)

// request is one client request, from its admission until it is finished and its last attempt has ended.
type request struct {
	Request
	number        int64 // identifies the request in the decision module's events and actions
	responder     Responder
	idempotency   policy.Idempotency
	deadline      eventloop.Timestamp // the final answer must have been written by then
	timer         *eventloop.Timer    // fires at the deadline
	attempts      []*attempt          // in the order in which they were started
	openAttempts  int                 // attempts that have not ended
	routed        bool                // the decision module has processed it and its first actions have been executed
	finished      bool                // answered, or given up by the client
	expectedBytes int                 // size that is reserved for the answer in the memory budget
	record        requestRecord       // the invariant checker's record of the request
}

// memoryBytes returns the memory that the request takes until it is released.
func (q *request) memoryBytes() int { return openRequestOverheadBytes + cap(q.Body) }

// isIdempotent reports whether the request may be executed any number of times.
func (q *request) isIdempotent() bool { return q.idempotency == policy.Idempotent }

// submitRequest admits a request whose last byte has just been received. It returns the request's number, which
// handleDisconnect and cancelAfterDisconnect take, or 0 if the request was answered with a rejection.
func (p *Proxy) submitRequest(parsed Request, responder Responder) int64 {
	verdict := p.mayAdmit(parsed, responder)
	if !p.counters.recordVerdict(actionStart, verdict) {
		p.log.Info("request not admitted", "request", parsed.ID, "rule", verdict.Rule, "reason", verdict.Reason)
		p.rejectUnsubmitted(parsed, responder, rejection(verdict))
		return 0
	}
	if !p.claimID(parsed) {
		p.failRepeated(parsed, responder)
		return 0
	}
	q := p.admit(parsed, responder)
	p.notify(policy.Request{
		ID:        q.number,
		Object:    parsed.Object,
		Part:      parsed.Part,
		Group:     parsed.Group,
		Class:     parsed.Class,
		SizeKB:    parsed.SizeKB,
		Remaining: q.deadline - p.loop.Now(),
	})
	return q.number
}

// mayAdmit asks policy.MayAdmit whether a request may be admitted.
func (p *Proxy) mayAdmit(parsed Request, responder Responder) policy.Verdict {
	return policy.MayAdmit(policy.AdmitInfo{
		ClientDisconnected: responder.ClientDisconnected().GraceOver,
		RejectingNew:       p.lifecycle.rejecting(),
		Remaining:          parsed.Timeout,
		UnreleasedRequests: len(p.requests),
		MaxOpenRequests:    p.config.openRequestLimit(),
		MemoryFull:         p.memory.full(),
	})
}

// rejection returns the answer to a request that is not admitted. If a limit of the process is the cause, it is
// Overloaded, the status with the shortest answer.
func rejection(verdict policy.Verdict) Answer {
	if verdict.Rule == policy.RuleLimits {
		return Answer{Status: Overloaded, Reason: verdict.Reason}
	}
	return Answer{Status: Rejected, RetryAfter: unsubmittedRetryAfter, Reason: verdict.Reason}
}

// admit adds a request to the open ones and starts its timer.
func (p *Proxy) admit(parsed Request, responder Responder) *request {
	p.lastRequestNumber++
	q := &request{
		Request:     parsed,
		number:      p.lastRequestNumber,
		responder:   responder,
		idempotency: p.config.Policy.Classes[parsed.Class].Idempotency,
		deadline:    p.answerDeadline(parsed.Timeout),
	}
	p.requests[q.number] = q
	p.openRequests++
	p.memory.openRequests += q.memoryBytes()
	q.expectedBytes = p.memory.reserveAnswer(q.ClassName)
	q.timer = p.loop.At(q.deadline, func() { p.expire(q) })
	return q
}

// answerDeadline returns the time by which a request that is admitted now must have its answer. During a shutdown
// it is at most lifecycle.closeBy, unless that has passed: then it is the present time.
func (p *Proxy) answerDeadline(timeout time.Duration) eventloop.Timestamp {
	now := p.loop.Now()
	deadline := now + timeout - min(answerReserve, timeout/answerReserveDivisor)
	if p.lifecycle.phase == Stopping {
		return max(now, min(deadline, p.lifecycle.closeBy))
	}
	return deadline
}

// rejectUnsubmitted answers a request that has not been submitted to the decision module.
func (p *Proxy) rejectUnsubmitted(parsed Request, responder Responder, a Answer) {
	p.counters.countOutcome(parsed.ClassName, a.Status.outcome())
	p.counters.countNotServed(a.Reason)
	responder.Respond(p.config.applyRetryAfterSetting(a))
}

// markRouted marks the requests that are among events as processed by the decision module, and releases those
// that are finished and have no open attempt.
func (p *Proxy) markRouted(events []policy.Event) {
	for _, ev := range events {
		arrival, isRequest := ev.(policy.Request)
		if !isRequest {
			continue
		}
		q := p.requests[arrival.ID]
		q.routed = true
		p.releaseIfDone(q)
	}
}

// answer gives a request its final answer. It does nothing if q is nil or finished already.
func (p *Proxy) answer(q *request, a Answer) {
	if q == nil || q.finished {
		return
	}
	if a.Status != Served && a.Status != NotModified {
		p.log.Info("request not served", "request", q.ID, "class", q.ClassName, "answer", a.Status.outcome(),
			"reason", a.Reason, "attempts", len(q.attempts))
		p.counters.countNotServed(a.Reason)
	}
	p.finish(q)
	if a.Status == Served {
		p.memory.observeAnswer(q.ClassName, len(a.Body))
	}
	p.invariants.checkFinalAnswer(q, a.Status)
	p.counters.countOutcome(q.ClassName, a.Status.outcome())
	q.responder.Respond(p.config.applyRetryAfterSetting(a))
}

// expire enforces a request's deadline. It ends the open attempts, after which the decision module gives the final
// answer, and checks again after expiryRecheckTime. A request that the module still holds without an open attempt is
// failed at once, so that every request gets its answer in time.
func (p *Proxy) expire(q *request) {
	if q.openAttempts == 0 {
		p.answer(q, Answer{Status: Failed, Reason: policy.ReasonDeadlineExceeded})
		p.notify(policy.RequestEnded{ID: q.number})
		return
	}
	q.timer = p.loop.At(p.loop.Now()+expiryRecheckTime, func() { p.expire(q) })
	for _, a := range q.attempts {
		p.endAttempt(a, resp.Answer{}, policy.ResultTimeout)
	}
}

// shortenDeadline sets a request's deadline to an earlier time. A deadline that is earlier already stays.
func (p *Proxy) shortenDeadline(q *request, deadline eventloop.Timestamp) {
	if q.deadline <= deadline {
		return
	}
	q.deadline = deadline
	p.loop.Stop(q.timer)
	q.timer = p.loop.At(deadline, func() { p.expire(q) })
}

// finish marks a request as answered or given up.
func (p *Proxy) finish(q *request) {
	q.finished = true
	p.openRequests--
	p.memory.releaseAnswer(q.expectedBytes)
	p.releaseIfDone(q)
}

// releaseIfDone releases a request that is finished and has no open attempt. While an attempt is open, the
// timer keeps running, as it ends the attempt if the server never answers. A request that is finished in the
// turn in which it was received is kept until the decision module has processed it: otherwise the end of the
// first attempt that the module starts would never be reported, and the module would count that attempt as a load
// on the target's link forever.
func (p *Proxy) releaseIfDone(q *request) {
	if !q.routed || !q.finished || q.openAttempts > 0 || p.requests[q.number] != q {
		return
	}
	p.loop.Stop(q.timer)
	p.memory.openRequests -= q.memoryBytes()
	delete(p.requests, q.number)
	p.releaseID(q)
}
