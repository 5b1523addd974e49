package policy

func (r *Router) decide(req *request) {
	target := r.firstWithRoom(req, r.ranked(r.caches, req))
	switch {
	case req.class.Uncacheable && !r.usable(r.origin, req):
		r.finishUnserved(req)
	case req.class.Uncacheable && r.settings.DirectRequests:
		r.startAttempt(req, r.origin, r.origin)
	case req.class.Uncacheable && target != nil:
		r.startAttempt(req, target, r.origin)
	case target != nil && (r.healthy(target) || !r.settings.DirectRequests):
		r.startAttempt(req, target, r.chooseSource(req, target))
	case r.settings.DirectRequests && r.chooseParent(req) != nil && r.usable(r.origin, req): // no cache is up
		r.startAttempt(req, r.chooseParent(req), r.origin)
	default:
		r.finishUnserved(req)
	}
}
