package policy

// The cache index of an endpoint records which objects the endpoint probably has cached. Caches do not report
// what they store; an answer from a cache shows that it has the object.
//
// Inputs: the cache status and the time of each answer, purges, and the class's FreshFor. Result: whether a
// cache probably has an object (likelyCached). A record no longer counts after its lifetime, when the copy is
// no longer fresh, after a purge, or after a restart of the cache (endpoints.go).

import "time"

const (
	// cacheIndexSize is the maximum number of parts recorded for one cache, more than a cache stores.
	cacheIndexSize = 8192

	// cacheRecordLifetime is the time for which a cache probably keeps an object after its last answer with
	// that object.
	cacheRecordLifetime = 30 * time.Second
)

// cacheRecord holds what answers have shown about one part in one cache.
type cacheRecord struct {
	filledAt time.Duration // when the copy was filled, or first seen if the fill was not observed
	seenAt   time.Duration // when the cache last answered with it
}

// servedFromCache reports whether the target had the object cached.
func (o Outcome) servedFromCache() bool {
	return o.CacheStatus == CacheStatusHit || o.CacheStatus == CacheStatusStale
}

// filled reports whether the target fetched the object from its source for this attempt.
func (o Outcome) filled() bool {
	fromSource := o.CacheStatus == CacheStatusFilled || o.CacheStatus == CacheStatusFilledByOrigin
	return o.Result == ResultOK && fromSource
}

// updateCacheIndex records what an outcome shows: that the target has the object, or that the source does
// not.
func (r *Router) updateCacheIndex(a *attempt, o Outcome) {
	req := a.request
	reportedByCache := o.CacheStatus != CacheStatusNone && r.isCache(a.target)
	if o.Result == ResultOK && reportedByCache && !req.class.Uncacheable {
		r.recordCached(a.target, req, !o.servedFromCache())
	}
	if o.CacheStatus != CacheStatusSourceMiss {
		return
	}
	req.avoided[a.source] = true
	if r.hasSiblingSource(a) {
		a.source.cacheIndex.Remove(req.key)
	}
}

// recordCached records that a cache has a request's object. Filled says whether the cache has just filled it.
func (r *Router) recordCached(e *endpointState, req *request, filled bool) {
	record, found := e.cacheIndex.Peek(req.key)
	if !found || filled {
		record.filledAt = r.now
	}
	record.seenAt = r.now
	e.cacheIndex.Add(req.key, record)
}

// likelyCached reports whether a cache probably has a fresh copy of a request's object.
func (r *Router) likelyCached(e *endpointState, req *request) bool {
	record, found := e.cacheIndex.Peek(req.key)
	if !found || r.purgedSince(req, record.filledAt) || r.now-record.seenAt >= cacheRecordLifetime {
		return false
	}
	return req.class.FreshFor == 0 || r.now-record.filledAt < req.class.FreshFor
}
