package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Tolerances that several rules share.
const (
	// maxNotifyDelay is how long after its publication an event counts as known to a proxy, delivered or not.
	maxNotifyDelay = 7 * time.Second
	// socketSlack is added to the time limits of rules where they are checked on sockets.
	socketSlack = 50 * time.Millisecond
	// machineSlack is how late clients and servers of this package may observe something on a busy machine.
	machineSlack = 150 * time.Millisecond
)

// Violation is a rule that was broken.
type Violation struct {
	Rule     string
	At       time.Duration // since the start of the run
	Text     string
	Keywords []string // that find its request, servers and proxy in the timeline
}

// String is the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f: %s", v.Rule, v.At.Seconds(), v.Text)
}

// Check returns all violations in the history of a run that has ended.
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
	return c.violations
}

// historyChecker checks a history. Its maps are indexes of the history.
type historyChecker struct {
	history       *History
	requests      map[string]*Request // by ID
	executions    map[string]int      // by the request's ID
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
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...), Keywords: keywords})
}

// notifiedAt is when an event counts as known to the process of a request: when its line was written, or
// notifyWithin after its publication. Time in which the coordinator sent the process nothing, or it was
// paused, does not count. What the configuration of the process holds is known from its start.
func (c *historyChecker) notifiedAt(e *WatchEvent, req *Request) time.Duration {
	incarnation := c.history.incarnation(req.Proxy, req.Incarnation)
	unreachable := c.history.Withheld[req.Proxy]
	if incarnation != nil {
		unreachable = slices.Concat(unreachable, incarnation.Paused)
	}
	at := afterExcluding(unreachable, e.PublishedAt, maxNotifyDelay)
	delivered, ok := e.DeliveredAt[req.Proxy]
	if ok {
		at = min(at, delivered)
	}
	if incarnation != nil && e.Index <= incarnation.ConfigEventIndex {
		at = min(at, incarnation.StartedAt)
	}
	return at
}

// proxyName is a proxy's name in the timeline.
func proxyName(number int) string { return fmt.Sprintf("proxy-%d", number) }
