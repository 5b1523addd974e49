package policy

// An attempt is overdue if it is still pending when its timer fires.
//
// Inputs: when the target and the source last responded, and whether the target has answered an attempt that
// was created later, in which case the answer to this one is taken to be lost. Result: a silent endpoint is
// ejected, and an idempotent request is hedged, or its attempt is cancelled, which leads to a retry. An
// attempt that is merely slow continues: large objects are slow, and a second transfer would add to the load.

import "time"

// An attempt is overdue after overdueFactor times its expected time plus overdueMargin. The factor is large
// because sizes are often unknown.
const (
	overdueFactor = 8.0
	overdueMargin = 200 * time.Millisecond
)

// A timer's token holds the request's ID and, in its lowest bits, the attempt's number.
const (
	attemptNumberBits = 8
	attemptNumberMask = 1<<attemptNumberBits - 1
)

// overdueTimer returns the timer of an attempt.
func overdueTimer(a *attempt) StartTimer {
	expectedSeconds := a.firstByteSeconds + a.expectedSeconds
	return StartTimer{
		In:    durationOf(overdueFactor*expectedSeconds) + overdueMargin,
		Token: uint64(a.request.ID)<<attemptNumberBits | uint64(a.number&attemptNumberMask),
	}
}

// apply handles an overdue attempt. It does nothing if the attempt has ended or its request is finished.
func (timer TimerFired) apply(r *Router) {
	a := r.pendingAttempt(int64(timer.Token>>attemptNumberBits), int(timer.Token&attemptNumberMask))
	if a == nil || a.request.finished {
		return
	}
	lost := a.target.latestAnsweredAttemptAt > a.createdAt
	if lost {
		a.releaseLinks(r.now)                              // nothing is being transferred any more
		a.request.avoided[a.source] = a.source != a.target // a separate source may be what does not answer
	}
	r.ejectUnresponsive(a, lost)
	if !r.mayHedge(a, lost) {
		return
	}
	if r.settings.Hedging {
		r.route(a.request)
	} else if r.settings.CancelAttempts {
		r.emit(Cancel{ID: a.request.ID, Attempt: a.number})
	}
}

// ejectUnresponsive ejects the endpoint that has not responded since an overdue attempt was created: the
// target or, if the target has responded and a miss was expected, the source.
func (r *Router) ejectUnresponsive(a *attempt, lost bool) {
	targetSilent := a.target.lastResponseAt <= a.createdAt
	sourceSilent := a.source.lastResponseAt <= a.createdAt
	if !lost && targetSilent {
		r.ejectAfter(a, a.target)
	} else if sourceSilent && !a.expectHit {
		r.ejectAfter(a, a.source)
	}
}

// mayHedge reports whether the request of an overdue attempt may be sent again: it must be idempotent, and
// the limit on its attempts and the retry budget must allow another. Unless the attempt's answer is lost, its
// target or source must also be ejected, and another attempt must be able to meet the objective.
func (r *Router) mayHedge(a *attempt, lost bool) bool {
	req := a.request
	if req.class.Idempotency != Idempotent || r.attemptLimitReason(req) != "" {
		return false
	}
	if lost {
		return true
	}
	ejected := r.isEjected(a.target) || r.isEjected(a.source)
	inTime := r.now+durationOf(req.transferSeconds) < req.objectiveAt
	return ejected && inTime
}
