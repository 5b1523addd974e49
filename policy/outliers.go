package policy

import "time"

const (
	failuresToEject  = 2 // requests in a row failed by one member and answered by another
	baseEjectionTime = 500 * time.Millisecond
	maxEjections     = 5 // each one doubles the time of suspicion
)

func (r *Router) updateOutliers(a *attempt, o Outcome) {
	switch {
	case o.CacheStatus != CacheStatusNone, o.Result == ResultOK, o.Result == ResultNotFound, o.Result == ResultRejected:
		a.target.recordResponse(r.now)
	case o.Result == ResultConnectFailed:
		a.target.eject(r.now)
	}
	switch o.CacheStatus {
	case CacheStatusSourceFailed:
		a.source.eject(r.now)
	case CacheStatusOriginFailed, CacheStatusSourceMissing, CacheStatusFilled, CacheStatusFilledByOrigin:
		a.source.recordResponse(r.now)
	}
}

// countFailures holds failed attempts against their members once another member has answered the request.
func (r *Router) countFailures(req *request, answeredBy *endpointState) {
	for i, a := range req.attempts {
		if !a.failed || a.target == answeredBy || i > 0 && a.target == req.attempts[i-1].target {
			continue
		}
		if a.target.consecutiveFailures++; a.target.consecutiveFailures >= failuresToEject {
			a.target.eject(r.now)
		}
	}
}

func (m *endpointState) recordResponse(now time.Duration) {
	m.ejections, m.ejectedUntil, m.lastResponseAt, m.consecutiveFailures = max(0, m.ejections-1), 0, now, 0
}

func (m *endpointState) eject(now time.Duration) {
	if now >= m.ejectedUntil {
		m.ejectedUntil = now + baseEjectionTime<<m.ejections
		m.ejections = min(m.ejections+1, maxEjections)
	}
}

// inRotation reports whether a member is free of suspicion. A former suspect gets one attempt at a time.
func (r *Router) inRotation(m *endpointState) bool {
	return r.now >= m.ejectedUntil && (m.ejections == 0 || len(m.link.inFlight) == 0)
}

// OutOfRotation returns how many listed members get nothing new at time now.
func (r *Router) OutOfRotation(now time.Duration) (count int) {
	for _, m := range r.endpoints {
		if m.State == Draining || m.State == Ready && now < m.ejectedUntil {
			count++
		}
	}
	return count
}
