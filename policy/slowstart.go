package policy

import (
	"math"
	"slices"
	"time"
)

const (
	slowStartUtilization = 0.9  // share of a cold member's budget that is used: chance may bring more of it at once
	rotationUtilization  = 0.33 // share of it that is given out in turns: turns of two windows may meet in one
)

func (r *Router) slowStartRules(m *endpointState) (share float64, warmWithin time.Duration, multiple float64) {
	if m.Kind == r.settings.ParentKind {
		return r.settings.ParentSlowStartCapacity, r.settings.ParentSlowStartDuration, r.settings.ParentOverloadMultiple
	}
	return r.settings.SlowStartCapacity, r.settings.SlowStartDuration, r.settings.OverloadMultiple
}

func (r *Router) slowStartFraction(m *endpointState) float64 {
	share, within, _ := r.slowStartRules(m)
	age := r.now - m.Started
	if m.Started == 0 || age >= within || within == 0 || m.Kind == r.settings.OriginKind {
		return 1
	}
	return share + (1-share)*max(0, age.Seconds())/within.Seconds()
}

// countsInSlowStart reports whether an attempt counts in a member's budget: it is cold, and is the target or a parent
// that fills.
func (r *Router) countsInSlowStart(m *endpointState, a *attempt) bool {
	return r.slowStartFraction(m) < 1 && (m == a.target || m.Kind == r.settings.ParentKind)
}

// enterSlowStartBudgets counts an attempt in the budgets of cold members that it is not counted in: they have
// started anew since it was decided on, or it has waited for longer than the window.
func (r *Router) enterSlowStartBudgets(a *attempt) bool {
	var joins []*endpointState
	for _, m := range []*endpointState{a.target, a.source} {
		if !r.countsInSlowStart(m, a) || slices.Contains(m.slowStartAttempts, a) || slices.Contains(joins, m) {
			continue
		}
		if !r.withinSlowStartBudget(m, a.request) {
			return false
		}
		joins = append(joins, m)
	}
	for _, m := range joins {
		m.slowStartAttempts = append(m.slowStartAttempts, a)
	}
	return true
}

// withinSlowStartBudget keeps to this router's part, and waits for a window after the router's own start.
func (r *Router) withinSlowStartBudget(m *endpointState, req *request) bool {
	warm := r.slowStartFraction(m)
	if warm >= 1 {
		m.slowStartAttempts = nil
		return true
	}
	_, _, multiple := r.slowStartRules(m)
	window, cost := max(r.settings.OverloadWindow, time.Second), r.slowStartCostSeconds(req)
	expired := func(a *attempt) bool { return r.now-a.startedAt > window }
	m.slowStartAttempts = slices.DeleteFunc(m.slowStartAttempts, expired)
	sum := cost
	for _, a := range m.slowStartAttempts {
		sum += r.slowStartCostSeconds(a.request)
	}
	sharers := m.link.routers * float64(max(1, r.settings.ProcessesPerRouter))
	part := slowStartUtilization * multiple * min(m.link.capacity, m.link.nominalCapacity) / sharers
	return (m.Started >= r.startedAt || r.now-r.startedAt >= window) &&
		(sum <= part*warm*window.Seconds() || sum == cost && r.hasQuotaTurn(m, window, cost/(part*rotationUtilization)))
}

// hasQuotaTurn gives out turns where one request takes up this router's part of several windows.
func (r *Router) hasQuotaTurn(m *endpointState, window time.Duration, seconds float64) bool {
	share, within, _ := r.slowStartRules(m)
	turns := func(at time.Duration) float64 {
		age := max(at-m.Started, 0).Seconds()
		warmed := age * (share + (1-share)*age/within.Seconds()/2)
		return math.Floor(math.Mod(float64(r.settings.RouterIndex)*math.Phi, 1) + warmed/seconds)
	}
	return turns(r.now) > turns(r.now-window)
}

func (r *Router) slowStartCostSeconds(req *request) float64 {
	return max(req.transferSeconds, r.classTransferSeconds[req.class.Name].value)
}
