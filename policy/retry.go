package policy

import (
	"cmp"
	"time"
)

const (
	retriesPerRequest = 0.6 // further attempts for each request: a third may fail, but not for good
	maxRetryBudget    = 10.0
	maxFailedAttempts = 3                      // of one request: it must not be tried at every cache
	minRetryAfter     = 300 * time.Millisecond // least advice to a refused client
)

func (r *Router) retry(a *attempt, o Outcome) {
	req := a.request
	switch {
	case req.pendingAttempts > 0:
		return
	case o.CacheStatus == CacheStatusSourceMissing:
	case o.CacheStatus == CacheStatusSourceFailed, o.CacheStatus == CacheStatusSourceRejected, o.CacheStatus == CacheStatusOriginFailed:
		req.avoid[a.source] = true
	case !a.failed && o.Result != ResultCancelled, a.number > 0, !r.inRotation(a.target):
		req.avoid[a.target] = true // after one error or lost answer alone the copy is still there
	}
	spent := len(req.attempts) >= cmp.Or(r.settings.MaxAttempts, 2) || r.retryBudget < 1
	late := r.now+time.Duration(req.transferSeconds*float64(time.Second)) >= req.deadline
	if late || spent || req.failedAttempts >= maxFailedAttempts || !r.mayRepeat(req, a.target) {
		r.rejectOrFail(req)
		return
	}
	r.route(req)
}

func (r *Router) rejectOrFail(req *request) {
	if req.pendingAttempts > 0 { // another attempt may still be answered
		return
	}
	var answer Action = Fail{ID: req.ID}
	if r.mayReject(req) {
		wait := minRetryAfter + time.Duration(r.rng.Int64N(int64(minRetryAfter)))
		answer = Reject{ID: req.ID, RetryAfter: min(wait, max(r.settings.MaxRetryAfter, minRetryAfter))}
	}
	r.actions = append(r.actions, answer)
	r.finishRequest(req.ID)
}
