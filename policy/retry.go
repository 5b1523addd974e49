package policy

// Retries send a request again after an attempt that brought no answer.
//
// Inputs: the ended attempt and its outcome, the time to the request's deadline, the attempts made so far and
// the router's retry budget (in attempts). Result: another attempt that avoids the endpoints that failed, or
// the final answer: Reject with a Retry-After where repeating the request is harmless, Fail where its effect
// is unknown.
//
// A request that may have run is retried only where a repeat is harmless (idempotency.go). The budget bounds
// the load that retries add in an overload. It suffices for all retries while a third of all attempts fail.

import "time"

const (
	retriesPerRequest  = 0.6  // retries that each request adds to the budget
	maxRetryBudget     = 10.0 // retries
	maxFailedAttempts  = 3    // per request, as a request that makes caches fail must not reach all of them
	defaultMaxAttempts = 2    // per request, where Settings.MaxAttempts is 0

	// minRetryAfter is the shortest Retry-After. Each rejection adds a random time of up to as much again, so
	// that clients that were rejected together do not return together.
	minRetryAfter = 300 * time.Millisecond
)

// addToRetryBudget adds what a request contributes to the retry budget.
func (r *Router) addToRetryBudget() {
	r.retryBudget = min(r.retryBudget+retriesPerRequest, maxRetryBudget)
}

// takeFromRetryBudget takes one retry from the budget.
func (r *Router) takeFromRetryBudget() { r.retryBudget-- }

// hasRetryBudget reports whether the budget allows one more retry.
func (r *Router) hasRetryBudget() bool { return r.retryBudget >= 1 }

// retry decides what follows an attempt that did not answer its request: nothing while another attempt is
// pending, otherwise another attempt or the final answer.
func (r *Router) retry(a *attempt, o Outcome) {
	req := a.request
	if req.pendingAttempts > 0 {
		return
	}
	r.avoidAfter(a, o)
	denialReason := r.retryDenialReason(req, a.target)
	if denialReason != "" {
		r.rejectOrFail(req, denialReason)
		return
	}
	r.route(req)
}

// avoidAfter excludes the endpoint that caused a failure from the request's later attempts: the source if the
// fill failed, otherwise the target. An error, broken connection or cancellation of the first attempt does
// not exclude its target, unless that is ejected, as the target still has its cached copy.
func (r *Router) avoidAfter(a *attempt, o Outcome) {
	switch o.CacheStatus {
	case CacheStatusSourceMiss:
		return // updateCacheIndex has excluded the source
	case CacheStatusSourceFailed, CacheStatusSourceRejected, CacheStatusOriginFailed:
		a.request.avoided[a.source] = true
		return
	}
	mayBeTransient := a.state == attemptFailed || a.state == attemptCancelled
	if a.number > 0 || !mayBeTransient || r.isEjected(a.target) {
		a.request.avoided[a.target] = true
	}
}

// retryDenialReason returns why a request may not be retried, or "" if it may. Target is the last attempt's
// target: a repeat that is harmful there is harmful anywhere.
func (r *Router) retryDenialReason(req *request, target *endpointState) Reason {
	answerAt := r.now + durationOf(req.transferSeconds)
	if answerAt >= req.deadline {
		return ReasonDeadlineExceeded
	}
	limitReason := r.attemptLimitReason(req)
	if limitReason != "" {
		return limitReason
	}
	return r.repeatVerdict(req, target).Reason
}

// attemptLimitReason returns the reason if a limit allows a request no further attempt, or "" otherwise.
func (r *Router) attemptLimitReason(req *request) Reason {
	maxAttempts := r.settings.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultMaxAttempts
	}
	if len(req.attempts) >= maxAttempts || req.failedAttempts >= maxFailedAttempts {
		return ReasonAttemptsUsed
	}
	if !r.hasRetryBudget() {
		return ReasonNoRetryBudget
	}
	return ""
}

// rejectOrFail gives a request its final answer, unless a pending attempt may still bring one.
func (r *Router) rejectOrFail(req *request, reason Reason) {
	if req.pendingAttempts > 0 {
		return
	}
	if r.mayReject(req) {
		r.emit(Reject{ID: req.ID, RetryAfter: r.retryAfter(), Reason: reason})
	} else {
		r.emit(Fail{ID: req.ID, Reason: reason})
	}
	r.finishRequest(req.ID)
}

// retryAfter returns a random time for a rejected client to wait, up to Settings.MaxRetryAfter.
func (r *Router) retryAfter() time.Duration {
	wait := minRetryAfter + time.Duration(r.rng.Int64N(int64(minRetryAfter)))
	return min(wait, max(r.settings.MaxRetryAfter, minRetryAfter))
}
