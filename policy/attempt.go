package policy

// An attempt sends a request to a target, which fills a miss from a source.
//
// When an attempt starts, its duration is estimated in seconds. A request that load shedding
// (loadshedding.go) or the origin's concurrency limit (originlimit.go) does not admit is rejected instead.
// When an attempt ends, its result is classified: it never ran, may have run, or succeeded. That decides
// whether the request may be retried (retry.go, idempotency.go) and whether the target counts as failing
// (outliers.go).

import "time"

// attemptState says whether an attempt has run, as far as this router knows.
type attemptState int

// The states of an attempt. The state changes once, from pending to one of the others.
const (
	attemptPending   attemptState = iota // no result yet: it may run
	attemptSucceeded                     // answered
	attemptNeverRan                      // the target did not carry it out
	attemptFailed                        // an error or a broken connection: it may have run
	attemptTimedOut                      // no answer in time, or an unknown result: it may have run
	attemptCancelled                     // this proxy stopped waiting: it may have run
)

// stateAfter returns the state of an attempt that ended with a result. Unless the result shows that the
// attempt never ran, it may have run.
func stateAfter(result Result) attemptState {
	switch result {
	case ResultOK:
		return attemptSucceeded
	case ResultRejected, ResultConnectFailed, ResultNotSent, ResultNotFound:
		return attemptNeverRan
	case ResultError, ResultReset:
		return attemptFailed
	case ResultCancelled:
		return attemptCancelled
	}
	return attemptTimedOut
}

// attempt is one attempt of a request, with the estimates made when it was created.
type attempt struct {
	request *request
	number  int // among the request's attempts, from 0
	state   attemptState

	target *endpointState
	source *endpointState // fills a miss; the target itself if nothing is filled

	createdAt time.Duration // when the router created it
	startedAt time.Duration // when its first byte was written; createdAt until then

	links       []*link // the links that it loads
	slowestLink *link
	congested   bool // one of the links was congested when the attempt was created

	targetSeconds    float64 // expected transfer time on the target's link
	expectedSeconds  float64 // expected transfer time on the slowest link
	firstByteSeconds float64 // expected wait for the source's first byte
	missProbability  float64 // probability that the target has to fill, 0 to 1

	expectHit        bool // the target probably has the object cached
	sourceCachedOnly bool // the source may answer only with what it has cached
	countsAtOrigin   bool // it counts against the origin's concurrency limit
}

// pendingAttempt returns a request's attempt with the given number if it has no result yet, otherwise nil.
func (r *Router) pendingAttempt(id int64, number int) *attempt {
	req := r.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) {
		return nil
	}
	a := req.attempts[number]
	if a.state != attemptPending {
		return nil
	}
	return a
}

// startAttempt sends a request to a target, or gives it a final answer if the origin or the links have no
// capacity for it.
func (r *Router) startAttempt(req *request, target, source *endpointState) {
	a := &attempt{
		request: req, number: len(req.attempts), target: target, source: source,
		createdAt: r.now, startedAt: r.now,
	}
	r.estimate(a)
	r.applyOriginLimit(a)
	originHasNoCapacity := a.sourceCachedOnly && source == r.origin
	if originHasNoCapacity {
		r.rejectOrFail(req, ReasonOriginBusy)
		return
	}
	if r.shouldShed(a) {
		r.rejectOrFail(req, ReasonCongestion)
		return
	}
	r.reserve(a)
	req.attempts = append(req.attempts, a)
	req.pendingAttempts++
	if req.firstPossibleRun == nil {
		req.firstPossibleRun = a
	}
	r.emit(r.fetchAction(a), overdueTimer(a))
}

// reserve counts an attempt on its links, in the slow-start budgets, in the origin's concurrency limit and,
// if it is a retry, in the retry budget.
func (r *Router) reserve(a *attempt) {
	for _, l := range a.links {
		l.add(a, r.now)
	}
	r.addToSlowStartBudgets(a)
	if a.countsAtOrigin {
		r.originLimit.acquire()
	}
	if a.number > 0 {
		r.takeFromRetryBudget()
	}
}

// estimate sets which links an attempt loads, its expected transfer times on them, and the expected wait for
// a fill's first byte. An expected hit and an uncacheable request load the target's link only.
func (r *Router) estimate(a *attempt) {
	a.slowestLink = &a.target.link
	a.targetSeconds = a.addLink(&a.target.link, r.now, r.slowStartFraction(a.target))
	a.expectHit = r.isCache(a.target) && r.likelyCached(a.target, a.request)
	if a.request.class.Uncacheable || a.expectHit {
		return
	}
	a.missProbability = 1
	if r.isCache(a.target) && r.missFraction.count > 0 {
		a.missProbability = r.missFraction.value
	}
	if !r.isCache(a.target) || !r.isCache(a.source) {
		a.addLink(&r.zoneLink, r.now, 1)
	}
	if a.source == a.target {
		return
	}
	a.addLink(&a.source.link, r.now, r.slowStartFraction(a.source))
	a.firstByteSeconds = a.source.firstByteSeconds.value
	if !r.isCache(a.source) {
		a.firstByteSeconds = r.parentFirstByteSeconds.value
	}
}

// addLink adds a link to those that an attempt loads, records whether it is congested or the slowest so far,
// and returns the expected transfer time on it, in seconds. Fraction is the fraction of its capacity that the
// link's endpoint has now (slow start).
func (a *attempt) addLink(l *link, now time.Duration, fraction float64) float64 {
	transferSeconds := a.request.transferSeconds
	a.links = append(a.links, l)
	if l.congestion(now, transferSeconds, fraction) >= congestedMultiple {
		a.congested = true
	}
	seconds := l.expectedSeconds(now, transferSeconds, fraction)
	if seconds > a.expectedSeconds {
		a.slowestLink = l
		a.expectedSeconds = seconds
	}
	return seconds
}

// endAttempt records the result of an attempt and removes it from its links.
func (r *Router) endAttempt(a *attempt, result Result) {
	req := a.request
	a.state = stateAfter(result)
	req.pendingAttempts--
	a.releaseLinks(r.now)
	switch a.state {
	case attemptSucceeded:
		a.target.latestAnsweredAttemptAt = max(a.target.latestAnsweredAttemptAt, a.createdAt)
	case attemptFailed:
		req.failedAttempts++
	case attemptNeverRan:
		if req.firstPossibleRun == a {
			req.firstPossibleRun = nil
		}
	}
}
