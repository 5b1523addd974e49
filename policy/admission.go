package policy

import "math"

// shouldShed reports whether congestion makes a request late; those of least worth for their time go first.
func (r *Router) shouldShed(a *attempt, wait float64) bool {
	req := a.request
	value := req.class.PriorityWeight / req.transferSeconds / (r.meanPriorityWeight.value / r.meanTransferSeconds.value)
	share := min(1, math.Pow(value, min(1, a.expectedSeconds/req.transferSeconds-1)))
	full := a.congested && a.expectedSeconds > congestedMultiple*req.transferSeconds
	return r.mayReject(req) && full && wait+a.expectedSeconds > share*(req.objectiveAt-r.now).Seconds()
}
