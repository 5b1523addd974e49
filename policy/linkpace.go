package policy

import "math"

const (
	minTimedWork = 0.02 // seconds of sending under which an answer's time says nothing of the link
	unusualFrom  = 3.0  // few objects are so many times larger than the mean: the answer was slowed
)

func (r *Router) observePace(a *attempt, o Outcome) {
	if o.Result != ResultOK || o.CacheStatus == CacheStatusCoalesced {
		return
	}
	hit := o.fromCopy()
	if !a.expectHit && o.CacheStatus != CacheStatusNone && r.isCache(a.target) {
		r.missShare.add(map[bool]float64{false: 1}[hit], waitSamples)
	}
	l, expected := a.slowest, a.expected
	if hit {
		l, expected = &a.target.link, a.targetTime
	}
	took, work := (o.Elapsed - o.SourceFirstByte).Seconds(), a.request.work
	if o.TransferTime > 0 {
		work = o.TransferTime.Seconds()
		expected *= work / a.request.work
	} else if !a.request.sized && expected < congestedFrom*work && took < unusualFrom*work {
		return
	}
	took = math.Max(took, work)
	if !a.congested && (o.TransferTime > 0 || a.request.sized) {
		if !hit {
			l = &a.source.link
		}
		if work >= minTimedWork {
			l.learnSlowdown(r.now, took/work)
		}
	} else if (o.TransferTime > 0 || !l.told) && math.Max(took, expected) >= congestedFrom*work {
		l.learnCapacity(math.Max(expected, work) / took)
	}
}
