package policy

// The fill source is where a cache fetches an object that it misses: a sibling cache that probably has it, or
// a parent, or the origin.
//
// Inputs: which siblings probably have the object, their misindication ratios (rho, 0 to 1), and the mean
// waits for the first byte of a parent and of a sibling. The wait for a parent divided by the
// wait for a sibling is the miss penalty (beta). Result: the sibling with the lowest rho if
// 1 + beta*rho < beta, as a miss there costs both waits; otherwise a parent. The rule is that of Cohen,
// Einziger, Friedman and Scalosub, 'Access Strategies for Network Caching', IEEE/ACM Transactions on
// Networking 29(2), 2021 ('the paper' here and in estimators.go).

import "math"

// initialMissPenalty is the paper's beta until the first-byte times of parents and siblings are known.
const initialMissPenalty = 100.0

// chooseSource returns the endpoint that fills a miss of the target, or the target itself if there is none.
func (r *Router) chooseSource(req *request, target *endpointState) *endpointState {
	sibling := r.chooseSibling(req, target)
	parent := r.chooseParent(req)
	switch {
	case sibling != nil:
		return sibling
	case parent != nil:
		return parent
	}
	return target
}

// chooseParent returns the first endpoint with capacity among the ranked parents, followed by the origin. It
// returns nil if none may be used.
func (r *Router) chooseParent(req *request) *endpointState {
	candidates := append(r.ranked(r.parents, req), r.origin)
	return r.firstWithCapacity(req, candidates)
}

// chooseSibling returns the cache of the zone that should fill a miss of the target instead of a parent, or
// nil if a parent should.
func (r *Router) chooseSibling(req *request, target *endpointState) *endpointState {
	if r.settings.Siblings == SiblingsNone {
		return nil
	}
	var best *endpointState
	lowestMisindication := math.Inf(1)
	averageMisindication := r.meanMisindication()
	for _, e := range r.ranked(r.caches, req) {
		if e == target || !r.maySiblingFill(req, e) {
			continue
		}
		misindication := averageMisindication
		if e.misindication.hasSamples() {
			misindication = e.misindication.value
		}
		if misindication < lowestMisindication {
			best = e
			lowestMisindication = misindication
		}
	}
	penalty := r.missPenalty()
	worthAsking := 1+penalty*lowestMisindication < penalty
	if best == nil || !worthAsking {
		return nil
	}
	return best
}

// maySiblingFill reports whether a cache of the zone probably has a request's object and has the capacity to
// send it. The capacity is checked because all routers rank siblings alike and would all use a full one.
func (r *Router) maySiblingFill(req *request, e *endpointState) bool {
	if req.avoided[e] || !r.likelyCached(e, req) || !r.eligible(e, req) || r.isEjected(e) {
		return false
	}
	hasNoCapacity := r.secondsOverObjective(e, req) > 0
	return !hasNoCapacity
}

// hasSiblingSource reports whether the source of an attempt is a cache of the zone other than the target.
func (r *Router) hasSiblingSource(a *attempt) bool {
	return a.source != a.target && r.isCache(a.source)
}

// meanMisindication is the mean misindication ratio of the caches with a known one, 0 if there are none.
func (r *Router) meanMisindication() float64 {
	sum := 0.0
	count := 0.0
	for _, e := range r.caches {
		if e.misindication.hasSamples() {
			sum += e.misindication.value
			count++
		}
	}
	return sum / max(count, 1)
}

// missPenalty is the paper's beta: the wait for a parent's first byte divided by the wait for a sibling's.
func (r *Router) missPenalty() float64 {
	if r.parentFirstByteSeconds.value == 0 || r.siblingFirstByteSeconds.value == 0 {
		return initialMissPenalty
	}
	return r.parentFirstByteSeconds.value / r.siblingFirstByteSeconds.value
}

// updateMisindication counts whether a sibling that was believed to have an object had it.
func (r *Router) updateMisindication(a *attempt, o Outcome) {
	missed := o.CacheStatus == CacheStatusSourceMiss
	if r.hasSiblingSource(a) && (o.filled() || missed) {
		a.source.misindication.add(missed)
	}
}

// updateFirstByteTimes updates the mean first-byte times of an attempt's source and of the source's tier. If
// a parent had to ask the origin, the time counts as the origin's.
func (r *Router) updateFirstByteTimes(a *attempt, o Outcome) {
	if !o.filled() || o.SourceFirstByte <= 0 {
		return
	}
	source := a.source
	if o.CacheStatus == CacheStatusFilledByOrigin && r.origin != nil {
		source = r.origin
	}
	tierMean := &r.parentFirstByteSeconds
	if r.hasSiblingSource(a) {
		tierMean = &r.siblingFirstByteSeconds
	}
	source.firstByteSeconds.add(o.SourceFirstByte.Seconds(), firstByteSamples)
	tierMean.add(o.SourceFirstByte.Seconds(), firstByteSamples)
}
