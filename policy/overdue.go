package policy

import "time"

const (
	overdueSlack  = 200 * time.Millisecond // what an answer may take beyond its expected time
	overdueFactor = 8.0                    // and the multiple of that: sizes are often not known
)

// A timer tells of an overdue attempt: its member was silent, or later attempts overtook it and it was lost.
func (timer TimerFired) apply(r *Router) {
	a := r.pendingAttempt(int64(timer.Token>>8), int(timer.Token&255))
	if a == nil || a.request.finished {
		return
	}
	req, lost := a.request, a.target.lastAnswerSent > a.sent
	if lost { // its transfer is over and loads no link any more
		a.leaveLinks(r.now)
		req.avoid[a.source] = a.source != a.target // or its source does not answer
	}
	if !lost && a.target.lastHeard <= a.sent {
		a.target.markSuspect(r.now)
	} else if a.source.lastHeard <= a.sent && !a.expectHit {
		a.source.markSuspect(r.now)
	}
	silent := !r.healthy(a.target) || !r.healthy(a.source)
	inTime := r.now+time.Duration(req.work*float64(time.Second)) < req.aim
	switch {
	case !lost && !(silent && inTime) || req.class.Idempotency != Idempotent || r.retryBudget < 1:
	case r.settings.Hedging:
		r.decide(req)
	case r.settings.MayCancel:
		r.actions = append(r.actions, Cancel{ID: req.ID, Attempt: a.number})
	}
}
