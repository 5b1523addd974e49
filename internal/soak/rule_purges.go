package soak

import "strings"

// checkPurges checks that no request is served from a copy that a purge covers, if its call was sent more
// than the grace period after the proxy was notified of the purge.
func (c *historyChecker) checkPurges(q *Request) {
	for _, a := range q.Answers {
		call := c.callOf(q, a)
		if call == nil || call.ReadLate || call.CopyMadeAt.IsZero() {
			continue
		}
		for _, e := range c.history.Events {
			if e.purges(q, call) {
				c.checkPurgeGrace(q, call, e)
			}
		}
	}
}

// callOf is the call that served an answer; nil: the answer is no success, or names no call of its request.
func (c *historyChecker) callOf(q *Request, a FinalAnswer) *Call {
	serial, _, _ := strings.Cut(a.Body, " ")
	call := c.callsBySerial[serial]
	if a.Status != "200" || call == nil || call.ID != q.ID {
		return nil
	}
	return call
}

// purges reports whether an event purges the copy that served a call of a request.
func (e *WatchEvent) purges(q *Request, call *Call) bool {
	if e.PurgedBefore.IsZero() {
		return false
	}
	matches := e.PurgedObject == q.Object || e.PurgedGroup == q.Group
	return matches && call.CopyMadeAt.Before(e.PurgedBefore)
}

func (c *historyChecker) checkPurgeGrace(q *Request, call *Call, e *WatchEvent) {
	notified := c.notifiedAt(e, q)
	last := notified + c.history.Limits.PurgeGrace + socketSlack + c.history.observationSlack(notified, call.FirstByteAt)
	if call.FirstByteAt <= last {
		return
	}
	since := call.FirstByteAt - notified
	words := []string{q.ID, call.Server, q.Object, proxyName(q.Proxy)}
	c.report("purged copy", call.FirstByteAt, words,
		"request %s was sent %.3f after its proxy was notified of a purge, and served from a copy %v older",
		q.ID, since.Seconds(), e.PurgedBefore.Sub(call.CopyMadeAt))
}
