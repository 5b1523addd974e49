package soak

import (
	"slices"
	"time"
)

const (
	// cancelGrace is the time after a client's cancellation of a request in which a call for it may still begin.
	cancelGrace = 100 * time.Millisecond
	// deadlineSlack is the maximum time by which the deadline of a call may be later than the client's deadline.
	deadlineSlack = 150 * time.Millisecond
)

// callTimeUncertainty is the maximum error, in either direction, of the time between an event and a call's first
// byte: TCP_INFO gives the byte's arrival in the system's clock ticks of up to 10 ms, and the event's own time is
// taken while the event is being published.
const callTimeUncertainty = 20 * time.Millisecond

// checkCall checks the rules on when and where a call may be sent. They do not apply to a call that the server
// read late, because the time at which it was sent is unknown.
func (c *historyChecker) checkCall(call *Call) {
	req := c.requests[call.ID]
	if req == nil {
		c.report("unknown call", call.FirstByteAt, []string{call.ID}, "%s got a call for a request that no client sent", call.Server)
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

// checkCancelled checks that no call begins more than cancelGrace after the client has cancelled the request.
func (c *historyChecker) checkCancelled(req *Request, call *Call, keywords []string) {
	if req.CancelledAt == 0 {
		return
	}
	lastAllowed := req.CancelledAt + cancelGrace + c.history.observationSlack(req.CancelledAt, call.FirstByteAt)
	if call.FirstByteAt > lastAllowed {
		elapsed := call.FirstByteAt - req.CancelledAt
		c.report("begun after left", call.FirstByteAt, keywords,
			"a call for request %s began at %s %.3f s after its client had cancelled it",
			call.ID, call.Server, elapsed.Seconds())
	}
}

// checkDeadline checks that a call gives the server no more time than the client has left.
func (c *historyChecker) checkDeadline(req *Request, call *Call, keywords []string) {
	remaining := req.SentAt + req.Timeout - call.CompleteAt
	if req.SentAt != 0 && call.Timeout > remaining+deadlineSlack+c.history.observationSlack(req.SentAt, call.CompleteAt) {
		c.report("deadline", call.CompleteAt, keywords,
			"a call for request %s gives its server %v when its client has %v left", call.ID, call.Timeout, remaining)
	}
}

// checkDrain checks that no call goes to a server, or names it as its fill source, later than DrainGrace after
// the proxy was notified that the server is draining or removed.
func (c *historyChecker) checkDrain(req *Request, call *Call, server string, keywords []string) {
	since, withdrawn := c.withdrawnSince(server, req, call.FirstByteAt)
	if !withdrawn {
		return
	}
	lastAllowed := since + c.history.Limits.DrainGrace + socketSlack + c.history.observationSlack(since, call.FirstByteAt)
	if call.FirstByteAt > lastAllowed {
		c.report("drain", call.FirstByteAt, keywords,
			"a call for request %s went to or named %s %.3f s after its proxy was notified of its drain or removal",
			call.ID, server, (call.FirstByteAt - since).Seconds())
	}
}

// withdrawnSince reports whether a server is draining or removed at a given time. If it is, since is the time at
// which the process that handled the request counts as notified of that (see notifiedAt). Events published up to
// callTimeUncertainty after the given time are included.
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
