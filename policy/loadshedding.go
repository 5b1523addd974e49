package policy

// Load shedding rejects requests that congestion makes late, so that the links stay free for the most
// valuable ones.
//
// Inputs: an attempt's expected transfer time in seconds, the time that remains to its latency objective, and
// the request's priority weight per transfer second relative to the mean of all requests (its value). Result:
// the request is admitted, or rejected with a Retry-After (rejectOrFail).
//
// A request of mean value or more may use all the time to its objective. A request of less value may use a
// fraction of it, which shrinks as congestion rises: large requests of low weight are shed first.

import "math"

// shouldShed reports whether to reject a request instead of starting an attempt. It is false without
// congestion, and for a request that must not be rejected because it may have run.
func (r *Router) shouldShed(a *attempt) bool {
	req := a.request
	delayed := a.congested && a.expectedSeconds > congestedMultiple*req.transferSeconds
	if !delayed || !r.mayReject(req) {
		return false
	}
	meanValue := r.meanPriorityWeight.value / r.meanTransferSeconds.value
	value := req.class.PriorityWeight / req.transferSeconds / meanValue
	excess := a.expectedSeconds/req.transferSeconds - 1
	fraction := min(1, math.Pow(value, min(1, excess)))
	remaining := (req.objectiveAt - r.now).Seconds()
	return a.firstByteSeconds+a.expectedSeconds > fraction*remaining
}
