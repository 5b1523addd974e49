package soak

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// checkSlowStart checks that a server that has started gets no more calls in any window than its capacity at
// that time allows. The capacity grows linearly from SlowStartCapacity to 1 in SlowStartDuration. The rule
// applies where at least two thirds of the calls come from notified proxies: the others can't know that the
// server has started. It reports the first violation alone.
func (c *historyChecker) checkSlowStart(start ServerStart) {
	calls := c.callsDuringSlowStart(start)
	for i, last := range calls {
		allowed := c.slowStartAllowance(last.FirstByteAt - start.At)
		count, notified := c.countInWindow(start, calls[:i+1])
		enoughNotified := float64(notified) >= 2*float64(count)/3
		if float64(count) > allowed && enoughNotified {
			c.report("cold start", last.FirstByteAt, []string{start.Server},
				"%s got %d calls within %v, %.1f allowed, %d from proxies that were notified of its start",
				start.Server, count, c.history.Limits.OverloadWindow, allowed, notified)
			return
		}
	}
}

// callsDuringSlowStart are the calls that a server read during its slow start, in the order of their first
// bytes.
func (c *historyChecker) callsDuringSlowStart(start ServerStart) (calls []*Call) {
	for _, call := range c.history.Calls {
		inSlowStart := call.FirstByteAt >= start.At && call.FirstByteAt < start.At+c.history.Limits.SlowStartDuration
		if call.Server == start.Server && inSlowStart && !call.ReadLate {
			calls = append(calls, call)
		}
	}
	slices.SortFunc(calls, func(a, b *Call) int { return cmp.Compare(a.FirstByteAt, b.FirstByteAt) })
	return calls
}

// countInWindow counts the calls in the window that ends with the last one, and those of them whose proxy was
// notified of the server's start.
func (c *historyChecker) countInWindow(start ServerStart, calls []*Call) (count, notified int) {
	windowStart := calls[len(calls)-1].FirstByteAt - c.history.Limits.OverloadWindow
	for _, call := range calls {
		if call.FirstByteAt <= windowStart {
			continue
		}
		count++
		if c.knewOfStart(start, call) {
			notified++
		}
	}
	return count, notified
}

// The margin of slowStartAllowance for n calls is a multiple of sqrt(n), the standard deviation of a count,
// and a summand. Small counts vary more in proportion, so that fewer than fewCalls get a larger margin.
const (
	fewCalls = 30

	marginDeviations = 2.0 // multiple of sqrt(n)
	marginCalls      = 2.0 // summand, in calls

	fewCallsMarginDeviations = 3.0
	fewCallsMarginCalls      = 3.0
)

// slowStartAllowance is how many calls in a window a server may get when it has run for some time. The
// operators' rule has no number of calls, but a sum of costs: see docs/questions.md, 'N of the slow-start
// rule'. All objects of a run have one size, so that each call costs one TransferTime. Proxies share the
// capacity without knowing of each other's calls, so a margin for the variance of the count is added.
func (c *historyChecker) slowStartAllowance(running time.Duration) float64 {
	l := c.history.Limits
	capacity := l.SlowStartCapacity + (1-l.SlowStartCapacity)*float64(running)/float64(l.SlowStartDuration)
	calls := l.OverloadMultiple * l.LinkTransfers * capacity * l.OverloadWindow.Seconds() / l.TransferTime.Seconds()
	if calls < fewCalls {
		return calls + fewCallsMarginDeviations*math.Sqrt(calls) + fewCallsMarginCalls
	}
	return calls + marginDeviations*math.Sqrt(calls) + marginCalls
}

// knewOfStart reports whether the proxy of a call had been notified of a server's start when it sent the
// call.
func (c *historyChecker) knewOfStart(start ServerStart, call *Call) bool {
	req := c.requests[call.ID]
	if req == nil {
		return false
	}
	for _, e := range c.history.Events {
		if e.Index == start.EventIndex {
			return call.FirstByteAt > c.notifiedAt(e, req)
		}
	}
	return false
}
