package policy

import "math"

const (
	minTimedSeconds = 0.02 // seconds of sending under which an answer's time says nothing of the link
	unusualMultiple = 3.0  // few objects are so many times larger than the mean: the answer was slowed
)

func (r *Router) updateLinks(a *attempt, o Outcome) {
	if o.Result != ResultOK || o.CacheStatus == CacheStatusCoalesced {
		return
	}
	hit := o.servedFromCache()
	if !a.expectHit && o.CacheStatus != CacheStatusNone && r.isCache(a.target) {
		r.missFraction.add(map[bool]float64{false: 1}[hit], firstByteSamples)
	}
	l, expected := a.slowestLink, a.expectedSeconds
	if hit {
		l, expected = &a.target.link, a.targetSeconds
	}
	took, work := (o.Elapsed - o.SourceFirstByte).Seconds(), a.request.transferSeconds
	if o.TransferTime > 0 {
		work = o.TransferTime.Seconds()
		expected *= work / a.request.transferSeconds
	} else if !a.request.sizeKnown && expected < congestedMultiple*work && took < unusualMultiple*work {
		return
	}
	took = math.Max(took, work)
	if !a.congested && (o.TransferTime > 0 || a.request.sizeKnown) {
		if !hit {
			l = &a.source.link
		}
		if work >= minTimedSeconds {
			l.updateSlowdown(r.now, took/work)
		}
	} else if (o.TransferTime > 0 || !l.configured) && math.Max(took, expected) >= congestedMultiple*work {
		l.updateCapacity(math.Max(expected, work) / took)
	}
}
