package policy

// Slow start limits the load on an endpoint that has just started: an empty cache or parent has only a
// fraction of its capacity, and fails when it receives more than a multiple of that capacity for a whole
// window.
//
// Inputs: the endpoint's start time, its kind's rules (see slowStartRules) and the attempts that this router
// has sent to it within the window. Result: the fraction of its capacity that an endpoint has now (0 to 1),
// and whether one more attempt fits this router's budget.
//
// Routers do not coordinate. Each keeps to a quota, slightly less than an equal share of what the endpoint
// can take at full capacity, so that all of them together do not overload it. A quota is in transfer seconds
// per second: a transfer second is the load of a transfer that takes one second at full pace. A router's
// budget for a window is its quota times the fraction times the window. Where a budget is smaller than the
// cost of one request, the routers take turns.

import (
	"math"
	"slices"
	"time"
)

const (
	// slowStartUtilization is the quota as a fraction of an equal share. The rest absorbs simultaneous
	// bursts.
	slowStartUtilization = 0.9

	// rotationUtilization is the fraction of the quota that is used when routers take turns. A router may use
	// its turn for one window after the turn has come, so the turns of two windows may overlap.
	rotationUtilization = 0.33

	// minOverloadWindow replaces a Settings.OverloadWindow that is shorter or not configured.
	minOverloadWindow = time.Second
)

// slowStartRules are the limits that apply to endpoints of one kind after a start.
type slowStartRules struct {
	initialCapacity  float64       // fraction of its capacity that an endpoint has at its start
	duration         time.Duration // until it has its full capacity; 0: no slow start
	overloadMultiple float64       // multiple of its current capacity at which it fails
}

// slowStartRulesOf returns the rules for an endpoint's kind.
func (r *Router) slowStartRulesOf(e *endpointState) slowStartRules {
	if e.Kind == r.settings.ParentKind {
		return slowStartRules{
			initialCapacity:  r.settings.ParentSlowStartCapacity,
			duration:         r.settings.ParentSlowStartDuration,
			overloadMultiple: r.settings.ParentOverloadMultiple,
		}
	}
	return slowStartRules{
		initialCapacity:  r.settings.SlowStartCapacity,
		duration:         r.settings.SlowStartDuration,
		overloadMultiple: r.settings.OverloadMultiple,
	}
}

// slowStartFraction is the fraction of its capacity that an endpoint has now. It rises linearly from the
// initial capacity to 1. The origin has no slow start.
func (r *Router) slowStartFraction(e *endpointState) float64 {
	rules := r.slowStartRulesOf(e)
	age := r.now - e.Started
	if e.Started == 0 || age >= rules.duration || rules.duration == 0 || e.Kind == r.settings.OriginKind {
		return 1
	}
	return rules.initialCapacity + (1-rules.initialCapacity)*max(0, age.Seconds())/rules.duration.Seconds()
}

// countsInSlowStart reports whether an attempt counts in the budget of an endpoint that is its target or
// source: the endpoint is in slow start, and is the target or a parent. The attempt does not count in the
// budget of a sibling that fills, as the sibling sends what it already has cached.
func (r *Router) countsInSlowStart(e *endpointState, a *attempt) bool {
	return r.slowStartFraction(e) < 1 && (e == a.target || e.Kind == r.settings.ParentKind)
}

// reserveSlowStartBudgets counts an attempt that is about to be sent in the budgets of its endpoints, and
// reports whether it fits them. An attempt is counted when it is created; it has to be counted again if an
// endpoint has restarted since, or if it has waited for a connection for longer than the window.
func (r *Router) reserveSlowStartBudgets(a *attempt) bool {
	for _, e := range []*endpointState{a.target, a.source} {
		alreadyCounted := slices.Contains(e.slowStartAttempts, a)
		if alreadyCounted || !r.countsInSlowStart(e, a) {
			continue
		}
		if !r.withinSlowStartBudget(e, a.request) {
			return false
		}
	}
	r.addToSlowStartBudgets(a)
	return true
}

// addToSlowStartBudgets counts an attempt once in the budget of each endpoint in slow start that it loads.
func (r *Router) addToSlowStartBudgets(a *attempt) {
	for _, e := range []*endpointState{a.target, a.source} {
		if r.countsInSlowStart(e, a) && !slices.Contains(e.slowStartAttempts, a) {
			e.slowStartAttempts = append(e.slowStartAttempts, a)
		}
	}
}

// withinSlowStartBudget reports whether one more attempt of a request fits this router's budget at an
// endpoint.
func (r *Router) withinSlowStartBudget(e *endpointState, req *request) bool {
	fraction := r.slowStartFraction(e)
	if fraction >= 1 {
		e.slowStartAttempts = nil
		return true
	}
	window := max(r.settings.OverloadWindow, minOverloadWindow)
	expired := func(a *attempt) bool { return r.now-a.startedAt > window }
	e.slowStartAttempts = slices.DeleteFunc(e.slowStartAttempts, expired)
	if !r.knowsOwnLoad(e, window) {
		return false
	}
	costSeconds := r.slowStartCostSeconds(req)
	totalSeconds := costSeconds
	for _, a := range e.slowStartAttempts {
		totalSeconds += r.slowStartCostSeconds(a.request)
	}
	quota := r.slowStartQuota(e)
	if totalSeconds <= quota*fraction*window.Seconds() {
		return true
	}
	onlyOneInWindow := totalSeconds == costSeconds
	return onlyOneInWindow && r.hasQuotaTurn(e, window, costSeconds/(quota*rotationUtilization))
}

// knowsOwnLoad reports whether this router knows all attempts that it has sent to an endpoint within the
// window. After the router's own restart, it does if the endpoint has started since, or once a window has
// passed.
func (r *Router) knowsOwnLoad(e *endpointState, window time.Duration) bool {
	return e.Started >= r.startedAt || r.now-r.startedAt >= window
}

// slowStartQuota is the load that this process may put on an endpoint at full capacity, in transfer seconds
// per second.
func (r *Router) slowStartQuota(e *endpointState) float64 {
	processes := e.link.routers * float64(max(1, r.settings.ProcessesPerRouter))
	capacity := min(e.link.capacity, e.link.nominalCapacity)
	return slowStartUtilization * r.slowStartRulesOf(e).overloadMultiple * capacity / processes
}

// hasQuotaTurn reports whether this router's turn came within the window that ends now. Routers take turns
// where one request costs more than a budget. Counted from the endpoint's start, a turn comes each time the
// endpoint has offered as much again as it does in turnSeconds at full capacity. Routers start at different
// points of a turn, which multiples of the golden ratio spread evenly.
func (r *Router) hasQuotaTurn(e *endpointState, window time.Duration, turnSeconds float64) bool {
	rules := r.slowStartRulesOf(e)
	offset := math.Mod(float64(r.settings.RouterIndex)*math.Phi, 1)
	turnsAt := func(at time.Duration) float64 {
		return math.Floor(offset + rules.offeredSeconds(at-e.Started)/turnSeconds)
	}
	return turnsAt(r.now) > turnsAt(r.now-window)
}

// offeredSeconds is the integral of the slow-start fraction from an endpoint's start to the given age. At
// full capacity, an endpoint offers as much in that many seconds as it does from its start to that age.
func (rules slowStartRules) offeredSeconds(age time.Duration) float64 {
	seconds := max(age, 0).Seconds()
	gainedCapacity := (1 - rules.initialCapacity) * seconds / rules.duration.Seconds() / 2
	return seconds * (rules.initialCapacity + gainedCapacity)
}

// slowStartCostSeconds is the part of a budget that a request uses, in transfer seconds: its own transfer
// time, or the mean of its class if that is longer.
func (r *Router) slowStartCostSeconds(req *request) float64 {
	return max(req.transferSeconds, r.classTransferSeconds[req.class.Name].value)
}
