package policy

import (
	"math"
	"time"
)

const (
	maxOriginLimit        = 128.0                  // no bound in practice, until the origin fails
	failureDecreaseFactor = 0.7                    // what a failure leaves of the limit
	lateDecreaseFactor    = 0.85                   // and what an answer that waited longer than the aim leaves
	minDecreaseInterval   = 100 * time.Millisecond // failures of one burst count once
)

// originConcurrencyLimit bounds the attempts in flight that may load the origin. Under a limit of one they pass by chance.
type originConcurrencyLimit struct {
	limit        float64
	minimum      float64 // this router's part of what the origin does at once
	inFlight     int
	lastDecrease time.Duration
}

func (l *originConcurrencyLimit) admits(random func() float64) bool {
	return float64(l.inFlight) < l.limit && random() < l.limit
}

func (l *originConcurrencyLimit) increase() {
	l.limit = min(l.limit+min(1/math.Sqrt(l.limit), l.limit), maxOriginLimit)
}

func (l *originConcurrencyLimit) decrease(now time.Duration, factor float64) {
	if now-l.lastDecrease > minDecreaseInterval {
		l.limit = max(l.minimum, min(l.limit, float64(l.inFlight+1))*factor)
		l.lastDecrease = now
	}
}

func (r *Router) updateOriginLimit(a *attempt, o Outcome) {
	if a.countsAtOrigin {
		r.originLimit.inFlight--
	}
	direct := a.source == r.origin
	late, sending := r.now > a.request.objectiveAt, (o.Elapsed - o.SourceFirstByte).Seconds()
	slow := late && o.TransferTime > 0 && sending > unusualMultiple*o.TransferTime.Seconds()
	switch {
	case o.CacheStatus == CacheStatusOriginFailed, direct && (o.CacheStatus == CacheStatusSourceRejected || o.CacheStatus == CacheStatusSourceFailed),
		direct && a.target == r.origin && o.Result == ResultRejected:
		r.originLimit.decrease(r.now, failureDecreaseFactor)
	case o.CacheStatus == CacheStatusFilledByOrigin && (slow || o.SourceFirstByte > a.request.class.LatencyObjective):
		r.originLimit.decrease(r.now, lateDecreaseFactor)
	case o.CacheStatus == CacheStatusFilledByOrigin, direct && o.Result == ResultOK:
		r.originLimit.increase()
	}
}
