package policy

func (r *Router) route(req *request) {
	target := r.firstWithCapacity(req, r.ranked(r.caches, req))
	switch {
	case req.class.Uncacheable && !r.eligible(r.origin, req):
		r.rejectOrFail(req)
	case req.class.Uncacheable && r.settings.DirectRequests:
		r.startAttempt(req, r.origin, r.origin)
	case req.class.Uncacheable && target != nil:
		r.startAttempt(req, target, r.origin)
	case target != nil && (!r.isEjected(target) || !r.settings.DirectRequests):
		r.startAttempt(req, target, r.chooseSource(req, target))
	case r.settings.DirectRequests && r.chooseParent(req) != nil && r.eligible(r.origin, req): // no cache is up
		r.startAttempt(req, r.chooseParent(req), r.origin)
	default:
		r.rejectOrFail(req)
	}
}
