package policy

import (
	"math"
	"time"
)

const (
	originMaxInFlight = 128.0                  // no bound in practice, until the origin fails
	failureDecrease   = 0.7                    // what a failure leaves of the limit
	lateDecrease      = 0.85                   // and what an answer that waited longer than the aim leaves
	decreasePause     = 100 * time.Millisecond // failures of one burst count once
)

// limiter bounds the attempts in flight that may load the origin. Under a limit of one they pass by chance.
type limiter struct {
	limit    float64
	minimum  float64 // this router's part of what the origin does at once
	inFlight int
	lastCut  time.Duration
}

func (l *limiter) admits(random func() float64) bool {
	return float64(l.inFlight) < l.limit && random() < l.limit
}

func (l *limiter) increase() {
	l.limit = min(l.limit+min(1/math.Sqrt(l.limit), l.limit), originMaxInFlight)
}

func (l *limiter) decrease(now time.Duration, factor float64) {
	if now-l.lastCut > decreasePause {
		l.limit = max(l.minimum, min(l.limit, float64(l.inFlight+1))*factor)
		l.lastCut = now
	}
}

func (r *Router) observeOrigin(a *attempt, o Outcome) {
	if a.limited {
		r.originLimiter.inFlight--
	}
	direct := a.source == r.origin
	late, sending := r.now > a.request.aim, (o.Elapsed - o.SourceFirstByte).Seconds()
	slow := late && o.TransferTime > 0 && sending > unusualFrom*o.TransferTime.Seconds()
	switch {
	case o.CacheStatus == CacheStatusOriginFailed, direct && (o.CacheStatus == CacheStatusSourceRejected || o.CacheStatus == CacheStatusSourceFailed),
		direct && a.target == r.origin && o.Result == ResultRejected:
		r.originLimiter.decrease(r.now, failureDecrease)
	case o.CacheStatus == CacheStatusFilledByOrigin && (slow || o.SourceFirstByte > a.request.class.LatencyObjective):
		r.originLimiter.decrease(r.now, lateDecrease)
	case o.CacheStatus == CacheStatusFilledByOrigin, direct && o.Result == ResultOK:
		r.originLimiter.increase()
	}
}
