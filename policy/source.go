package policy

import (
	"cmp"
	"maps"
	"math"
	"time"
)

const (
	initialMissPenalty = 100.0 // of the paper, until waits have been measured
	copyTableSize      = 8192  // copies remembered for a cache: more parts than one keeps
	copyMemory         = 30 * time.Second
)

type copyRecord struct{ filled, seen time.Duration } // when it was filled, and last shown by an answer

// A purge is remembered for as long as an older copy, or a record of one, may exist.
func (purge Purge) apply(r *Router) {
	memory := max(copyMemory, r.settings.PurgeCompletedWithin+r.settings.PurgeGrace)
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

func (o Outcome) fromCopy() bool {
	return o.CacheStatus == CacheStatusHit || o.CacheStatus == CacheStatusStale
}

func (r *Router) observeCopy(a *attempt, o Outcome) {
	req, sibling := a.request, a.source != a.target && r.isCache(a.source)
	if o.Result == ResultOK && o.CacheStatus != CacheStatusNone && r.isCache(a.target) && !req.class.Uncacheable {
		r.recordCopy(a.target, req, !o.fromCopy())
	}
	filled := o.Result == ResultOK && (o.CacheStatus == CacheStatusFilled || o.CacheStatus == CacheStatusFilledByOrigin)
	if sibling && (filled || o.CacheStatus == CacheStatusSourceMissing) {
		a.source.misindication.add(o.CacheStatus == CacheStatusSourceMissing)
	}
	if o.CacheStatus == CacheStatusSourceMissing {
		req.avoid[a.source] = true
		if sibling {
			a.source.copies.Remove(req.key)
		}
	}
	if !filled || o.SourceFirstByte <= 0 {
		return
	}
	source, tier := a.source, &r.parentWait
	if o.CacheStatus == CacheStatusFilledByOrigin && r.origin != nil {
		source = r.origin // the parent itself was waiting for it
	}
	if sibling {
		tier = &r.siblingWait
	}
	source.firstByteWait.add(o.SourceFirstByte.Seconds(), waitSamples)
	tier.add(o.SourceFirstByte.Seconds(), waitSamples)
}

func (r *Router) recordCopy(m *member, req *request, filled bool) {
	record, known := m.copies.Peek(req.key)
	if !known || filled {
		record.filled = r.now
	}
	record.seen = r.now
	m.copies.Add(req.key, record)
}

func (r *Router) likelyHolds(m *member, req *request) bool {
	record, known := m.copies.Peek(req.key)
	at, purged := r.purgedAt(req)
	return known && (!purged || at < record.filled) && r.now-record.seen < copyMemory &&
		(req.class.FreshFor == 0 || r.now-record.filled < req.class.FreshFor)
}

func (r *Router) chooseSource(req *request, target *member) *member {
	return cmp.Or(r.chooseSibling(req, target), r.chooseParent(req), target)
}

func (r *Router) chooseSibling(req *request, target *member) *member {
	if r.settings.Siblings == SiblingsNone {
		return nil
	}
	var best *member
	lowest, average := math.Inf(1), r.meanMisindication()
	for _, m := range r.ranked(r.caches, req) {
		if m == target || req.avoid[m] || !r.likelyHolds(m, req) || !r.usable(m, req) || !r.healthy(m) ||
			r.excessTime(m, req) > 0 {
			continue
		}
		misindication := m.misindication.value
		if !m.misindication.known() {
			misindication = average
		}
		if misindication < lowest {
			best, lowest = m, misindication
		}
	}
	if penalty := r.missPenalty(); best != nil && 1+penalty*lowest < penalty {
		return best
	}
	return nil
}

func (r *Router) meanMisindication() float64 {
	sum, count := 0.0, 0.0
	for _, m := range r.caches {
		if m.misindication.known() {
			sum, count = sum+m.misindication.value, count+1
		}
	}
	return sum / max(count, 1)
}

// missPenalty is the paper's beta: the wait for a parent in units of the wait for a sibling.
func (r *Router) missPenalty() float64 {
	if r.parentWait.value == 0 || r.siblingWait.value == 0 {
		return initialMissPenalty
	}
	return r.parentWait.value / r.siblingWait.value
}

func (r *Router) chooseParent(req *request) *member {
	return r.firstWithRoom(req, append(r.ranked(r.parents, req), r.origin))
}
