package soak

import (
	"slices"
	"time"
)

const (
	// cancelGrace is how long after its client has cancelled a request a call of it may begin.
	cancelGrace = 100 * time.Millisecond
	// deadlineSlack is how much later than the client's the deadline of a call may be.
	deadlineSlack = 150 * time.Millisecond
)

// callTimeUncertainty is by how much a call's first byte may have been seen too early or too late: TCP_INFO tells
// its arrival in the system's clock ticks of up to 10 ms, and the event's own time is taken as it is published.
const callTimeUncertainty = 20 * time.Millisecond

// checkCall checks the rules on when and where a call may be sent. They do not apply to a call that its
// server read late, as the time of its sending is unknown.
func (c *historyChecker) checkCall(call *Call) {
	req := c.requests[call.ID]
	if req == nil {
		c.report("unknown call", call.FirstByteAt, []string{call.ID}, "%s got a call that no client sent", call.Server)
		return
	}
	if call.ReadLate {
		return
	}
	keywords := []string{call.ID, call.Server, proxyName(req.Proxy)}
	c.checkCancelled(req, call, keywords)
	c.checkDeadline(req, call, keywords)
	c.checkDrain(req, call, call.Server, keywords)
	c.checkDrain(req, call, call.FillSource, keywords)
}

// checkCancelled checks that no call begins more than cancelGrace after its client cancelled the request.
func (c *historyChecker) checkCancelled(req *Request, call *Call, keywords []string) {
	if req.CancelledAt == 0 {
		return
	}
	last := req.CancelledAt + cancelGrace + c.history.observationSlack(req.CancelledAt, call.FirstByteAt)
	if call.FirstByteAt > last {
		since := call.FirstByteAt - req.CancelledAt
		c.report("begun after left", call.FirstByteAt, keywords, "request %s began at %s %.3f after its client had cancelled it",
			call.ID, call.Server, since.Seconds())
	}
}

// checkDeadline checks that a call gives its server no more time than its client has left.
func (c *historyChecker) checkDeadline(req *Request, call *Call, keywords []string) {
	remaining := req.SentAt + req.Timeout - call.CompleteAt
	if req.SentAt != 0 && call.Timeout > remaining+deadlineSlack+c.history.observationSlack(req.SentAt, call.CompleteAt) {
		c.report("deadline", call.CompleteAt, keywords,
			"request %s gives its server %v when its client has %v left", call.ID, call.Timeout, remaining)
	}
}

// checkDrain checks that a call neither goes to nor names a server for longer than the grace period after its
// proxy was notified that the server is draining or removed.
func (c *historyChecker) checkDrain(req *Request, call *Call, server string, keywords []string) {
	since, withdrawn := c.withdrawnSince(server, req, call.FirstByteAt)
	if !withdrawn {
		return
	}
	last := since + c.history.Limits.DrainGrace + socketSlack + c.history.observationSlack(since, call.FirstByteAt)
	if call.FirstByteAt > last {
		c.report("drain", call.FirstByteAt, keywords, "request %s went to or named %s %.3f after its proxy was notified of its drain or removal",
			call.ID, server, (call.FirstByteAt - since).Seconds())
	}
}

// withdrawnSince returns since when, at a moment, the process of a request counts as notified that a server
// is draining or removed. What was published within the uncertainty of that moment counts as published before.
func (c *historyChecker) withdrawnSince(server string, req *Request, at time.Duration) (since time.Duration, withdrawn bool) {
	if server == "" {
		return 0, false
	}
	for _, e := range c.history.Events {
		if e.PublishedAt > at+callTimeUncertainty {
			continue
		}
		if slices.Contains(e.Serving, server) {
			withdrawn = false
		} else if slices.Contains(e.Withdrawn, server) && !withdrawn {
			since = c.notifiedAt(e, req)
			withdrawn = true
		}
	}
	return since, withdrawn
}
