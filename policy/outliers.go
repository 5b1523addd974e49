package policy

import "time"

const (
	failuresToSuspect = 2 // requests in a row failed by one member and answered by another
	firstSuspicion    = 500 * time.Millisecond
	maxSuspicions     = 5 // each one doubles the time of suspicion
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
