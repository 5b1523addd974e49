package soak

// checkExecutions checks that a write is executed at most once, that it was executed if it is answered with 200,
// and that it was not executed if it is rejected.
func (c *historyChecker) checkExecutions(req *Request) {
	if req.Class != classWrite {
		return
	}
	executions := c.executions[req.ID]
	keywords := []string{req.ID}
	if executions > 1 {
		c.report("ran twice", req.SentAt, keywords, "request %s was executed %d times", req.ID, executions)
	}
	for _, a := range req.Answers {
		if a.Status == "200" && executions == 0 {
			c.report("served unrun", a.At, keywords, "request %s was answered with 200 but never executed", req.ID)
		}
		if a.Rejected() && executions > 0 {
			c.report("refused after run", a.At, keywords, "request %s was rejected but executed", req.ID)
		}
	}
}

// checkRepeats checks that a request with an idempotency key is repeated only while servers remember the key:
// within DeduplicationWindow after the first call that may have been executed.
func (c *historyChecker) checkRepeats(req *Request) {
	if req.Class != classKeyed {
		return
	}
	firstCall := c.firstPossibleExecution(req)
	if firstCall == nil {
		return
	}
	for _, call := range c.history.Calls {
		if call.ID != req.ID || call.ReadLate {
			continue
		}
		lastAllowed := firstCall.FirstByteAt + c.history.Limits.DeduplicationWindow + socketSlack +
			c.history.observationSlack(firstCall.FirstByteAt, call.FirstByteAt)
		if call.FirstByteAt > lastAllowed {
			elapsed := call.FirstByteAt - firstCall.FirstByteAt
			c.report("repeat after window", call.FirstByteAt, []string{req.ID, proxyName(req.Proxy)},
				"request %s was repeated %.3f s after a call that may have been executed", req.ID, elapsed.Seconds())
		}
	}
}

// firstPossibleExecution returns the first call for a request that may have been executed, or nil if there is
// none.
func (c *historyChecker) firstPossibleExecution(req *Request) (firstCall *Call) {
	for _, call := range c.history.Calls {
		if call.ID != req.ID || call.ReadLate || provesNotExecuted(call.Result) {
			continue
		}
		if firstCall == nil || call.FirstByteAt < firstCall.FirstByteAt {
			firstCall = call
		}
	}
	return firstCall
}

// provesNotExecuted reports whether an answer's result word proves that its call was not executed.
func provesNotExecuted(result string) bool {
	return result == "overload" || result == "not_here" || result == "nobody"
}
