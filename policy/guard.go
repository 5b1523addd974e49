package policy

import "time"

// SendInfo is what a guard has to be told of an attempt whose first byte is about to go.
type SendInfo struct {
	ID                 int64 // of the request
	Attempt            int
	Remaining          time.Duration // of the request's time
	ClientDisconnected bool
}

// MaySend decides, at the last instant, whether an attempt may begin: while it waited for its connection its
// member may have drained or started anew, its client left, or the time for repeats passed. It returns the
// attempt's orders as of now.
func (r *Router) MaySend(now time.Duration, s SendInfo) (Fetch, Verdict) {
	r.now = now
	a := r.pendingAttempt(s.ID, s.Attempt)
	if verdict := r.sendVerdict(a, s); !verdict.Allowed() {
		return Fetch{}, verdict
	}
	a.startedAt = now
	return r.fetchAction(a), Verdict{}
}

func (r *Router) sendVerdict(a *attempt, s SendInfo) Verdict {
	switch {
	case a == nil:
		return Verdict{RuleAnswer, ReasonAttemptEnded}
	case a.request.finished:
		return Verdict{RuleAnswer, ReasonAnswered}
	case s.ClientDisconnected:
		return Verdict{RuleClientDisconnected, ReasonClientDisconnected}
	case s.Remaining <= 0:
		return Verdict{RuleDeadline, ReasonDeadlineExceeded}
	case !a.target.acceptsNew():
		return Verdict{RuleDrain, ReasonTargetDraining}
	case !a.source.acceptsNew():
		return Verdict{RuleDrain, ReasonSourceDraining}
	case !r.enterSlowStartBudgets(a):
		return Verdict{RuleSlowStart, ReasonOverBudget}
	case a.request.mayHaveRun != a:
		return r.repeatVerdict(a.request, a.target)
	}
	return Verdict{}
}

// AdmitInfo is what a guard has to be told of a request that has just come whole.
type AdmitInfo struct {
	ClientDisconnected            bool
	Stopping                      bool          // clients have had time enough to go
	Remaining                     time.Duration // of the request's time
	OpenRequests, MaxOpenRequests int           // requests that are open, and may be
	MemoryFull                    bool          // no memory is left for requests
}

// MayAdmit decides whether a request is taken on. One that is not gets its final answer at once.
func MayAdmit(a AdmitInfo) Verdict {
	switch {
	case a.ClientDisconnected:
		return Verdict{RuleClientDisconnected, ReasonClientDisconnected}
	case a.Stopping:
		return Verdict{RuleAnswer, ReasonStopping}
	case a.Remaining <= 0:
		return Verdict{RuleDeadline, ReasonDeadlineExceeded}
	case a.OpenRequests >= a.MaxOpenRequests:
		return Verdict{RuleLimits, ReasonTooManyOpen}
	case a.MemoryFull:
		return Verdict{RuleLimits, ReasonMemory}
	}
	return Verdict{}
}

// CloseInfo is what a guard has to be told of a client's connection that might be closed.
type CloseInfo struct {
	OpenRequests   int         // requests that came whole and are not answered
	PartialRequest bool        // a request has come in part, and may still come whole
	QueuedBytes    int         // bytes that wait to be written
	InUse          bool        // it has been used so lately that more may be on its way
	HasUnreadInput func() bool // something has come that was not read; asked last, as it takes a system call
	UnackedBytes   func() int  // bytes that were written and have not arrived; nil: the close waits for them
}

// MayClose decides whether a connection can be closed without taking an answer, or a request, with it.
func MayClose(c CloseInfo) Verdict {
	switch {
	case c.OpenRequests > 0:
		return Verdict{RuleAnswer, ReasonRequestsOpen}
	case c.QueuedBytes > 0:
		return Verdict{RuleAnswer, ReasonUnsentOutput}
	case c.PartialRequest:
		return Verdict{RuleAnswer, ReasonPartialRequest}
	case c.InUse:
		return Verdict{RuleAnswer, ReasonInUse}
	case c.UnackedBytes != nil && c.UnackedBytes() > 0:
		return Verdict{RuleAnswer, ReasonUnsentOutput}
	case c.HasUnreadInput():
		return Verdict{RuleAnswer, ReasonUnreadInput}
	}
	return Verdict{}
}
