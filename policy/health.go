package policy

import (
	"math"
	"time"
)

const (
	failuresToSuspect = 2 // requests in a row failed by one member and answered by another
	firstSuspicion    = 500 * time.Millisecond
	maxSuspicions     = 5 // each one doubles the time of suspicion

	originMaxInFlight = 128.0                  // no bound in practice, until the origin fails
	failureDecrease   = 0.7                    // what a failure leaves of the limit
	lateDecrease      = 0.85                   // and what an answer that waited longer than the aim leaves
	decreasePause     = 100 * time.Millisecond // failures of one burst count once
)

func (r *Router) observeHealth(a *attempt, o Outcome) {
	switch {
	case o.CacheStatus != CacheStatusNone, o.Result == ResultOK, o.Result == ResultNotFound, o.Result == ResultRejected:
		a.target.markHealthy(r.now)
	case o.Result == ResultConnectFailed:
		a.target.markSuspect(r.now)
	}
	switch o.CacheStatus {
	case CacheStatusSourceFailed:
		a.source.markSuspect(r.now)
	case CacheStatusOriginFailed, CacheStatusSourceMissing, CacheStatusFilled, CacheStatusFilledByOrigin:
		a.source.markHealthy(r.now)
	}
}

// attributeFailures holds failed attempts against their members once another member has answered the request.
func (r *Router) attributeFailures(req *request, answeredBy *member) {
	for i, a := range req.attempts {
		if !a.failed || a.target == answeredBy || i > 0 && a.target == req.attempts[i-1].target {
			continue
		}
		if a.target.failures++; a.target.failures >= failuresToSuspect {
			a.target.markSuspect(r.now)
		}
	}
}

func (m *member) markHealthy(now time.Duration) {
	m.suspicions, m.suspectUntil, m.lastHeard, m.failures = max(0, m.suspicions-1), 0, now, 0
}

func (m *member) markSuspect(now time.Duration) {
	if now >= m.suspectUntil {
		m.suspectUntil = now + firstSuspicion<<m.suspicions
		m.suspicions = min(m.suspicions+1, maxSuspicions)
	}
}

func (r *Router) usable(m *member, req *request) bool {
	return m != nil && m.State == Ready && r.withinColdBudget(m, req)
}

// healthy reports whether a member is free of suspicion. A former suspect gets one attempt at a time.
func (r *Router) healthy(m *member) bool {
	return r.now >= m.suspectUntil && (m.suspicions == 0 || len(m.link.inFlight) == 0)
}

// OutOfRotation returns how many listed members get nothing new at time now.
func (r *Router) OutOfRotation(now time.Duration) (count int) {
	for _, m := range r.members {
		if m.State == Draining || m.State == Ready && now < m.suspectUntil {
			count++
		}
	}
	return count
}

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
