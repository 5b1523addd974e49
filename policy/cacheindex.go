package policy

// The cache index of an endpoint holds which objects it is believed to have cached. Caches do not report what
// they store: an answer from a cache shows that it has the object.
//
// Inputs: the cache status of answers, when they came, purges and the class's freshness. Result:
// likelyCached. A belief ends with the record's lifetime, the copy's freshness, a purge, or a restart of the
// cache (endpoints.go).

import "time"

const (
	// cacheIndexSize is the number of parts that are remembered for one cache, more than a cache stores.
	cacheIndexSize = 8192

	// cacheRecordLifetime is how long after its last answer an object is believed to be cached.
	cacheRecordLifetime = 30 * time.Second
)

// cacheRecord is what answers have shown of one part in one cache.
type cacheRecord struct {
	filledAt time.Duration // when it was filled; when it was first seen if the fill was not observed
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

// updateCacheIndex records what an answer shows: the target has the object, or the source does not.
func (r *Router) updateCacheIndex(a *attempt, o Outcome) {
	req := a.request
	fromCache := o.CacheStatus != CacheStatusNone && r.isCache(a.target)
	if o.Result == ResultOK && fromCache && !req.class.Uncacheable {
		r.recordCached(a.target, req, !o.servedFromCache())
	}
	if o.CacheStatus != CacheStatusSourceMissing {
		return
	}
	req.avoid[a.source] = true
	if r.hasSiblingSource(a) {
		a.source.cacheIndex.Remove(req.key)
	}
}

// recordCached records that a cache has a request's object, and whether it was filled just now.
func (r *Router) recordCached(e *endpointState, req *request, filled bool) {
	record, known := e.cacheIndex.Peek(req.key)
	if !known || filled {
		record.filledAt = r.now
	}
	record.seenAt = r.now
	e.cacheIndex.Add(req.key, record)
}

// likelyCached reports whether a cache is believed to have a fresh copy of a request's object.
func (r *Router) likelyCached(e *endpointState, req *request) bool {
	record, known := e.cacheIndex.Peek(req.key)
	if !known || r.purgedSince(req, record.filledAt) || r.now-record.seenAt >= cacheRecordLifetime {
		return false
	}
	return req.class.FreshFor == 0 || r.now-record.filledAt < req.class.FreshFor
}
