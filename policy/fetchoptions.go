package policy

// Fetch options tell a cache how to serve a request: how old a copy may be, whether a miss may wait for a
// fill that is in progress, and how long the new copy is retained.
//
// Inputs: the request's class, the attempt's number and source, which caches had the object, and recent
// purges. Result: a Fetch. It is determined when the attempt is created and again when its first byte is
// sent, as a purge may have arrived in between.

import "slices"

// Retention ranks. A cache evicts copies of a lower rank first.
const (
	retentionFirstRequest  = 1
	retentionRepeatRequest = 2 // an object that was requested before is likely to be requested again
)

// fetchAction returns the Fetch that sends an attempt. An uncacheable request has no fetch options.
func (r *Router) fetchAction(a *attempt) Fetch {
	req := a.request
	fetch := Fetch{ID: req.ID, Target: a.target.ID, Source: a.source.ID}
	if req.class.Uncacheable {
		return fetch
	}
	fetch.RetentionRank = r.retentionRank(req)
	fetch.CoalesceFill = r.settings.CoalesceFills
	fetch.SourceCachedOnly = a.sourceCachedOnly
	fetch.StaleWhileRevalidate = req.class.FreshFor > 0 && !a.sourceCachedOnly
	// A stale copy is better than no answer on a retry, or where the source may not fetch a fresh one.
	mayBeStale := a.number > 0 || a.sourceCachedOnly
	if mayBeStale && req.class.FreshFor > 0 {
		fetch.MaxAge = req.class.FreshFor + req.class.StaleFor
	}
	r.limitAgeAfterPurge(&fetch, a)
	return fetch
}

// retentionRank returns the rank of a request's object: the higher one if the cache index of a cache of the
// zone contains the object.
func (r *Router) retentionRank(req *request) int {
	cached := func(e *endpointState) bool { return e.cacheIndex.Contains(req.key) }
	if slices.ContainsFunc(r.caches, cached) {
		return retentionRepeatRequest
	}
	return retentionFirstRequest
}

// limitAgeAfterPurge lowers the maximum age of a copy to the time since a recent purge. The first attempt may
// still wait for a fill in progress, as many requests miss at once after a purge. A retry may not, as that
// fill may have begun before the purge.
func (r *Router) limitAgeAfterPurge(fetch *Fetch, a *attempt) {
	sincePurge, purgedRecently := r.recentPurge(a.request)
	if !purgedRecently {
		return
	}
	fetch.PurgeAge = sincePurge
	maxAge := fetch.MaxAge
	if maxAge == 0 {
		maxAge = a.request.class.FreshFor
	}
	if maxAge == 0 || maxAge > sincePurge {
		maxAge = sincePurge
	}
	fetch.MaxAge = maxAge
	if a.number > 0 {
		fetch.CoalesceFill = false
	}
}
