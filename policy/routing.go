package policy

// Routing decides whether a request goes to a cache of the zone, past the caches to a parent, or to the
// origin.
//
// Inputs: the request's class, which endpoints are eligible, and whether parents and the origin accept
// requests directly. Result: an attempt with its target and fill source, or the final answer if no endpoint
// can be used.

// route starts an attempt for a request, or gives the request its final answer.
func (r *Router) route(req *request) {
	cache := r.firstWithCapacity(req, r.ranked(r.caches, req))
	if req.class.Uncacheable {
		r.routeUncacheable(req, cache)
		return
	}
	// Where parents accept direct requests, they serve the zone instead of an ejected cache.
	if cache != nil && (!r.isEjected(cache) || !r.settings.DirectRequests) {
		r.startAttempt(req, cache, r.chooseSource(req, cache))
		return
	}
	r.routePastCaches(req)
}

// routeUncacheable sends a request to the origin, through a cache if the origin accepts no direct requests.
func (r *Router) routeUncacheable(req *request, cache *endpointState) {
	switch {
	case !r.eligible(r.origin, req):
		r.rejectOrFail(req, ReasonNoEndpoint)
	case r.settings.DirectRequests:
		r.startAttempt(req, r.origin, r.origin)
	case cache != nil:
		r.startAttempt(req, cache, r.origin)
	default:
		r.rejectOrFail(req, ReasonNoEndpoint)
	}
}

// routePastCaches sends a request to a parent that fills from the origin, or to the origin itself. It is used
// when no cache of the zone can serve the request.
func (r *Router) routePastCaches(req *request) {
	if !r.settings.DirectRequests {
		r.rejectOrFail(req, ReasonNoEndpoint)
		return
	}
	parent := r.chooseParent(req)
	if parent == nil || !r.eligible(r.origin, req) {
		r.rejectOrFail(req, ReasonNoEndpoint)
		return
	}
	r.startAttempt(req, parent, r.origin)
}
