package proxy

// This file keeps a write from running twice when its id comes again: on another connection, after its client has left or
// has its answer, or at another process that shares the listening socket. Clients use a new id for each request.

import "cloverdoor/policy"

// claimID reports whether a request may run: it is no write, or its id is new. The id of a write is then claimed.
func (p *Proxy) claimID(parsed Request) bool {
	if p.config.Policy.Classes[parsed.Class].Idempotency != policy.NonIdempotent {
		return true
	}
	return p.claimedIDs.Claim(parsed.ID, p.loop.Now())
}

// failRepeated answers a write whose id has been claimed before. It is no rejection, which would say that the write has not
// run.
func (p *Proxy) failRepeated(parsed Request, responder Responder) {
	p.log.Warn("write not admitted, its id has been used", "request", parsed.ID, "class", parsed.ClassName)
	p.counters.countOutcome(parsed.ClassName, outcomeFailed)
	p.counters.countNotServed(policy.ReasonMayHaveRun)
	responder.Respond(Answer{Status: Failed, Reason: policy.ReasonMayHaveRun})
}

// releaseID releases the id of a write that has not run and never will, so that it may come again.
func (p *Proxy) releaseID(q *request) {
	if q.idempotency == policy.NonIdempotent && !q.mayHaveRun() {
		p.claimedIDs.Release(q.ID)
	}
}

// mayHaveRun reports whether one of the request's attempts, all of which have ended, may have been executed.
func (q *request) mayHaveRun() bool {
	for _, a := range q.attempts {
		if a.mayHaveRun() {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether the call of an ended attempt may have been executed, see the table in result.go.
func (a *attempt) mayHaveRun() bool {
	switch a.result {
	case policy.ResultNotFound, policy.ResultRejected, policy.ResultNotSent, policy.ResultConnectFailed:
		return false
	}
	return true
}
