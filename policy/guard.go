package policy

import (
	"slices"
	"time"
)

// Rule is a promise of the operators' pages that an action could break.
type Rule int

// The rules that guards look at.
const (
	RuleNone               Rule = iota
	RuleAnswer                  // every request that was taken gets one final answer
	RuleDuplicate               // what may not be repeated runs once
	RuleDrain                   // nothing new for a member that drains or is gone
	RuleSlowStart               // a member that has just started is not pushed over
	RuleClientDisconnected      // nothing begins for a client that has left
	RuleDeadline                // nothing is promised, or asked for, beyond a request's time
	RuleLimits                  // memory and descriptors
)

var ruleNames = [...]string{
	"none", "answer", "duplicate", "drain", "cold_start", "client_left", "deadline", "limits",
}

// String is the rule's name in the figures.
func (r Rule) String() string { return ruleNames[r] }

// Reason says what a guard found.
type Reason string

// The reasons of guards.
const (
	ReasonAttemptEnded       Reason = "attempt_over"
	ReasonAnswered           Reason = "answered"
	ReasonClientDisconnected Reason = "client_left"
	ReasonDeadlineExceeded   Reason = "no_time_left"
	ReasonTargetDraining     Reason = "target_leaving"
	ReasonSourceDraining     Reason = "source_leaving"
	ReasonMayHaveRun         Reason = "may_have_run"
	ReasonWindowExpired      Reason = "window_over"
	ReasonOverBudget         Reason = "over_budget"
	ReasonStopping           Reason = "stopping"
	ReasonTooManyOpen        Reason = "many_open"
	ReasonMemory             Reason = "memory"
	ReasonRequestsOpen       Reason = "requests_open"
	ReasonPartialRequest     Reason = "half_a_request"
	ReasonUnreadInput        Reason = "input_unread"
	ReasonUnsentOutput       Reason = "output_not_taken"
	ReasonInUse              Reason = "in_use"
)

// Verdict says whether an action may be carried out now, and if not, which rule it would break and why. The
// zero value allows it.
type Verdict struct {
	Rule   Rule
	Reason Reason
}

// Allowed reports that no rule would be broken.
func (v Verdict) Allowed() bool { return v.Rule == RuleNone }

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
	a.begun = now
	return r.fetch(a), Verdict{}
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
	case a.target.State != Ready:
		return Verdict{RuleDrain, ReasonTargetDraining}
	case a.source.State != Ready:
		return Verdict{RuleDrain, ReasonSourceDraining}
	case !r.joinsColdBudget(a):
		return Verdict{RuleSlowStart, ReasonOverBudget}
	case a.request.mayHaveRun != a:
		return r.repeatVerdict(a.request, a.target)
	}
	return Verdict{}
}

// repeatVerdict decides whether a further attempt is harmless at a member: keyed ones are where repeats are
// known.
func (r *Router) repeatVerdict(req *request, m *member) Verdict {
	first := req.mayHaveRun
	switch {
	case first == nil || req.class.Idempotency == Idempotent:
		return Verdict{}
	case req.class.Idempotency == NonIdempotent:
		return Verdict{RuleDuplicate, ReasonMayHaveRun}
	case r.now-first.sent >= req.class.DeduplicationWindow:
		return Verdict{RuleDuplicate, ReasonWindowExpired}
	case req.class.DeduplicationScope == ScopeAll,
		req.class.DeduplicationScope == ScopeZone && m.Zone == first.target.Zone,
		req.class.DeduplicationScope == ScopeCell && m.Cell == first.target.Cell && m.Zone == first.target.Zone:
		return Verdict{}
	}
	return Verdict{RuleDuplicate, ReasonMayHaveRun}
}

func (r *Router) mayRepeat(req *request, m *member) bool { return r.repeatVerdict(req, m).Allowed() }

// mayRefuse reports whether it may be said that trying again is harmless.
func (r *Router) mayRefuse(req *request) bool {
	class := req.class
	return class.Idempotency == Idempotent || req.mayHaveRun == nil || class.Idempotency == IdempotencyKey && class.DeduplicationScope == ScopeAll
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

// weighsOn reports whether an attempt counts in a member's budget: it is cold, and is the target or a parent
// that fills.
func (r *Router) weighsOn(m *member, a *attempt) bool {
	return r.warmShare(m) < 1 && (m == a.target || m.Kind == r.settings.ParentKind)
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
