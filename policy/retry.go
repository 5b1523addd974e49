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
