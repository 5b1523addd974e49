package policy

import (
	"cmp"
	"time"
)

const (
	retryShare  = 0.6 // further attempts for each request: a third may fail, but not for good
	retryBurst  = 10.0
	maxFailures = 3                      // of one request: it must not be tried at every cache
	minComeBack = 300 * time.Millisecond // least advice to a refused client
)

// A timer tells of an overdue attempt: its member was silent, or later attempts overtook it and it was lost.
func (timer TimerFired) apply(r *Router) {
	a := r.pendingAttempt(int64(timer.Token>>8), int(timer.Token&255))
	if a == nil || a.request.finished {
		return
	}
	req, lost := a.request, a.target.lastAnswerSent > a.sent
	if lost { // its transfer is over and loads no link any more
		a.leaveLinks(r.now)
		req.avoid[a.source] = a.source != a.target // or its source does not answer
	}
	if !lost && a.target.lastHeard <= a.sent {
		a.target.markSuspect(r.now)
	} else if a.source.lastHeard <= a.sent && !a.expectHit {
		a.source.markSuspect(r.now)
	}
	silent := !r.healthy(a.target) || !r.healthy(a.source)
	inTime := r.now+time.Duration(req.work*float64(time.Second)) < req.aim
	switch {
	case !lost && !(silent && inTime) || req.class.Idempotency != Idempotent || r.retryBudget < 1:
	case r.settings.Hedging:
		r.decide(req)
	case r.settings.MayCancel:
		r.actions = append(r.actions, Cancel{ID: req.ID, Attempt: a.number})
	}
}

func (r *Router) retry(a *attempt, o Outcome) {
	req := a.request
	switch {
	case req.pending > 0:
		return
	case o.CacheStatus == CacheStatusSourceMissing:
	case o.CacheStatus == CacheStatusSourceFailed, o.CacheStatus == CacheStatusSourceRejected, o.CacheStatus == CacheStatusOriginFailed:
		req.avoid[a.source] = true
	case !a.failed && o.Result != ResultCancelled, a.number > 0, !r.healthy(a.target):
		req.avoid[a.target] = true // after one error or lost answer alone the copy is still there
	}
	spent := len(req.attempts) >= cmp.Or(r.settings.MaxAttempts, 2) || r.retryBudget < 1
	late := r.now+time.Duration(req.work*float64(time.Second)) >= req.deadline
	if late || spent || req.failed >= maxFailures || !r.mayRepeat(req, a.target) {
		r.finishUnserved(req)
		return
	}
	r.decide(req)
}

func (r *Router) finishUnserved(req *request) {
	if req.pending > 0 { // another attempt may still be answered
		return
	}
	var answer Action = Fail{ID: req.ID}
	if r.mayRefuse(req) {
		wait := minComeBack + time.Duration(r.rng.Int64N(int64(minComeBack)))
		answer = Reject{ID: req.ID, RetryAfter: min(wait, max(r.settings.MaxRetryAfter, minComeBack))}
	}
	r.actions = append(r.actions, answer)
	r.finishID(req.ID)
}

func (started StreamStarted) apply(r *Router) { r.finishID(started.ID) }

func (gone ClientDisconnected) apply(r *Router) { r.finishID(gone.ID) }

// finishID marks a request as finished; it is forgotten when its last attempt has ended.
func (r *Router) finishID(id int64) {
	req := r.requests[id]
	if req == nil {
		return
	}
	req.finished = true
	for _, a := range req.attempts {
		if a.pending && r.settings.MayCancel && !req.class.Stream {
			r.actions = append(r.actions, Cancel{ID: req.ID, Attempt: a.number})
		}
	}
	if req.pending == 0 {
		delete(r.requests, id)
	}
}
