package soak

import (
	"slices"
	"time"
)

// checkCall checks one checkCall by the rules on sending.
func (o *invariantChecker) checkCall(c *Call) {
	q := o.requests[c.ID]
	if q == nil {
		o.report("unknown call", c.FirstByteAt, []string{c.ID}, "%s got a call that no client sent", c.Server)
		return
	}
	if c.ReadLate { // it is not known when it was sent
		return
	}
	words := []string{c.ID, c.Server, proxyName(q.Proxy)}
	if q.CanceledAt != 0 && c.FirstByteAt > q.CanceledAt+cancelGrace+o.h.slack(q.CanceledAt, c.FirstByteAt) {
		o.report("begun after left", c.FirstByteAt, words, "request %s began at %s %.3f after its client had left",
			c.ID, c.Server, (c.FirstByteAt - q.CanceledAt).Seconds())
	}
	if left := q.SentAt + q.Timeout - c.CompleteAt; q.SentAt != 0 && c.Timeout > left+deadlineSlack+o.h.slack(q.SentAt, c.CompleteAt) {
		o.report("deadline", c.CompleteAt, words, "request %s passes on %v when its client has %v left", c.ID, c.Timeout, left)
	}
	for _, server := range []string{c.Server, c.Source} {
		if since, leaving := o.withdrawnSince(server, q, c.FirstByteAt); leaving && c.FirstByteAt > since+o.h.Limits.DrainGrace+socketSlack+o.h.slack(since, c.FirstByteAt) {
			o.report("drain", c.FirstByteAt, words, "request %s went to or named %s %.3f after its proxy was told that it leaves",
				c.ID, server, (c.FirstByteAt - since).Seconds())
		}
	}
}

// withdrawnSince tells since when a server counts as draining or gone at a time, to the process of a request.
func (o *invariantChecker) withdrawnSince(server string, q *Request, at time.Duration) (since time.Duration, leaving bool) {
	for _, e := range o.h.Events {
		switch {
		case server == "" || e.PublishedAt > at:
		case slices.Contains(e.Serving, server):
			leaving = false
		case slices.Contains(e.Withdrawn, server) && !leaving:
			since, leaving = o.notifiedAt(e, q), true
		}
	}
	return since, leaving
}
