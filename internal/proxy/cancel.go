package proxy

// This file ends requests before their time: their clients have left or taken them back, or their connections are about to
// be closed.

import "cloverdoor/policy"

// handleDisconnect gives up a request whose client aborted it or has disconnected. The request gets no answer
// and counts as failed.
func (p *Proxy) handleDisconnect(number int64) {
	q := p.requests[number]
	if q == nil || q.finished {
		return
	}
	p.finish(q)
	p.counters.countOutcome(q.ClassName, outcomeFailed)
	p.notify(policy.RequestEnded{ID: number})
}

// handleConnectionClosed gives up an open request whose client connection has closed. evicted says whether the
// connection was closed to make room for another client.
func (p *Proxy) handleConnectionClosed(number int64, evicted bool) {
	if q := p.requests[number]; q != nil {
		p.invariants.checkConnectionClosed(q, evicted)
	}
	p.handleDisconnect(number)
}

// requestID returns the id that the client has given to a request; empty if the request has ended.
func (p *Proxy) requestID(number int64) string {
	if q := p.requests[number]; q != nil && !q.finished {
		return q.ID
	}
	return ""
}

// cancelAfterDisconnect answers a request whose client has probably disconnected, and cancels its attempts. A
// client that has closed only its sending side learns from the answer whether the request may have been
// executed.
func (p *Proxy) cancelAfterDisconnect(number int64) {
	p.cancel(number, policy.ReasonClientDisconnected)
}

// cancelBeforeClose answers a request whose connection is about to be closed, and cancels its attempts.
func (p *Proxy) cancelBeforeClose(number int64) { p.cancel(number, policy.ReasonStopping) }

// cancel answers a request before its deadline, and cancels its attempts. The answer tells whether the request may have
// been executed.
func (p *Proxy) cancel(number int64, reason policy.Reason) {
	q := p.requests[number]
	if q == nil || q.finished {
		return
	}
	status := Rejected
	if q.hasStartedNonIdempotentCall() {
		status = Failed
	}
	p.answer(q, Answer{Status: status, Reason: reason})
	p.notify(policy.RequestEnded{ID: number})
}

// hasStartedNonIdempotentCall reports whether the request is not idempotent and the first byte of a call for
// it has been written. The rest of the call may still be written before its connection is closed.
func (q *request) hasStartedNonIdempotentCall() bool {
	if q.isIdempotent() {
		return false
	}
	for _, a := range q.attempts {
		if a.started {
			return true
		}
	}
	return false
}
