package policy

import "time"

const (
	cacheIndexSize      = 8192 // copies remembered for a cache: more parts than one keeps
	cacheRecordLifetime = 30 * time.Second
)

type cacheRecord struct{ filledAt, seenAt time.Duration } // when it was filled, and last shown by an answer

func (o Outcome) servedFromCache() bool {
	return o.CacheStatus == CacheStatusHit || o.CacheStatus == CacheStatusStale
}

func (r *Router) updateFillKnowledge(a *attempt, o Outcome) {
	req, sibling := a.request, a.source != a.target && r.isCache(a.source)
	if o.Result == ResultOK && o.CacheStatus != CacheStatusNone && r.isCache(a.target) && !req.class.Uncacheable {
		r.recordCached(a.target, req, !o.servedFromCache())
	}
	filled := o.Result == ResultOK && (o.CacheStatus == CacheStatusFilled || o.CacheStatus == CacheStatusFilledByOrigin)
	if sibling && (filled || o.CacheStatus == CacheStatusSourceMissing) {
		a.source.misindication.add(o.CacheStatus == CacheStatusSourceMissing)
	}
	if o.CacheStatus == CacheStatusSourceMissing {
		req.avoid[a.source] = true
		if sibling {
			a.source.cacheIndex.Remove(req.key)
		}
	}
	if !filled || o.SourceFirstByte <= 0 {
		return
	}
	source, tier := a.source, &r.parentFirstByteSeconds
	if o.CacheStatus == CacheStatusFilledByOrigin && r.origin != nil {
		source = r.origin // the parent itself was waiting for it
	}
	if sibling {
		tier = &r.siblingFirstByteSeconds
	}
	source.firstByteSeconds.add(o.SourceFirstByte.Seconds(), firstByteSamples)
	tier.add(o.SourceFirstByte.Seconds(), firstByteSamples)
}

func (r *Router) recordCached(m *endpointState, req *request, filled bool) {
	record, known := m.cacheIndex.Peek(req.key)
	if !known || filled {
		record.filledAt = r.now
	}
	record.seenAt = r.now
	m.cacheIndex.Add(req.key, record)
}

func (r *Router) likelyCached(m *endpointState, req *request) bool {
	record, known := m.cacheIndex.Peek(req.key)
	at, purged := r.purgedAt(req)
	return known && (!purged || at < record.filledAt) && r.now-record.seenAt < cacheRecordLifetime &&
		(req.class.FreshFor == 0 || r.now-record.filledAt < req.class.FreshFor)
}
