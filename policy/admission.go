package policy

import "math"

// shouldShed reports whether congestion makes a request late; those of least worth for their time go first.
func (r *Router) shouldShed(a *attempt, wait float64) bool {
	req := a.request
	value := req.class.PriorityWeight / req.work / (r.meanWorth.value / r.meanWork.value)
	share := min(1, math.Pow(value, min(1, a.expected/req.work-1)))
	full := a.congested && a.expected > congestedFrom*req.work
	return r.mayRefuse(req) && full && wait+a.expected > share*(req.aim-r.now).Seconds()
}
