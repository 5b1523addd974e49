package policy

// repeatVerdict decides whether a further attempt is harmless at a member: keyed ones are where repeats are
// known.
func (r *Router) repeatVerdict(req *request, m *endpointState) Verdict {
	first := req.mayHaveRun
	switch {
	case first == nil || req.class.Idempotency == Idempotent:
		return Verdict{}
	case req.class.Idempotency == NonIdempotent:
		return Verdict{RuleDuplicate, ReasonMayHaveRun}
	case r.now-first.decidedAt >= req.class.DeduplicationWindow:
		return Verdict{RuleDuplicate, ReasonWindowExpired}
	case req.class.DeduplicationScope == ScopeAll,
		req.class.DeduplicationScope == ScopeZone && m.Zone == first.target.Zone,
		req.class.DeduplicationScope == ScopeCell && m.Cell == first.target.Cell && m.Zone == first.target.Zone:
		return Verdict{}
	}
	return Verdict{RuleDuplicate, ReasonMayHaveRun}
}

func (r *Router) mayRepeat(req *request, m *endpointState) bool {
	return r.repeatVerdict(req, m).Allowed()
}

// mayReject reports whether it may be said that trying again is harmless.
func (r *Router) mayReject(req *request) bool {
	class := req.class
	return class.Idempotency == Idempotent || req.mayHaveRun == nil || class.Idempotency == IdempotencyKey && class.DeduplicationScope == ScopeAll
}
