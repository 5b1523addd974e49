package policy

// Slow start limits the load on an endpoint that has just started: an empty cache or parent has only a part
// of its capacity, and fails when it receives more than a multiple of that part within a window.
//
// Inputs: the endpoint's start time, its kind's rules (see slowStartRules) and the attempts that this router
// has sent to it within the window. Result: the fraction of its capacity that an endpoint has now (0 to 1),
// and whether one more attempt fits this router's quota. Quotas are in transfer seconds, the time that one
// transfer takes at full pace.
//
// Routers do not coordinate. Each keeps to an equal quota of what the endpoint can take, so that all of them
// together stay within it. Where a quota is smaller than one request, the routers take turns.

import (
	"math"
	"slices"
	"time"
)

const (
	// slowStartUtilization is the fraction of the quota that is used. The rest absorbs simultaneous bursts.
	slowStartUtilization = 0.9

	// rotationUtilization is the fraction of the quota that is used in rotation. Turns of two windows may
	// overlap.
	rotationUtilization = 0.33

	// minOverloadWindow replaces an OverloadWindow that is shorter or not configured.
	minOverloadWindow = time.Second
)

// slowStartRules are the limits that apply to endpoints of one kind after a start.
type slowStartRules struct {
	initialCapacity  float64       // fraction of its capacity that an endpoint has at its start
	duration         time.Duration // until it has its full capacity; 0: there is no slow start
	overloadMultiple float64       // multiple of its present capacity at which it fails
}

// slowStartRulesOf returns the rules of the endpoint's kind.
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
// initial capacity to 1; the origin has no slow start.
func (r *Router) slowStartFraction(e *endpointState) float64 {
	rules := r.slowStartRulesOf(e)
	age := r.now - e.Started
	if e.Started == 0 || age >= rules.duration || rules.duration == 0 || e.Kind == r.settings.OriginKind {
		return 1
	}
	return rules.initialCapacity + (1-rules.initialCapacity)*max(0, age.Seconds())/rules.duration.Seconds()
}

// countsInSlowStart reports whether an attempt loads an endpoint that is in slow start: as the target, or as
// the parent that fills. A sibling that fills sends what it has cached already.
func (r *Router) countsInSlowStart(e *endpointState, a *attempt) bool {
	return r.slowStartFraction(e) < 1 && (e == a.target || e.Kind == r.settings.ParentKind)
}

// reserveSlowStartBudgets counts an attempt that is about to be sent in the budgets of its endpoints, and
// reports whether it fits them. It is already counted unless an endpoint has restarted since the attempt was
// created, or the attempt has waited for a connection for longer than the window.
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

// withinSlowStartBudget reports whether one more attempt of a request fits this router's quota at an
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
	cost := r.slowStartCostSeconds(req)
	total := cost
	for _, a := range e.slowStartAttempts {
		total += r.slowStartCostSeconds(a.request)
	}
	quota := r.slowStartQuota(e)
	if total <= quota*fraction*window.Seconds() {
		return true
	}
	onlyOneInWindow := total == cost
	return onlyOneInWindow && r.hasQuotaTurn(e, window, cost/(quota*rotationUtilization))
}

// knowsOwnLoad reports whether this router knows all that it has sent to an endpoint within the window. After
// a restart of its own it does not, until a window has passed.
func (r *Router) knowsOwnLoad(e *endpointState, window time.Duration) bool {
	return e.Started >= r.startedAt || r.now-r.startedAt >= window
}

// slowStartQuota is the part of an endpoint's full capacity that this process may use, in transfer seconds
// per second.
func (r *Router) slowStartQuota(e *endpointState) float64 {
	processes := e.link.routers * float64(max(1, r.settings.ProcessesPerRouter))
	capacity := min(e.link.capacity, e.link.nominalCapacity)
	return slowStartUtilization * r.slowStartRulesOf(e).overloadMultiple * capacity / processes
}

// hasQuotaTurn rotates the quotas where one request takes several windows of a quota. A turn comes each time
// the endpoint has offered turnSeconds of its full capacity since its start; routers start at different
// points of a turn.
func (r *Router) hasQuotaTurn(e *endpointState, window time.Duration, turnSeconds float64) bool {
	rules := r.slowStartRulesOf(e)
	offset := math.Mod(float64(r.settings.RouterIndex)*math.Phi, 1)
	turnsAt := func(at time.Duration) float64 {
		return math.Floor(offset + rules.offeredSeconds(at-e.Started)/turnSeconds)
	}
	return turnsAt(r.now) > turnsAt(r.now-window)
}

// offeredSeconds is the integral of the slow-start fraction from the start to an age: how many seconds at
// full capacity would have offered as much.
func (rules slowStartRules) offeredSeconds(age time.Duration) float64 {
	seconds := max(age, 0).Seconds()
	risen := (1 - rules.initialCapacity) * seconds / rules.duration.Seconds() / 2
	return seconds * (rules.initialCapacity + risen)
}

// slowStartCostSeconds is what a request takes of a quota: its own transfer time, or the mean of its class if
// that is longer.
func (r *Router) slowStartCostSeconds(req *request) float64 {
	return max(req.transferSeconds, r.classTransferSeconds[req.class.Name].value)
}
