package soak

// checkExecutions checks what must not run twice, and what an answer says of that.
func (o *invariantChecker) checkExecutions(q *Request) {
	if q.Class != classWrite {
		return
	}
	runs, words := o.executions[q.ID], []string{q.ID}
	if runs > 1 {
		o.report("ran twice", q.SentAt, words, "request %s ran %d times", q.ID, runs)
	}
	for _, a := range q.Answers {
		if a.Status == "200" && runs == 0 {
			o.report("served unrun", a.At, words, "request %s was answered as served and never ran", q.ID)
		}
		if a.Rejected() && runs > 0 {
			o.report("refused after run", a.At, words, "request %s was refused and ran", q.ID)
		}
	}
}

// checkRepeats checks that a keyed request is repeated only while its key is known: from the first call that may have run.
func (o *invariantChecker) checkRepeats(q *Request) {
	if q.Class != classKeyed {
		return
	}
	var first *Call
	for _, c := range o.h.Calls {
		if c.ID == q.ID && !c.ReadLate && !neverRan[c.Result] && (first == nil || c.FirstByteAt < first.FirstByteAt) {
			first = c
		}
	}
	for _, c := range o.h.Calls {
		if first != nil && c.ID == q.ID && !c.ReadLate && c.FirstByteAt > first.FirstByteAt+o.h.Limits.DeduplicationWindow+socketSlack+o.h.slack(first.FirstByteAt, c.FirstByteAt) {
			o.report("repeat after window", c.FirstByteAt, []string{q.ID, proxyName(q.Proxy)}, "request %s was repeated %.3f after a call that may have run",
				q.ID, (c.FirstByteAt - first.FirstByteAt).Seconds())
		}
	}
}
