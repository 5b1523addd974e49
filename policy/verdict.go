package policy

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
