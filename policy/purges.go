package policy

// A purge invalidates all copies of an object, or of a group of objects, that were filled before it. Caches
// remove them within a known time, so that a copy from before the purge may be found until then.
//
// Inputs: the purge's age, when it was reported, and the settings' time to complete one. Result: the time
// since a purge that may be incomplete, which bounds the age of a copy, and whether a believed copy is older
// than a purge.

import (
	"maps"
	"time"
)

// purgeTimes holds when objects and groups were last purged, on the router's clock.
type purgeTimes struct {
	objects map[string]time.Duration
	groups  map[int]time.Duration
}

// newPurgeTimes returns an empty purgeTimes.
func newPurgeTimes() purgeTimes {
	return purgeTimes{objects: map[string]time.Duration{}, groups: map[int]time.Duration{}}
}

// removeBefore removes purges from before a time.
func (p purgeTimes) removeBefore(oldest time.Duration) {
	maps.DeleteFunc(p.objects, func(_ string, at time.Duration) bool { return at < oldest })
	maps.DeleteFunc(p.groups, func(_ int, at time.Duration) bool { return at < oldest })
}

// shift adds an offset to the times of all purges.
func (p purgeTimes) shift(offset time.Duration) {
	for object := range p.objects {
		p.objects[object] += offset
	}
	for group := range p.groups {
		p.groups[group] += offset
	}
}

// apply remembers a purge for as long as an older copy, or a record of one, may exist. An earlier time never
// replaces a later one.
func (purge Purge) apply(r *Router) {
	lifetime := max(cacheRecordLifetime, r.purgeCompletion())
	r.purges.removeBefore(r.now - lifetime)
	at := r.now - purge.Age
	if purge.Object != "" {
		r.purges.objects[purge.Object] = max(at, r.purges.objects[purge.Object])
	} else {
		r.purges.groups[purge.Group] = max(at, r.purges.groups[purge.Group])
	}
}

// purgeCompletion is how long after a purge an older copy may be found.
func (r *Router) purgeCompletion() time.Duration {
	return r.settings.PurgeCompletedWithin + r.settings.PurgeGrace
}

// purgedAt returns when a request's object or its group was last purged, if a purge is remembered.
func (r *Router) purgedAt(req *request) (at time.Duration, purged bool) {
	object, objectPurged := r.purges.objects[req.Object]
	group, groupPurged := r.purges.groups[req.Group]
	return max(object, group), objectPurged || groupPurged
}

// recentPurge returns the time since a purge of a request's object that may be incomplete. It is never 0,
// which would mean no bound in a Fetch.
func (r *Router) recentPurge(req *request) (since time.Duration, recent bool) {
	at, purged := r.purgedAt(req)
	since = r.now - at
	if !purged || since > r.purgeCompletion() {
		return 0, false
	}
	return max(since, time.Microsecond), true
}

// purgedSince reports whether a request's object was purged at or after a time.
func (r *Router) purgedSince(req *request, filledAt time.Duration) bool {
	at, purged := r.purgedAt(req)
	return purged && at >= filledAt
}
