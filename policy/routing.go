package policy

// Routing decides which way a request takes: to a cache of the zone, past the caches to a parent, or to the
// origin.
//
// Inputs: the request's class, which endpoints are eligible, and whether parents and the origin accept
// requests directly. Result: an attempt with its target and fill source, or the final answer if there is no
// way.

// route starts an attempt for a request, or rejects or fails it.
func (r *Router) route(req *request) {
	cache := r.firstWithCapacity(req, r.ranked(r.caches, req))
	if req.class.Uncacheable {
		r.routeUncacheable(req, cache)
		return
	}
	// With direct requests, an ejected cache is not needed: parents serve the zone instead.
	if cache != nil && (!r.isEjected(cache) || !r.settings.DirectRequests) {
		r.startAttempt(req, cache, r.chooseSource(req, cache))
		return
	}
	r.routePastCaches(req)
}

// routeUncacheable sends a request to the origin, through a cache where the origin accepts no direct
// requests.
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

// routePastCaches sends a request to a parent that fills from the origin, or to the origin itself, as no
// cache of the zone can be used.
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
