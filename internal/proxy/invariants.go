package proxy

// This file checks after the fact that the proxy has kept its guarantees, independently of the code that
// provides them.

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

const (
	// checkTolerance is added to each time limit, for the delay between a decision and its effect on a
	// socket.
	checkTolerance = 50 * time.Millisecond
	// drainGracePeriod is the time after the report of an endpoint's drain during which calls may still be sent to it.
	drainGracePeriod = 500 * time.Millisecond
	// drainingRetention is the time for which a draining endpoint is remembered: longer than any request may take.
	drainingRetention = 11 * time.Minute
	// disconnectGracePeriod is the time after a client's disconnect during which calls may still be started for it.
	disconnectGracePeriod = 100 * time.Millisecond
	// purgeRetentionMargin is the time for which a purge is still remembered once all caches must have completed it.
	purgeRetentionMargin = time.Second
	// recordSweepInterval is the shortest time between two removals of old records, which visit every record.
	recordSweepInterval = time.Second
)

// violation identifies an invariant by the way in which it is violated.
type violation int

// The violations that are checked for.
const (
	secondAnswer           violation = iota // a request got more than one final answer
	unanswered                              // a client connection was evicted while a request was open on it
	executedTwice                           // a non-idempotent call was fully written while another may have been executed
	rejectedAfterExecution                  // a non-idempotent request was rejected although it may have been executed
	sentToDraining                          // a call was sent to a draining endpoint, or named one as the source of its fill
	servedPurged                            // a call sent after a purge was answered with a copy made before it
	startedAfterDisconnect                  // a call was started for a client that had disconnected
	violationCount
)

// violationNames are the names in the metrics and in the log.
var violationNames = [violationCount]string{
	secondAnswer:           "second_answer",
	unanswered:             "unanswered",
	executedTwice:          "ran_twice",
	rejectedAfterExecution: "refused_after_run",
	sentToDraining:         "sent_to_leaving",
	servedPurged:           "served_purged",
	startedAfterDisconnect: "begun_after_left",
}

// invariantChecker checks what the proxy has done, after the fact. It keeps its own records of drains, purges,
// answers and executions, so that it also detects faults of the guards. It relies on the proxy for the clock,
// the settings, whether a call was written and how it ended, when a client disconnected, and the ids of the
// endpoints in use before a full list: it does not detect faults in those. In production, violations are counted and
// logged; in tests, onViolation ends the program.
type invariantChecker struct {
	proxy         *Proxy
	drainingSince map[string]eventloop.Timestamp // by endpoint id: when its drain was reported
	purges        map[any]purgeRecord            // by object (string) or group (int)
	sweptAt       eventloop.Timestamp            // when old records were last removed
	counts        [violationCount]int64
	onViolation   func(message string) // nil: violations are only counted and logged
}

// purgeRecord is a purge that the coordinator has reported.
type purgeRecord struct {
	createdBefore int64               // Unix milliseconds; copies made before are purged
	receivedAt    eventloop.Timestamp // when the report arrived
}

// requestRecord is what the checker knows of a request.
type requestRecord struct {
	finalAnswers     int
	possiblyExecuted bool // a call was written completely, and no result has shown that it was not executed
}

// attemptRecord is what the checker knows of an attempt.
type attemptRecord struct {
	sentAt eventloop.Timestamp // when the first byte of its call was written
}

func newInvariantChecker(proxy *Proxy, onViolation func(message string)) *invariantChecker {
	return &invariantChecker{
		proxy:         proxy,
		drainingSince: map[string]eventloop.Timestamp{},
		purges:        map[any]purgeRecord{},
		onViolation:   onViolation,
	}
}

// report counts and logs a violation.
func (c *invariantChecker) report(v violation, q *request, detail string) {
	c.counts[v]++
	c.proxy.log.Error("invariant violated", "violation", violationNames[v],
		"request", q.ID, "class", q.ClassName, "detail", detail)
	if c.onViolation != nil {
		c.onViolation(fmt.Sprintf("%s: request %s of class %s: %s", violationNames[v], q.ID, q.ClassName, detail))
	}
}

// observeEvent records the drains and purges of a watch event. It must be called before the event is applied.
func (c *invariantChecker) observeEvent(ev watch.Event) {
	now := c.proxy.loop.Now()
	c.removeOldRecords(now)
	if ev.Purge != nil && ev.Purge.AtMillis > 0 {
		c.recordPurge(ev.Purge, now)
	}
	if ev.Endpoints != nil {
		c.recordDrains(ev.Endpoints, now)
	}
}

// removeOldRecords forgets old drains, and purges that all caches must have completed, at most once per
// recordSweepInterval.
func (c *invariantChecker) removeOldRecords(now eventloop.Timestamp) {
	if now-c.sweptAt < recordSweepInterval {
		return
	}
	c.sweptAt = now
	maps.DeleteFunc(c.drainingSince, func(_ string, since eventloop.Timestamp) bool { return now-since > drainingRetention })
	retention := c.proxy.config.Policy.PurgeCompletedWithin + purgeRetentionMargin
	maps.DeleteFunc(c.purges, func(_ any, record purgeRecord) bool { return now-record.receivedAt > retention })
}

// recordDrains records which endpoints are draining or removed from now on. A full list removes the endpoints
// that it omits.
func (c *invariantChecker) recordDrains(update *watch.EndpointUpdate, now eventloop.Timestamp) {
	if update.Full {
		for id := range c.proxy.endpoints.startMillis {
			c.markDraining(id, now)
		}
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.State == watch.StateServing {
			delete(c.drainingSince, endpoint.ID)
		} else {
			c.markDraining(endpoint.ID, now)
		}
	}
}

// markDraining records the start of a drain, unless the endpoint is draining already.
func (c *invariantChecker) markDraining(id string, now eventloop.Timestamp) {
	if _, known := c.drainingSince[id]; !known {
		c.drainingSince[id] = now
	}
}

// recordPurge records a purge. The latest purge of an object or group counts.
func (c *invariantChecker) recordPurge(purge *watch.Purge, now eventloop.Timestamp) {
	var key any
	switch {
	case purge.Object != "":
		key = purge.Object
	case purge.Group != nil:
		key = *purge.Group
	default:
		return
	}
	if c.purges[key].createdBefore < purge.AtMillis {
		c.purges[key] = purgeRecord{createdBefore: purge.AtMillis, receivedAt: now}
	}
}

// checkSent checks an attempt when the first byte of its call has been written.
func (c *invariantChecker) checkSent(a *attempt) {
	now := c.proxy.loop.ReadClock()
	for _, id := range []string{a.target, a.source} {
		since, draining := c.drainingSince[id]
		if draining && now-since > drainGracePeriod+checkTolerance {
			c.report(sentToDraining, a.req, id)
		}
	}
	since := a.req.responder.ClientDisconnected().Since
	if since != 0 && now-since > disconnectGracePeriod+checkTolerance {
		c.report(startedAfterDisconnect, a.req, fmt.Sprintf("%v after", now-since))
	}
	a.record.sentAt = now
}

// checkWritten checks an attempt when the last byte of its call has been written. From now on the call may be
// executed.
func (c *invariantChecker) checkWritten(a *attempt) {
	if a.req.idempotency == policy.NonIdempotent && a.req.record.possiblyExecuted {
		c.report(executedTwice, a.req, a.target)
	}
	a.req.record.possiblyExecuted = true
}

// observeEnd clears possiblyExecuted if an attempt's result shows that its call, although written completely, was
// not executed.
func (c *invariantChecker) observeEnd(a *attempt, result policy.Result) {
	switch result {
	case policy.ResultRejected, policy.ResultNotFound, policy.ResultNotSent, policy.ResultConnectFailed:
		if a.written {
			a.req.record.possiblyExecuted = false
		}
	}
}

// checkServed checks that a good answer holds no copy that is older than a purge whose report arrived more than
// PurgeGrace before the call was sent. An answer without a creation time can't be checked.
func (c *invariantChecker) checkServed(a *attempt, ans resp.Answer) {
	if ans.CreatedAtMillis == 0 {
		return
	}
	limit := c.proxy.config.Policy.PurgeGrace + checkTolerance
	for _, key := range []any{a.req.Object, a.req.Group} {
		purge, known := c.purges[key]
		if known && a.record.sentAt-purge.receivedAt > limit && ans.CreatedAtMillis < purge.createdBefore {
			c.report(servedPurged, a.req, fmt.Sprintf("%d ms older than the purge", purge.createdBefore-ans.CreatedAtMillis))
		}
	}
}

// checkFinalAnswer checks that a request gets only one final answer, and that a non-idempotent request that is
// rejected cannot have been executed.
func (c *invariantChecker) checkFinalAnswer(q *request, status Status) {
	q.record.finalAnswers++
	if q.record.finalAnswers > 1 {
		c.report(secondAnswer, q, "")
	}
	rejected := status == Rejected || status == Overloaded
	if rejected && q.idempotency == policy.NonIdempotent && q.record.possiblyExecuted {
		c.report(rejectedAfterExecution, q, "")
	}
}

// checkConnectionClosed checks a request that is given up because its client connection has closed. A
// connection with an open request must not be evicted.
func (c *invariantChecker) checkConnectionClosed(q *request, evicted bool) {
	if evicted && q.record.finalAnswers == 0 {
		c.report(unanswered, q, "connection closed")
	}
}

// writeMetrics writes a line for each invariant.
func (c *invariantChecker) writeMetrics(b *strings.Builder) {
	for v, count := range c.counts {
		fmt.Fprintf(b, "svc_violations{rule=%q} %d\n", violationNames[v], count)
	}
}
