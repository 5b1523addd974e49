package policy

import (
	"math"
	"slices"
	"time"
)

const (
	coldMargin = 0.9  // share of a cold member's budget that is used: chance may bring more of it at once
	turnMargin = 0.33 // share of it that is given out in turns: turns of two windows may meet in one
)

func (r *Router) coldRules(m *member) (share float64, warmWithin time.Duration, multiple float64) {
	if m.Kind == r.settings.ParentKind {
		return r.settings.ParentSlowStartCapacity, r.settings.ParentSlowStartDuration, r.settings.ParentOverloadMultiple
	}
	return r.settings.SlowStartCapacity, r.settings.SlowStartDuration, r.settings.OverloadMultiple
}

func (r *Router) warmShare(m *member) float64 {
	share, within, _ := r.coldRules(m)
	age := r.now - m.Started
	if m.Started == 0 || age >= within || within == 0 || m.Kind == r.settings.OriginKind {
		return 1
	}
	return share + (1-share)*max(0, age.Seconds())/within.Seconds()
}

// weighsOn reports whether an attempt counts in a member's budget: it is cold, and is the target or a parent
// that fills.
func (r *Router) weighsOn(m *member, a *attempt) bool {
	return r.warmShare(m) < 1 && (m == a.target || m.Kind == r.settings.ParentKind)
}

// joinsColdBudget counts an attempt in the budgets of cold members that it is not counted in: they have
// started anew since it was decided on, or it has waited for longer than the window.
func (r *Router) joinsColdBudget(a *attempt) bool {
	var joins []*member
	for _, m := range []*member{a.target, a.source} {
		if !r.weighsOn(m, a) || slices.Contains(m.coldAttempts, a) || slices.Contains(joins, m) {
			continue
		}
		if !r.withinColdBudget(m, a.request) {
			return false
		}
		joins = append(joins, m)
	}
	for _, m := range joins {
		m.coldAttempts = append(m.coldAttempts, a)
	}
	return true
}

// withinColdBudget keeps to this router's part, and waits for a window after the router's own start.
func (r *Router) withinColdBudget(m *member, req *request) bool {
	warm := r.warmShare(m)
	if warm >= 1 {
		m.coldAttempts = nil
		return true
	}
	_, _, multiple := r.coldRules(m)
	window, cost := max(r.settings.OverloadWindow, time.Second), r.coldCost(req)
	expired := func(a *attempt) bool { return r.now-a.begun > window }
	m.coldAttempts = slices.DeleteFunc(m.coldAttempts, expired)
	sum := cost
	for _, a := range m.coldAttempts {
		sum += r.coldCost(a.request)
	}
	sharers := m.link.sharers * float64(max(1, r.settings.ProcessesPerRouter))
	part := coldMargin * multiple * min(m.link.capacity, m.link.nominal) / sharers
	return (m.Started >= r.startedAt || r.now-r.startedAt >= window) &&
		(sum <= part*warm*window.Seconds() || sum == cost && r.hasColdTurn(m, window, cost/(part*turnMargin)))
}

// hasColdTurn gives out turns where one request takes up this router's part of several windows.
func (r *Router) hasColdTurn(m *member, window time.Duration, seconds float64) bool {
	share, within, _ := r.coldRules(m)
	turns := func(at time.Duration) float64 {
		age := max(at-m.Started, 0).Seconds()
		warmed := age * (share + (1-share)*age/within.Seconds()/2)
		return math.Floor(math.Mod(float64(r.settings.RouterIndex)*math.Phi, 1) + warmed/seconds)
	}
	return turns(r.now) > turns(r.now-window)
}

func (r *Router) coldCost(req *request) float64 {
	return max(req.work, r.classWork[req.class.Name].value)
}
