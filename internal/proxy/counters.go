package proxy

// This file holds the counters behind the metrics: outcomes of requests, reloads, and denials by the decision
// module's guards (MaySend, MayAdmit and MayClose).

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cloverdoor/policy"
)

// outcome says how a request ended, or that an attempt was forwarded.
type outcome int

// The outcomes that are counted for each class.
const (
	outcomeServed    outcome = iota // answered with what was requested
	outcomeRejected                 // rejected: may be sent again
	outcomeFailed                   // failed, or given up by the client
	outcomeForwarded                // written to a server: counts attempts, not requests
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	outcomeServed:    "fulfilled",
	outcomeRejected:  "throttled",
	outcomeFailed:    "faulted",
	outcomeForwarded: "relayed",
}

// String returns the outcome's name in the metrics and in the log.
func (o outcome) String() string { return outcomeNames[o] }

// outcome returns the outcome that a final answer with this status is counted as.
func (s Status) outcome() outcome {
	switch s {
	case Served, NotModified:
		return outcomeServed
	case Rejected, Overloaded:
		return outcomeRejected
	}
	return outcomeFailed
}

// action is something that a guard is asked to allow; its value is its name in the metrics.
type action string

// The actions that guards check.
const (
	actionSend  action = "send"  // write the first byte of an attempt
	actionStart action = "start" // admit a complete request
	actionClose action = "close" // close a client connection
)

// denial is an action that a guard has denied, with the reason.
type denial struct {
	action action
	policy.Verdict
}

// label returns the denial's labels as they appear in the metrics.
func (d denial) label() string {
	return fmt.Sprintf("action=%q,rule=%q,reason=%q", d.action, d.Rule, d.Reason)
}

// counters holds what the process has counted since its start. No count ever decreases.
type counters struct {
	classNames []string // in the order in which the classes were added
	outcomes   map[string]*[outcomeCount]int64
	denials    map[denial]int64
	notServed  map[policy.Reason]int64 // number of answers that served nothing, by reason

	connsClosed map[closeReason]int64 // number of client connections closed, by reason

	configsAccepted, configsRejected int // numbers of configurations that reloads accepted and rejected
	unreadableParts                  int // the coordinator's unreadable lines and event parts, and gaps between its events
}

func newCounters() *counters {
	return &counters{
		outcomes:    map[string]*[outcomeCount]int64{},
		denials:     map[denial]int64{},
		notServed:   map[policy.Reason]int64{},
		connsClosed: map[closeReason]int64{},
	}
}

// addClass adds a class, unless it is known, and returns its counts. Its metrics are listed from then on. A
// class that is removed from the settings keeps its counts.
func (c *counters) addClass(class string) *[outcomeCount]int64 {
	counts := c.outcomes[class]
	if counts == nil {
		counts = new([outcomeCount]int64)
		c.outcomes[class] = counts
		c.classNames = append(c.classNames, class)
	}
	return counts
}

func (c *counters) countOutcome(class string, o outcome) { c.addClass(class)[o]++ }

// recordVerdict reports whether a verdict allows an action, and counts a denial if it does not.
func (c *counters) recordVerdict(a action, verdict policy.Verdict) bool {
	if verdict.Allowed() {
		return true
	}
	c.denials[denial{a, verdict}]++
	return false
}

// countNotServed counts an answer that serves nothing.
func (c *counters) countNotServed(reason policy.Reason) { c.notServed[reason]++ }

// writeNotServedMetrics writes the metrics of answers that served nothing, in a fixed order.
func (c *counters) writeNotServedMetrics(b *strings.Builder) {
	for _, reason := range slices.Sorted(maps.Keys(c.notServed)) {
		fmt.Fprintf(b, "svc_not_served{reason=%q} %d\n", reason, c.notServed[reason])
	}
}

// writeCloseMetrics writes the metrics of closed client connections, in a fixed order.
func (c *counters) writeCloseMetrics(b *strings.Builder) {
	for _, reason := range slices.Sorted(maps.Keys(c.connsClosed)) {
		fmt.Fprintf(b, "svc_conns_closed{reason=%q} %d\n", reason, c.connsClosed[reason])
	}
}

// writeOutcomeMetrics writes the metrics of each class.
func (c *counters) writeOutcomeMetrics(b *strings.Builder) {
	for _, class := range c.classNames {
		for o, n := range c.outcomes[class] {
			fmt.Fprintf(b, "svc_operations{priority=%q,status=%q} %d\n", class, outcome(o), n)
		}
	}
}

// writeDenialMetrics writes the metrics of denials, in a fixed order.
func (c *counters) writeDenialMetrics(b *strings.Builder) {
	byLabel := func(x, y denial) int { return strings.Compare(x.label(), y.label()) }
	for _, d := range slices.SortedFunc(maps.Keys(c.denials), byLabel) {
		fmt.Fprintf(b, "svc_denied{%s} %d\n", d.label(), c.denials[d])
	}
}
