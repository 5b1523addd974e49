package policy

// Verdicts are the results of the guards (guard.go): whether an action may be carried out, and if not, which
// rule it would break and why. The names of rules and reasons are label values of the metrics svc_denied and
// svc_not_served and fields of log messages, so they must not change.

// Rule is a guarantee that an action could break.
type Rule int

// The rules that the guards check.
const (
	RuleNone               Rule = iota // no rule is broken
	RuleAnswer                         // each accepted request gets one final answer
	RuleDuplicate                      // a request that must not be repeated runs at most once
	RuleDrain                          // an endpoint that drains or is removed receives no new attempts
	RuleSlowStart                      // an endpoint that has just started is not overloaded
	RuleClientDisconnected             // nothing is started for a client that has disconnected
	RuleDeadline                       // nothing is started after a request's deadline
	RuleLimits                         // memory and sockets stay within their limits
)

var ruleNames = [...]string{
	"none", "answer", "duplicate", "drain", "cold_start", "client_left", "deadline", "limits",
}

// String returns the rule's name in metrics and the log.
func (r Rule) String() string { return ruleNames[r] }

// Reason says why an action is denied, or why a request gets a final answer without being served.
type Reason string

// The reasons of the guards.
const (
	ReasonAttemptEnded       Reason = "attempt_over"     // the attempt has ended already
	ReasonAnswered           Reason = "answered"         // the request is finished
	ReasonClientDisconnected Reason = "client_left"      // the client has disconnected
	ReasonDeadlineExceeded   Reason = "no_time_left"     // the deadline has passed
	ReasonTargetDraining     Reason = "target_leaving"   // the target drains or is removed
	ReasonSourceDraining     Reason = "source_leaving"   // the fill source drains or is removed
	ReasonMayHaveRun         Reason = "may_have_run"     // an earlier attempt may have run
	ReasonWindowExpired      Reason = "window_over"      // the deduplication window has passed
	ReasonOverBudget         Reason = "over_budget"      // the slow-start budget is used up
	ReasonStopping           Reason = "stopping"         // the process drains or shuts down
	ReasonTooManyOpen        Reason = "many_open"        // the limit on open requests is reached
	ReasonMemory             Reason = "memory"           // the memory limit is reached
	ReasonRequestsOpen       Reason = "requests_open"    // the connection has unanswered requests
	ReasonPartialRequest     Reason = "half_a_request"   // a request has arrived in part
	ReasonUnreadInput        Reason = "input_unread"     // input has arrived that was not read
	ReasonUnsentOutput       Reason = "output_not_taken" // an answer has not been sent or acknowledged
	ReasonInUse              Reason = "in_use"           // a request may be on its way
	ReasonReading            Reason = "client_reading"   // the client may have yet to read answers
	ReasonClosing            Reason = "closing"          // the connection is closing and waits for its client
)

// The reasons, besides those of the guards, for a final answer that does not serve the request.
const (
	ReasonNoEndpoint    Reason = "no_endpoint"     // no endpoint can be used
	ReasonCongestion    Reason = "congestion"      // load shedding
	ReasonOriginBusy    Reason = "origin_busy"     // the origin's concurrency limit is reached
	ReasonAttemptsUsed  Reason = "attempts_used"   // the limit on attempts, or on failed ones, is reached
	ReasonNoRetryBudget Reason = "no_retry_budget" // the retry budget is used up
	ReasonUnknownClass  Reason = "unknown_class"   // the request's class is not configured
	ReasonMalformed     Reason = "malformed"       // the request can't be decoded
	ReasonTooLarge      Reason = "too_large"       // the request exceeds a limit of its connection
	ReasonBackpressure  Reason = "backpressure"    // the client did not read its answers in time
)

// Verdict says whether an action may be carried out. The zero value allows it.
type Verdict struct {
	Rule   Rule   // the rule that the action would break
	Reason Reason // why the action is denied
}

// Allowed reports whether no rule would be broken.
func (v Verdict) Allowed() bool { return v.Rule == RuleNone }
