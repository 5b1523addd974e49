package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Tolerances that several rules share.
const (
	// maxNotifyDelay is the time after which a published event counts as known to a proxy, delivered or not.
	maxNotifyDelay = 7 * time.Second
	// socketSlack is added to the rules' time limits, because the checks use the times at which bytes arrive
	// at sockets.
	socketSlack = 50 * time.Millisecond
	// machineSlack is the delay that the rules allow for observations by this package's clients and servers on a busy
	// machine.
	machineSlack = 150 * time.Millisecond
)

// Violation describes one violation of a rule.
type Violation struct {
	Rule     string
	At       time.Duration // since the start of the run
	Text     string
	Keywords []string // names of the request, servers and proxy concerned, by which a report selects timeline entries
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f: %s", v.Rule, v.At.Seconds(), v.Text)
}

// Check checks all rules on the history of a run that has ended, and returns the violations.
func Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := newHistoryChecker(h)
	for _, req := range h.Requests {
		c.checkFinalAnswers(req)
		c.checkExecutions(req)
		c.checkRepeats(req)
		c.checkPurges(req)
	}
	for _, call := range h.Calls {
		c.checkCall(call)
	}
	for _, start := range h.Starts {
		c.checkSlowStart(start)
	}
	for _, inc := range h.Incarnations {
		c.checkIncarnation(inc)
	}
	for _, drain := range h.Drains {
		c.checkProxyDrain(drain)
	}
	return c.violations
}

// historyChecker checks the rules on a history. Its maps are indexes of the history.
type historyChecker struct {
	history       *History
	requests      map[string]*Request // by ID
	executions    map[string]int      // number of executions by request ID
	callsBySerial map[string]*Call
	violations    []Violation
}

func newHistoryChecker(history *History) *historyChecker {
	c := &historyChecker{
		history: history, requests: map[string]*Request{}, executions: map[string]int{}, callsBySerial: map[string]*Call{},
	}
	for _, req := range history.Requests {
		c.requests[req.ID] = req
	}
	for _, call := range history.Calls {
		c.callsBySerial[strconv.Itoa(call.Serial)] = call
		if call.Executed {
			c.executions[call.ID]++
		}
	}
	return c
}

func (c *historyChecker) report(rule string, at time.Duration, keywords []string, format string, args ...any) {
	c.violations = append(c.violations,
		Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...), Keywords: keywords})
}

// notifiedAt returns when an event counts as known to the process that handled a request. While two processes of one
// proxy run, during a takeover, either of them may have accepted the request's connection: the event counts as known
// once it is known to both.
func (c *historyChecker) notifiedAt(e *WatchEvent, req *Request) time.Duration {
	at := c.notifiedProcessAt(e, processID{req.Proxy, req.Incarnation})
	previous := c.history.incarnation(req.Proxy, req.Incarnation-1)
	if previous != nil && (previous.ExitedAt == 0 || previous.ExitedAt > req.SentAt) {
		at = max(at, c.notifiedProcessAt(e, processID{req.Proxy, previous.Number}))
	}
	return at
}

// notifiedProcessAt returns when an event counts as known to a process: when the event's line had first been written to
// it, or at the latest maxNotifyDelay after the publication. That delay excludes the time in which the coordinator sent
// the proxy no events or the process was paused. Events in the process's configuration are known from its start.
func (c *historyChecker) notifiedProcessAt(e *WatchEvent, process processID) time.Duration {
	incarnation := c.history.incarnation(process.proxy, process.incarnation)
	unreachableSpans := c.history.Withheld[process.proxy]
	if incarnation != nil {
		unreachableSpans = slices.Concat(unreachableSpans, incarnation.Paused)
	}
	at := afterExcluding(unreachableSpans, e.PublishedAt, maxNotifyDelay)
	deliveredAt, ok := e.DeliveredAt[process]
	if ok {
		at = min(at, deliveredAt)
	}
	if incarnation != nil && e.Index <= incarnation.ConfigEventIndex {
		at = min(at, incarnation.StartedAt)
	}
	return at
}

// proxyName returns a proxy's name in its configuration and in the timeline.
func proxyName(number int) string { return fmt.Sprintf("proxy-%d", number) }
