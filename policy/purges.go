package policy

import (
	"maps"
	"time"
)

// A purge is remembered for as long as an older copy, or a record of one, may exist.
func (purge Purge) apply(r *Router) {
	memory := max(cacheRecordLifetime, r.settings.PurgeCompletedWithin+r.settings.PurgeGrace)
	maps.DeleteFunc(r.purges, func(_ any, at time.Duration) bool { return r.now-at > memory })
	key := any(purge.Object)
	if purge.Object == "" {
		key = purge.Group
	}
	r.purges[key] = max(r.now-purge.Age, r.purges[key])
}

func (r *Router) purgedAt(req *request) (time.Duration, bool) {
	object, objectPurged := r.purges[req.Object]
	group, groupPurged := r.purges[req.Group]
	return max(object, group), objectPurged || groupPurged
}
