package soak

import "strings"

// checkPurges checks that no request is served from a purged copy if its call was sent later than PurgeGrace
// after the proxy was notified of the purge.
func (c *historyChecker) checkPurges(req *Request) {
	for _, a := range req.Answers {
		call := c.callOf(req, a)
		if call == nil || call.ReadLate || call.CopyMadeAt.IsZero() {
			continue
		}
		for _, e := range c.history.Events {
			if e.purges(req, call) {
				c.checkPurgeGrace(req, call, e)
			}
		}
	}
}

// callOf returns the call that served an answer, or nil if the answer is not a 200 or names no call for the
// request.
func (c *historyChecker) callOf(req *Request, a FinalAnswer) *Call {
	serial, _, _ := strings.Cut(a.Body, " ")
	call := c.callsBySerial[serial]
	if a.Status != "200" || call == nil || call.ID != req.ID {
		return nil
	}
	return call
}

// purges reports whether an event purges the copy that served a call of a request.
func (e *WatchEvent) purges(req *Request, call *Call) bool {
	if e.PurgedBefore.IsZero() {
		return false
	}
	matches := e.PurgedObject == req.Object || e.PurgedGroup == req.Group
	return matches && call.CopyMadeAt.Before(e.PurgedBefore)
}

// checkPurgeGrace reports a call that was sent later than PurgeGrace after the proxy was notified of a purge of
// the copy that served it.
func (c *historyChecker) checkPurgeGrace(req *Request, call *Call, e *WatchEvent) {
	notifiedTime := c.notifiedAt(e, req)
	lastAllowed := notifiedTime + c.history.Limits.PurgeGrace + socketSlack +
		c.history.observationSlack(notifiedTime, call.FirstByteAt)
	if call.FirstByteAt <= lastAllowed {
		return
	}
	elapsed := call.FirstByteAt - notifiedTime
	keywords := []string{req.ID, call.Server, req.Object, proxyName(req.Proxy)}
	c.report("purged copy", call.FirstByteAt, keywords,
		"request %s was sent %.3f s after its proxy was notified of a purge, and served from a copy made %v before the purge",
		req.ID, elapsed.Seconds(), e.PurgedBefore.Sub(call.CopyMadeAt))
}
