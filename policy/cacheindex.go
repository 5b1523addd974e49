package policy

import "time"

const (
	copyTableSize = 8192 // copies remembered for a cache: more parts than one keeps
	copyMemory    = 30 * time.Second
)

type copyRecord struct{ filled, seen time.Duration } // when it was filled, and last shown by an answer

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
