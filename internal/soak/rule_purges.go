package soak

import (
	"strings"
)

// checkPurges checks that nothing was served from a copy that a purge had made void before the call was sent.
func (o *invariantChecker) checkPurges(q *Request) {
	for _, a := range q.Answers {
		serial, _, _ := strings.Cut(a.Body, " ")
		c := o.serials[serial]
		if a.Status != "200" || c == nil || c.ReadLate || c.CopyMadeAt.IsZero() || c.ID != q.ID {
			continue
		}
		for _, e := range o.h.Events {
			if e.PurgedBefore.IsZero() || e.PurgedObject != q.Object && e.PurgedGroup != q.Group || !c.CopyMadeAt.Before(e.PurgedBefore) {
				continue
			}
			if told := o.notifiedAt(e, q); c.FirstByteAt > told+o.h.Limits.PurgeGrace+socketSlack+o.h.slack(told, c.FirstByteAt) {
				words := []string{q.ID, c.Server, q.Object, proxyName(q.Proxy)}
				o.report("purged copy", c.FirstByteAt, words, "request %s was sent %.3f after it was told of a purge, and served from a copy %v older",
					q.ID, (c.FirstByteAt - told).Seconds(), e.PurgedBefore.Sub(c.CopyMadeAt))
			}
		}
	}
}
