package policy

// Outlier detection takes an endpoint out of rotation (ejects it) for a time when it fails or does not
// answer.
//
// Inputs: the result and cache status of each attempt, and overdue timers. An endpoint is ejected when an
// attempt ends as ResultConnectFailed, when the endpoint fails as a source or stays silent, or when it fails
// consecutive requests that another endpoint then answers: a request that fails everywhere is at fault
// itself. Attempts from before a restart do not count against the new process. Result: whether an
// endpoint is ejected, and until when.
//
// Ejections are counted, and each response lowers the count by one. An ejection lasts baseEjectionTime,
// doubled for each earlier ejection still counted. Afterwards the endpoint receives one attempt at a time
// until the count is 0.

import "time"

const (
	failuresToEject  = 2                      // consecutive failed requests that another endpoint answered
	baseEjectionTime = 500 * time.Millisecond // duration of the first ejection
	maxEjections     = 5                      // highest count: the longest ejection lasts 32 times the base
)

// updateOutliers updates the health of an attempt's target and source from its outcome.
func (r *Router) updateOutliers(a *attempt, o Outcome) {
	if o.Result == ResultOK {
		r.countFailures(a.request, a.target)
	}
	if o.targetResponded() {
		a.target.recordResponse(r.now)
	} else if o.Result == ResultConnectFailed {
		r.ejectAfter(a, a.target)
	}
	switch o.CacheStatus {
	case CacheStatusSourceFailed:
		r.ejectAfter(a, a.source)
	case CacheStatusOriginFailed, CacheStatusSourceMiss, CacheStatusFilled, CacheStatusFilledByOrigin:
		a.source.recordResponse(r.now)
	}
}

// targetResponded reports whether the target itself sent a response of any kind.
func (o Outcome) targetResponded() bool {
	switch o.Result {
	case ResultOK, ResultNotFound, ResultRejected:
		return true
	}
	return o.CacheStatus != CacheStatusNone
}

// countFailures counts the failed attempts of an answered request against their targets, other than the
// endpoint that answered. Successive failures of one target in one request count once.
func (r *Router) countFailures(req *request, answeredBy *endpointState) {
	for i, a := range req.attempts {
		repeatsTarget := i > 0 && a.target == req.attempts[i-1].target
		if a.state != attemptFailed || a.target == answeredBy || repeatsTarget ||
			a.precedesRestartOf(a.target) {
			continue
		}
		a.target.consecutiveFailures++
		if a.target.consecutiveFailures >= failuresToEject {
			a.target.eject(r.now)
		}
	}
}

// ejectAfter ejects an endpoint because of an attempt, unless it has restarted since.
func (r *Router) ejectAfter(a *attempt, e *endpointState) {
	if !a.precedesRestartOf(e) {
		e.eject(r.now)
	}
}

// precedesRestartOf reports whether an attempt was created before an endpoint's last start. Its failure then
// says nothing about the new process.
func (a *attempt) precedesRestartOf(e *endpointState) bool { return a.createdAt < e.Started }

// recordResponse ends an ejection and lowers the count of ejections by one.
func (e *endpointState) recordResponse(now time.Duration) {
	e.ejections = max(0, e.ejections-1)
	e.ejectedUntil = 0
	e.consecutiveFailures = 0
	e.lastResponseAt = now
}

// eject takes an endpoint out of rotation. It does not prolong an ejection that has not ended.
func (e *endpointState) eject(now time.Duration) {
	if now < e.ejectedUntil {
		return
	}
	e.ejectedUntil = now + baseEjectionTime<<e.ejections
	e.ejections = min(e.ejections+1, maxEjections)
}

// isEjected reports whether an endpoint should receive nothing now. After the time of an ejection, it still
// counts as ejected while an attempt is in flight to it, until its count of ejections is 0.
func (r *Router) isEjected(e *endpointState) bool {
	if r.now < e.ejectedUntil {
		return true
	}
	return e.ejections > 0 && len(e.link.inFlight) > 0
}

// OutOfRotation returns how many listed endpoints are draining or ejected at time now. An ejected endpoint is
// still used where no other is left.
func (r *Router) OutOfRotation(now time.Duration) (count int) {
	for _, e := range r.endpoints {
		if e.State == Draining || e.State == Ready && now < e.ejectedUntil {
			count++
		}
	}
	return count
}
