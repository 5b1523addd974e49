package policy

import (
	"cmp"
	"slices"
	"time"
)

func (r *Router) fetchAction(a *attempt) Fetch {
	req, f := a.request, Fetch{ID: a.request.ID, Target: a.target.ID, Source: a.source.ID}
	if req.class.Uncacheable {
		return f
	}
	f.RetentionRank, f.CoalesceFill, f.CachedOnly = 1, r.settings.CoalesceFills, a.cachedOnly
	if slices.ContainsFunc(r.caches, func(m *endpointState) bool { return m.cacheIndex.Contains(req.key) }) {
		f.RetentionRank = 2 // it was asked for before: kept longer than what came once
	}
	f.StaleWhileRevalidate = req.class.FreshFor > 0 && !a.cachedOnly
	if (a.number > 0 || a.cachedOnly) && req.class.FreshFor > 0 {
		f.MaxAge = req.class.FreshFor + req.class.StaleFor
	}
	// A copy from before a purge may still exist: its age is bounded. A further attempt joins no fill.
	if at, purged := r.purgedAt(req); purged && r.now-at <= r.settings.PurgeCompletedWithin+r.settings.PurgeGrace {
		since := max(r.now-at, time.Microsecond)
		f.MaxAge = min(cmp.Or(f.MaxAge, req.class.FreshFor, since), since)
		f.CoalesceFill = f.CoalesceFill && a.number == 0
	}
	return f
}
