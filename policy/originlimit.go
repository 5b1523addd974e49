package policy

// The origin's concurrency limit bounds the attempts of this router that may load the origin at once, so that
// a failing origin can recover. It rises and falls with the origin's answers (additive increase,
// multiplicative decrease).
//
// Inputs: the outcomes of attempts whose source is a parent or the origin. Result: whether an attempt may
// load the origin. One that may not receives from a parent only what that has cached; if its source is the
// origin itself, the request is rejected.
//
// A limit under 1 admits attempts at random with that probability: with many routers one attempt of each may
// be too many. The limit never falls below this router's part of what the origin's link carries.

import (
	"math"
	"time"
)

const (
	// maxOriginLimit is the limit at the start, in attempts: in practice none until the origin fails.
	maxOriginLimit = 128.0

	// The limit decreases by a factor when the origin fails or rejects, and when it misses an objective.
	failureDecreaseFactor         = 0.7
	missedObjectiveDecreaseFactor = 0.85

	// minDecreaseInterval is the shortest time between decreases: failures of one burst count once.
	minDecreaseInterval = 100 * time.Millisecond
)

// originConcurrencyLimit is the present limit and what counts against it.
type originConcurrencyLimit struct {
	limit        float64 // attempts
	minimum      float64 // attempts, at most 1
	inFlight     int     // attempts that count
	lastDecrease time.Duration
}

// admits reports whether one more attempt may load the origin. Random returns a number from 0 to 1.
func (l *originConcurrencyLimit) admits(random func() float64) bool {
	return float64(l.inFlight) < l.limit && random() < l.limit
}

// acquire counts an attempt that may load the origin.
func (l *originConcurrencyLimit) acquire() { l.inFlight++ }

// release ends the count of an attempt.
func (l *originConcurrencyLimit) release() { l.inFlight-- }

// increase raises the limit by 1/sqrt(limit), at most to its double.
func (l *originConcurrencyLimit) increase() {
	step := min(1/math.Sqrt(l.limit), l.limit)
	l.limit = min(l.limit+step, maxOriginLimit)
}

// decrease lowers the limit by a factor. It starts from the attempts in flight if they are fewer than the
// limit.
func (l *originConcurrencyLimit) decrease(now time.Duration, factor float64) {
	if now-l.lastDecrease <= minDecreaseInterval {
		return
	}
	used := min(l.limit, float64(l.inFlight+1))
	l.limit = max(l.minimum, used*factor)
	l.lastDecrease = now
}

// applyOriginLimit applies the limit to an attempt whose miss may load the origin. Hits, fills from siblings
// and uncacheable requests are not limited.
func (r *Router) applyOriginLimit(a *attempt) {
	mayLoadOrigin := !r.isCache(a.source) && !a.expectHit && !a.request.class.Uncacheable
	if !mayLoadOrigin {
		return
	}
	a.countsAtOrigin = r.originLimit.admits(r.rng.Float64)
	a.cachedOnly = !a.countsAtOrigin
}

// updateOriginLimit updates the limit from an attempt's outcome.
func (r *Router) updateOriginLimit(a *attempt, o Outcome) {
	if a.countsAtOrigin {
		r.originLimit.release()
	}
	filledByOrigin := o.CacheStatus == CacheStatusFilledByOrigin
	answeredByOrigin := a.source == r.origin && o.Result == ResultOK
	switch {
	case r.originFailed(a, o):
		r.originLimit.decrease(r.now, failureDecreaseFactor)
	case filledByOrigin && r.originMissedObjective(a, o):
		r.originLimit.decrease(r.now, missedObjectiveDecreaseFactor)
	case filledByOrigin || answeredByOrigin:
		r.originLimit.increase()
	}
}

// originFailed reports whether the origin failed or rejected an attempt, or the fill of one.
func (r *Router) originFailed(a *attempt, o Outcome) bool {
	if o.CacheStatus == CacheStatusOriginFailed {
		return true
	}
	if a.source != r.origin {
		return false
	}
	fillFailed := o.CacheStatus == CacheStatusSourceFailed || o.CacheStatus == CacheStatusSourceRejected
	rejected := a.target == r.origin && o.Result == ResultRejected
	return fillFailed || rejected
}

// originMissedObjective reports whether the origin took longer for its first byte than the latency objective,
// or made the answer miss its objective by sending far slower than at full pace.
func (r *Router) originMissedObjective(a *attempt, o Outcome) bool {
	if o.SourceFirstByte > a.request.class.LatencyObjective {
		return true
	}
	missedObjective := r.now > a.request.objectiveAt
	transferSeconds := (o.Elapsed - o.SourceFirstByte).Seconds()
	slow := o.TransferTime > 0 && transferSeconds > slowTransferMultiple*o.TransferTime.Seconds()
	return missedObjective && slow
}
