package policy

// The guards check right before an action whether it may still be carried out. Time passes between a decision
// and the first byte sent for it, while an attempt waits for a connection or a request waits for its body: an
// endpoint may drain or restart, a client may disconnect, a deduplication window may expire.
//
// Inputs: the router's present state, and what only the caller can see (the Info types). Result: a Verdict.
// The guards have no rules of their own for attempts: they check the rules of the other files again.

import "time"

// SendInfo describes an attempt whose first byte is about to be written.
type SendInfo struct {
	ID                 int64 // of the request
	Attempt            int
	Remaining          time.Duration // to the client's deadline
	ClientDisconnected bool
}

// MaySend decides whether an attempt may start now, and returns its Fetch as of now. The caller calls it
// directly before it writes the first byte, and reports a denied attempt as ResultNotSent, after which the
// request is routed again or gets its final answer.
func (r *Router) MaySend(now time.Duration, info SendInfo) (Fetch, Verdict) {
	r.now = now
	a := r.pendingAttempt(info.ID, info.Attempt)
	verdict := r.sendVerdict(a, info)
	if !verdict.Allowed() {
		return Fetch{}, verdict
	}
	a.startedAt = now
	return r.fetchAction(a), Verdict{}
}

// sendVerdict checks an attempt, which is nil if it has ended. The slow-start budgets are checked after the
// state of the endpoints, as checking them also counts the attempt.
func (r *Router) sendVerdict(a *attempt, info SendInfo) Verdict {
	switch {
	case a == nil:
		return Verdict{RuleAnswer, ReasonAttemptEnded}
	case a.request.finished:
		return Verdict{RuleAnswer, ReasonAnswered}
	case info.ClientDisconnected:
		return Verdict{RuleClientDisconnected, ReasonClientDisconnected}
	case info.Remaining <= 0:
		return Verdict{RuleDeadline, ReasonDeadlineExceeded}
	case !a.target.acceptsAttempts():
		return Verdict{RuleDrain, ReasonTargetDraining}
	case !a.source.acceptsAttempts():
		return Verdict{RuleDrain, ReasonSourceDraining}
	case !r.reserveSlowStartBudgets(a):
		return Verdict{RuleSlowStart, ReasonOverBudget}
	case a.request.firstPossibleRun == a:
		return Verdict{} // a first execution is not a repeat
	}
	return r.repeatVerdict(a.request, a.target)
}

// AdmitInfo describes a request that has arrived completely.
type AdmitInfo struct {
	ClientDisconnected bool
	RejectingNew       bool          // during drain or shutdown, once clients have had time to disconnect
	Remaining          time.Duration // to the client's deadline

	// UnreleasedRequests is the number of admitted requests that are still held in memory. A request is
	// released once the Router has processed its arrival, it is answered or given up by its client, and no
	// attempt for it is open.
	UnreleasedRequests int

	MaxOpenRequests int  // limits UnreleasedRequests
	MemoryFull      bool // the memory limit for requests is reached
}

// MayAdmit decides whether a request is accepted. One that is not gets its final answer at once.
func MayAdmit(info AdmitInfo) Verdict {
	switch {
	case info.ClientDisconnected:
		return Verdict{RuleClientDisconnected, ReasonClientDisconnected}
	case info.RejectingNew:
		return Verdict{RuleAnswer, ReasonStopping}
	case info.Remaining <= 0:
		return Verdict{RuleDeadline, ReasonDeadlineExceeded}
	case info.UnreleasedRequests >= info.MaxOpenRequests:
		return Verdict{RuleLimits, ReasonTooManyOpen}
	case info.MemoryFull:
		return Verdict{RuleLimits, ReasonMemory}
	}
	return Verdict{}
}

// CloseInfo describes a client's connection that might be closed. HasUnreadInput is required. The
// functions make system calls. Any other field that is left zero is not checked: PartialRequest is
// left zero for a close after a timeout, as a client may then lose a request that it has sent in part.
type CloseInfo struct {
	OpenRequests   int  // requests that arrived completely and are not answered
	PartialRequest bool // a request has arrived in part
	QueuedBytes    int  // bytes of answers that are not yet written
	RecentlyUsed   bool // used so recently that a request may be on its way

	// HasUnreadInput reports whether input has arrived that was not read. It is called last, as it makes a
	// system call.
	HasUnreadInput func() bool

	// ClientReading reports whether the client may have yet to read answers that its system has
	// received. Nil: not checked.
	ClientReading func() bool

	// UnsentBytes returns the number of bytes that this host has not sent yet: the end of the
	// connection would follow behind them. Nil: not checked.
	UnsentBytes func() int

	// UnackedBytes returns the number of bytes that were written and not acknowledged. Nil: not checked.
	UnackedBytes func() int
}

// MayClose decides whether a connection can be closed without losing an answer or a request.
func MayClose(info CloseInfo) Verdict {
	switch {
	case info.OpenRequests > 0:
		return Verdict{RuleAnswer, ReasonRequestsOpen}
	case info.QueuedBytes > 0:
		return Verdict{RuleAnswer, ReasonUnsentOutput}
	case info.PartialRequest:
		return Verdict{RuleAnswer, ReasonPartialRequest}
	case info.RecentlyUsed:
		return Verdict{RuleAnswer, ReasonInUse}
	case info.ClientReading != nil && info.ClientReading():
		return Verdict{RuleAnswer, ReasonReading}
	case info.UnsentBytes != nil && info.UnsentBytes() > 0:
		return Verdict{RuleAnswer, ReasonUnsentOutput}
	case info.UnackedBytes != nil && info.UnackedBytes() > 0:
		return Verdict{RuleAnswer, ReasonUnsentOutput}
	case info.HasUnreadInput():
		return Verdict{RuleAnswer, ReasonUnreadInput}
	}
	return Verdict{}
}
