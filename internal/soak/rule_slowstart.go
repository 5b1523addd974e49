package soak

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// checkSlowStart checks that a server that has started gets no more calls in any OverloadWindow than its
// capacity at that time allows. The capacity grows linearly from SlowStartCapacity to 1 within
// SlowStartDuration. The rule applies to windows in which at least two thirds of the calls come from notified
// proxies, because the others can't know that the server has started. Only the first violation is reported.
func (c *historyChecker) checkSlowStart(start ServerStart) {
	calls := c.callsDuringSlowStart(start)
	for i, lastCall := range calls {
		allowance := c.slowStartAllowance(lastCall.FirstByteAt - start.At)
		count, notifiedCount := c.countInWindow(start, calls[:i+1])
		enoughNotified := float64(notifiedCount) >= 2*float64(count)/3
		if float64(count) > allowance && enoughNotified {
			c.report("cold start", lastCall.FirstByteAt, []string{start.Server},
				"%s got %d calls within %v, %.1f allowed, %d from proxies that were notified of its start",
				start.Server, count, c.history.Limits.OverloadWindow, allowance, notifiedCount)
			return
		}
	}
}

// callsDuringSlowStart returns the calls that a server got during its slow start, ordered by the arrival of
// their first bytes. Calls that it read late are left out.
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

// countInWindow counts the calls in the OverloadWindow that ends with the last call, and those among them whose
// proxy had been notified of the server's start.
func (c *historyChecker) countInWindow(start ServerStart, calls []*Call) (count, notifiedCount int) {
	windowStart := calls[len(calls)-1].FirstByteAt - c.history.Limits.OverloadWindow
	for _, call := range calls {
		if call.FirstByteAt <= windowStart {
			continue
		}
		count++
		if c.wasNotifiedOfStart(start, call) {
			notifiedCount++
		}
	}
	return count, notifiedCount
}

// For n calls, slowStartAllowance adds a margin: a multiple of sqrt(n), the standard deviation of a count, plus a
// constant. Small counts vary more in proportion, so counts below fewCalls get a larger margin.
const (
	fewCalls = 30

	marginDeviations = 2.0 // multiple of sqrt(n)
	marginCalls      = 2.0 // constant part, in calls

	fewCallsMarginDeviations = 3.0
	fewCallsMarginCalls      = 3.0
)

// slowStartAllowance returns how many calls a server that has run for a given time may get in an OverloadWindow.
// The operators' rule limits a sum of costs, not a number of calls: see docs/questions.md, 'N of the slow-start
// rule'. All objects of a run have the same size, so each call costs one TransferTime. Proxies share the capacity
// without knowing of each other's calls, so a margin for the variance of the count is added.
func (c *historyChecker) slowStartAllowance(uptime time.Duration) float64 {
	limits := c.history.Limits
	capacity := limits.SlowStartCapacity + (1-limits.SlowStartCapacity)*float64(uptime)/float64(limits.SlowStartDuration)
	calls := limits.OverloadMultiple * limits.LinkTransfers * capacity * limits.OverloadWindow.Seconds() /
		limits.TransferTime.Seconds()
	if calls < fewCalls {
		return calls + fewCallsMarginDeviations*math.Sqrt(calls) + fewCallsMarginCalls
	}
	return calls + marginDeviations*math.Sqrt(calls) + marginCalls
}

// wasNotifiedOfStart reports whether the proxy that sent a call had been notified of the server's start before.
func (c *historyChecker) wasNotifiedOfStart(start ServerStart, call *Call) bool {
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
