package policy

// Idempotency decides whether a request may be sent again, and whether it may be rejected, as a rejection
// invites its client to send it again.
//
// Inputs: the class's idempotency, deduplication scope and window, the first attempt that may have run, and
// the endpoint that would receive the repeat. Result: a verdict on the repeat, and whether the request may
// get a Reject.
//
// A request with an idempotency key is deduplicated by a group of endpoints (the deduplication scope) for a
// limited time (the deduplication window): a repeat is harmless only within both. An idempotent request may
// be repeated anywhere.

// repeatVerdict decides whether another attempt is harmless at an endpoint.
func (r *Router) repeatVerdict(req *request, e *endpointState) Verdict {
	firstRun := req.firstPossibleRun
	if firstRun == nil {
		return Verdict{}
	}
	switch req.class.Idempotency {
	case Idempotent:
		return Verdict{}
	case NonIdempotent:
		return Verdict{RuleDuplicate, ReasonMayHaveRun}
	}
	if r.now-firstRun.createdAt >= req.class.DeduplicationWindow {
		return Verdict{RuleDuplicate, ReasonWindowExpired}
	}
	if !req.class.DeduplicationScope.covers(firstRun.target, e) {
		return Verdict{RuleDuplicate, ReasonMayHaveRun}
	}
	return Verdict{}
}

// covers reports whether two endpoints deduplicate requests together, that is, share their idempotency keys.
func (scope DeduplicationScope) covers(first, second *endpointState) bool {
	sameZone := first.Zone == second.Zone
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return sameZone
	case ScopeCell:
		return sameZone && first.Cell == second.Cell
	}
	return false
}

// mayRepeat reports whether another attempt is harmless at an endpoint.
func (r *Router) mayRepeat(req *request, e *endpointState) bool {
	return r.repeatVerdict(req, e).Allowed()
}

// mayReject reports whether a request may get a Reject, which says that it may be sent again. If it may have
// run and has an idempotency key, all endpoints must deduplicate it, as its client's repeat may reach any of
// them.
func (r *Router) mayReject(req *request) bool {
	if req.firstPossibleRun == nil || req.class.Idempotency == Idempotent {
		return true
	}
	return req.class.Idempotency == IdempotencyKey && req.class.DeduplicationScope == ScopeAll
}
