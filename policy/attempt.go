package policy

import (
	"cmp"
	"slices"
	"time"
)

type attempt struct {
	request             *request
	number              int
	target, source      *member
	links               []*link
	sent, begun         time.Duration // when it was decided, and when its first byte was written, if known
	targetTime          float64       // expected sending time on the target's link, seconds
	expected            float64       // and on the slowest link of the way, if it has to be filled
	slowest             *link
	congested           bool    // a link of the way was expected to be
	missChance          float64 // how likely a fill is
	pending, failed     bool    // failed: it may have run, and brought no answer
	limited             bool    // it counts in the origin's limiter
	heldOnly, expectHit bool    // the source gives only what it holds; the target likely holds a copy
}

func (r *Router) pendingAttempt(id int64, number int) *attempt {
	req := r.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) || !req.attempts[number].pending {
		return nil
	}
	return req.attempts[number]
}

func (r *Router) startAttempt(req *request, target, source *member) {
	a := &attempt{request: req, number: len(req.attempts), target: target, source: source,
		slowest: &target.link, sent: r.now, begun: r.now}
	wait := r.estimate(a)
	if !r.isCache(source) && !a.expectHit && !req.class.Uncacheable { // it may load the origin
		a.limited = r.originLimiter.admits(r.rng.Float64)
		a.heldOnly = !a.limited
	}
	if a.heldOnly && source == r.origin && !req.class.Uncacheable || r.shouldShed(a, wait) {
		r.finishUnserved(req)
		return
	}
	for _, l := range a.links {
		l.enter(a, r.now)
	}
	for _, m := range []*member{target, source} {
		if r.weighsOn(m, a) && !slices.Contains(m.coldAttempts, a) {
			m.coldAttempts = append(m.coldAttempts, a)
		}
	}
	if a.limited {
		r.originLimiter.inFlight++
	}
	if a.number > 0 {
		r.retryBudget--
	}
	a.pending = true
	req.attempts = append(req.attempts, a)
	req.pending++
	req.mayHaveRun = cmp.Or(req.mayHaveRun, a)
	token := uint64(req.ID)<<8 | uint64(a.number&255)
	patience := time.Duration(overdueFactor*(wait+a.expected)*float64(time.Second)) + overdueSlack
	r.actions = append(r.actions, r.fetch(a), StartTimer{patience, token})
}

// estimate works out what an attempt takes on each link, and returns the wait for the first byte of a fill.
func (r *Router) estimate(a *attempt) (wait float64) {
	work := a.request.work
	use := func(l *link, warm float64) (seconds float64) {
		a.links = append(a.links, l)
		a.congested = a.congested || l.congestion(r.now, work, warm) >= congestedFrom
		if seconds = l.transferTime(r.now, work, warm); seconds > a.expected {
			a.slowest, a.expected = l, seconds
		}
		return seconds
	}
	a.targetTime = use(&a.target.link, r.warmShare(a.target))
	a.expectHit = r.isCache(a.target) && r.likelyHolds(a.target, a.request)
	if a.request.class.Uncacheable || a.expectHit {
		return 0
	}
	a.missChance = 1
	if r.isCache(a.target) && r.missShare.count > 0 {
		a.missChance = r.missShare.value
	}
	if !r.isCache(a.target) || !r.isCache(a.source) {
		use(&r.zoneLink, 1)
	}
	if a.source != a.target {
		use(&a.source.link, r.warmShare(a.source))
		wait = a.source.firstByteWait.value
		if !r.isCache(a.source) {
			wait = r.parentWait.value
		}
	}
	return wait
}
