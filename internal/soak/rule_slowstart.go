package soak

import (
	"slices"
)

// checkSlowStart checks what a server that has started was sent in each window.
func (o *invariantChecker) checkSlowStart(s ServerStart) {
	l := o.h.Limits
	var sent []*Call
	for _, c := range o.h.Calls {
		if c.Server == s.Server && c.FirstByteAt >= s.At && c.FirstByteAt < s.At+l.SlowStartDuration && !c.ReadLate {
			sent = append(sent, c)
		}
	}
	slices.SortFunc(sent, func(a, b *Call) int { return int(a.FirstByteAt - b.FirstByteAt) })
	for i, last := range sent {
		warm := l.SlowStartCapacity + (1-l.SlowStartCapacity)*float64(last.FirstByteAt-s.At)/float64(l.SlowStartDuration)
		allowed := slowStartAllowance(l.OverloadMultiple * l.LinkTransfers * warm * l.OverloadWindow.Seconds() / l.TransferTime.Seconds())
		count, told := 0, 0
		for _, c := range sent[:i+1] {
			if c.FirstByteAt > last.FirstByteAt-l.OverloadWindow {
				count++
				if o.knewOfStart(s, c) {
					told++
				}
			}
		}
		if float64(count) > allowed && float64(told) >= 2*float64(count)/3 {
			o.report("cold start", last.FirstByteAt, []string{s.Server}, "%s got %d calls within %v, %.1f allowed, %d from proxies that knew of its start",
				s.Server, count, l.OverloadWindow, allowed, told)
			return
		}
	}
}

func (o *invariantChecker) knewOfStart(s ServerStart, c *Call) bool {
	q := o.requests[c.ID]
	for _, e := range o.h.Events {
		if q != nil && e.Index == s.EventIndex {
			return c.FirstByteAt > o.notifiedAt(e, q)
		}
	}
	return false
}
