package policy

import (
	"cmp"
	"time"
)

type attempt struct {
	request               *request
	number                int
	target, source        *endpointState
	links                 []*link
	decidedAt, startedAt  time.Duration // when it was decided, and when its first byte was written, if known
	targetSeconds         float64       // expected sending time on the target's link, seconds
	expectedSeconds       float64       // and on the slowest link of the way, if it has to be filled
	slowestLink           *link
	congested             bool    // a link of the way was expected to be
	missProbability       float64 // how likely a fill is
	pending, failed       bool    // failed: it may have run, and brought no answer
	countsAtOrigin        bool    // it counts in the origin's limiter
	cachedOnly, expectHit bool    // the source gives only what it holds; the target likely holds a copy
}

func (r *Router) pendingAttempt(id int64, number int) *attempt {
	req := r.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) || !req.attempts[number].pending {
		return nil
	}
	return req.attempts[number]
}

func (r *Router) startAttempt(req *request, target, source *endpointState) {
	a := &attempt{request: req, number: len(req.attempts), target: target, source: source,
		slowestLink: &target.link, decidedAt: r.now, startedAt: r.now}
	wait := r.estimate(a)
	if !r.isCache(source) && !a.expectHit && !req.class.Uncacheable { // it may load the origin
		a.countsAtOrigin = r.originLimit.admits(r.rng.Float64)
		a.cachedOnly = !a.countsAtOrigin
	}
	if a.cachedOnly && source == r.origin && !req.class.Uncacheable || r.shouldShed(a, wait) {
		r.rejectOrFail(req)
		return
	}
	for _, l := range a.links {
		l.add(a, r.now)
	}
	r.addToSlowStartBudgets(a)
	if a.countsAtOrigin {
		r.originLimit.inFlight++
	}
	if a.number > 0 {
		r.retryBudget--
	}
	a.pending = true
	req.attempts = append(req.attempts, a)
	req.pendingAttempts++
	req.mayHaveRun = cmp.Or(req.mayHaveRun, a)
	token := uint64(req.ID)<<8 | uint64(a.number&255)
	patience := time.Duration(overdueFactor*(wait+a.expectedSeconds)*float64(time.Second)) + overdueMargin
	r.actions = append(r.actions, r.fetchAction(a), StartTimer{patience, token})
}

// estimate works out what an attempt takes on each link, and returns the wait for the first byte of a fill.
func (r *Router) estimate(a *attempt) (wait float64) {
	work := a.request.transferSeconds
	use := func(l *link, warm float64) (seconds float64) {
		a.links = append(a.links, l)
		a.congested = a.congested || l.congestion(r.now, work, warm) >= congestedMultiple
		if seconds = l.expectedSeconds(r.now, work, warm); seconds > a.expectedSeconds {
			a.slowestLink, a.expectedSeconds = l, seconds
		}
		return seconds
	}
	a.targetSeconds = use(&a.target.link, r.slowStartFraction(a.target))
	a.expectHit = r.isCache(a.target) && r.likelyCached(a.target, a.request)
	if a.request.class.Uncacheable || a.expectHit {
		return 0
	}
	a.missProbability = 1
	if r.isCache(a.target) && r.missFraction.count > 0 {
		a.missProbability = r.missFraction.value
	}
	if !r.isCache(a.target) || !r.isCache(a.source) {
		use(&r.zoneLink, 1)
	}
	if a.source != a.target {
		use(&a.source.link, r.slowStartFraction(a.source))
		wait = a.source.firstByteSeconds.value
		if !r.isCache(a.source) {
			wait = r.parentFirstByteSeconds.value
		}
	}
	return wait
}
