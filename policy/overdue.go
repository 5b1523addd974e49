package policy

import "time"

const (
	overdueMargin = 200 * time.Millisecond // what an answer may take beyond its expected time
	overdueFactor = 8.0                    // and the multiple of that: sizes are often not known
)

// A timer tells of an overdue attempt: its member was silent, or later attempts overtook it and it was lost.
func (timer TimerFired) apply(r *Router) {
	a := r.pendingAttempt(int64(timer.Token>>8), int(timer.Token&255))
	if a == nil || a.request.finished {
		return
	}
	req, lost := a.request, a.target.lastAnsweredDecidedAt > a.decidedAt
	if lost { // its transfer is over and loads no link any more
		a.leaveLinks(r.now)
		req.avoid[a.source] = a.source != a.target // or its source does not answer
	}
	if !lost && a.target.lastResponseAt <= a.decidedAt {
		a.target.eject(r.now)
	} else if a.source.lastResponseAt <= a.decidedAt && !a.expectHit {
		a.source.eject(r.now)
	}
	silent := !r.inRotation(a.target) || !r.inRotation(a.source)
	inTime := r.now+time.Duration(req.transferSeconds*float64(time.Second)) < req.objectiveAt
	switch {
	case !lost && !(silent && inTime) || req.class.Idempotency != Idempotent || r.retryBudget < 1:
	case r.settings.Hedging:
		r.route(req)
	case r.settings.MayCancel:
		r.actions = append(r.actions, Cancel{ID: req.ID, Attempt: a.number})
	}
}
