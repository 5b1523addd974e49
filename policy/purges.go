package policy

// A purge invalidates all copies of an object, or of a group of objects, that were filled before it. Caches
// remove them within a known time; until then, a copy from before the purge may still be served.
//
// Inputs: a purge's age when it is reported, and the time that the settings give a purge to complete. Result:
// the time since a purge that may be incomplete, which bounds the age of a copy, and whether a copy in the
// cache index is older than a purge.

import (
	"maps"
	"time"
)

// purgeSweepInterval is the shortest time between two removals of old purges, which visit every purge.
const purgeSweepInterval = time.Second

// purgeTimes holds the times at which objects and groups were last purged, on the router's clock.
type purgeTimes struct {
	objects map[string]time.Duration
	groups  map[int]time.Duration
	sweptAt time.Duration // when old purges were last removed
}

// newPurgeTimes returns an empty purgeTimes.
func newPurgeTimes() purgeTimes {
	return purgeTimes{objects: map[string]time.Duration{}, groups: map[int]time.Duration{}}
}

// removeOld removes the purges that are older than lifetime, at most once per purgeSweepInterval.
func (p *purgeTimes) removeOld(now, lifetime time.Duration) {
	if now-p.sweptAt < purgeSweepInterval {
		return
	}
	p.sweptAt = now
	oldest := now - lifetime
	maps.DeleteFunc(p.objects, func(_ string, at time.Duration) bool { return at < oldest })
	maps.DeleteFunc(p.groups, func(_ int, at time.Duration) bool { return at < oldest })
}

// shift adds an offset to the times of all purges.
func (p *purgeTimes) shift(offset time.Duration) {
	for object := range p.objects {
		p.objects[object] += offset
	}
	for group := range p.groups {
		p.groups[group] += offset
	}
}

// apply records a purge for as long as an older copy, or a cache record of one, may exist. An earlier purge
// never replaces a later one.
func (purge Purge) apply(r *Router) {
	lifetime := max(cacheRecordLifetime, r.purgeCompletion())
	r.purges.removeOld(r.now, lifetime)
	at := r.now - purge.Age
	if purge.Object != "" {
		r.purges.objects[purge.Object] = max(at, r.purges.objects[purge.Object])
	} else {
		r.purges.groups[purge.Group] = max(at, r.purges.groups[purge.Group])
	}
}

// purgeCompletion is the time after a purge for which a cache may still have an older copy.
func (r *Router) purgeCompletion() time.Duration {
	return r.settings.PurgeCompletedWithin + r.settings.PurgeGrace
}

// purgedAt returns when a request's object or its group was last purged, and whether such a purge is
// recorded.
func (r *Router) purgedAt(req *request) (at time.Duration, purged bool) {
	objectPurgedAt, objectPurged := r.purges.objects[req.Object]
	groupPurgedAt, groupPurged := r.purges.groups[req.Group]
	return max(objectPurgedAt, groupPurgedAt), objectPurged || groupPurged
}

// recentPurge returns the time since the last purge of a request's object, and whether that purge may still
// be incomplete. The time of such a purge is never 0, as a MaxAge of 0 in a Fetch means the class's FreshFor.
func (r *Router) recentPurge(req *request) (sincePurge time.Duration, recent bool) {
	at, purged := r.purgedAt(req)
	sincePurge = r.now - at
	if !purged || sincePurge > r.purgeCompletion() {
		return 0, false
	}
	return max(sincePurge, time.Microsecond), true
}

// purgedSince reports whether a request's object was purged at or after a time.
func (r *Router) purgedSince(req *request, filledAt time.Duration) bool {
	at, purged := r.purgedAt(req)
	return purged && at >= filledAt
}
