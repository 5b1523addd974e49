package policy

// The origin's concurrency limit bounds the number of this router's attempts that may load the origin at
// once, so that a failing origin can recover. It rises and falls with the origin's answers (additive
// increase, multiplicative decrease).
//
// Inputs: the outcomes of attempts whose source is a parent or the origin. Result: whether an attempt may
// load the origin. An attempt that may not load it receives only what its parent has cached; if its source is
// the origin itself, the request is rejected.
//
// A limit below 1 is the probability with which an attempt is admitted while none is in flight, as one
// attempt from each of many routers may be too many. The limit never falls below this router's share of the
// capacity of the origin's link, or below 1 if that share is larger.

import (
	"math"
	"time"
)

const (
	// maxOriginLimit is the highest and the initial limit, in attempts. In practice it admits everything
	// until the origin fails.
	maxOriginLimit = 128.0

	// Factors by which the limit is multiplied when the origin fails or rejects an attempt, and when it
	// misses an objective.
	failureDecreaseFactor         = 0.7
	missedObjectiveDecreaseFactor = 0.85

	// minDecreaseInterval is the shortest time between decreases, so that a burst of failures counts once.
	minDecreaseInterval = 100 * time.Millisecond
)

// originConcurrencyLimit holds the current limit and the number of attempts that count against it.
type originConcurrencyLimit struct {
	limit          float64 // attempts
	minimum        float64 // lowest limit, in attempts; at most 1
	inFlight       int     // attempts that count against the limit
	lastDecreaseAt time.Duration
}

// admits reports whether one more attempt may load the origin. Random returns a number in [0, 1).
func (l *originConcurrencyLimit) admits(random func() float64) bool {
	return float64(l.inFlight) < l.limit && random() < l.limit
}

// acquire counts an attempt that may load the origin.
func (l *originConcurrencyLimit) acquire() { l.inFlight++ }

// release stops counting an attempt.
func (l *originConcurrencyLimit) release() { l.inFlight-- }

// increase raises the limit by 1/sqrt(limit), but at most doubles it.
func (l *originConcurrencyLimit) increase() {
	step := min(1/math.Sqrt(l.limit), l.limit)
	l.limit = min(l.limit+step, maxOriginLimit)
}

// decrease sets the limit to factor times its value, or to factor times the number of attempts in flight,
// including the one that has just ended, if that is lower; but not below the minimum. It does nothing within
// minDecreaseInterval of the last decrease.
func (l *originConcurrencyLimit) decrease(now time.Duration, factor float64) {
	if now-l.lastDecreaseAt <= minDecreaseInterval {
		return
	}
	usedLimit := min(l.limit, float64(l.inFlight+1))
	l.limit = max(l.minimum, usedLimit*factor)
	l.lastDecreaseAt = now
}

// applyOriginLimit applies the limit to an attempt whose miss may load the origin. Expected hits, fills from
// siblings and uncacheable requests are not limited.
func (r *Router) applyOriginLimit(a *attempt) {
	mayLoadOrigin := !r.isCache(a.source) && !a.expectHit && !a.request.class.Uncacheable
	if !mayLoadOrigin {
		return
	}
	a.countsAtOrigin = r.originLimit.admits(r.rng.Float64)
	a.sourceCachedOnly = !a.countsAtOrigin
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

// originMissedObjective reports whether the origin's first byte took longer than the latency objective, or
// the answer missed its objective and its transfer took far longer than at full pace.
func (r *Router) originMissedObjective(a *attempt, o Outcome) bool {
	if o.SourceFirstByte > a.request.class.LatencyObjective {
		return true
	}
	missedObjective := r.now > a.request.objectiveAt
	transferSeconds := (o.Elapsed - o.SourceFirstByte).Seconds()
	slowTransfer := o.FullPaceTransferTime > 0 &&
		transferSeconds > slowTransferMultiple*o.FullPaceTransferTime.Seconds()
	return missedObjective && slowTransfer
}
