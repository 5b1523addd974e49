package soak

import (
	"fmt"
	"time"
)

const (
	// maxDrainHold is the time after the order to drain at which no connection may be held idle, or with a request from the
	// last maxDrainRequestAge.
	maxDrainHold       = 4 * time.Second
	maxDrainRequestAge = 2 * time.Second
	// maxReadyAfterDrain is the longest time from the end of a drain until the proxy is ready.
	maxReadyAfterDrain = 2 * time.Second
	// minAgeAtDrainLimit is the age from which a connection counts at maxDrainHold. Clients do not connect by then, but
	// those of a crowd do.
	minAgeAtDrainLimit = time.Second
)

// checkProxyDrain checks that a proxy that drains is not ready, holds no connection past its time, and is ready again after
// the drain.
func (c *historyChecker) checkProxyDrain(drain *Drain) {
	subject := fmt.Sprintf("proxy %d, incarnation %d, told to drain at %.3f s", drain.Proxy, drain.Incarnation, drain.OrderedAt.Seconds())
	keywords := []string{proxyName(drain.Proxy)}
	if drain.ReadyAt != 0 {
		c.report("ready in a drain", drain.ReadyAt, keywords, "%s was ready", subject)
	}
	incarnation := c.history.incarnation(drain.Proxy, drain.Incarnation)
	if incarnation == nil {
		return
	}
	if drain.EndOrderedAt != 0 && incarnation.SigtermAt == 0 && incarnation.KilledAt == 0 {
		due := incarnation.afterRunningFor(drain.EndOrderedAt, maxReadyAfterDrain)
		due += c.history.observationSlack(drain.EndOrderedAt, due)
		if drain.ReadyAgainAt == 0 || drain.ReadyAgainAt > due {
			c.report("not ready after a drain", due, keywords, "%s was not ready in time after its end", subject)
		}
	}
	c.checkDrainedConns(drain, incarnation, subject)
}

// checkDrainedConns checks the connections that are held at the time limit of a drain that lasts until then.
func (c *historyChecker) checkDrainedConns(drain *Drain, incarnation *Incarnation, subject string) {
	limit := incarnation.afterRunningFor(drain.OrderedAt, maxDrainHold)
	endsBefore := func(at time.Duration) bool { return at != 0 && at <= limit }
	if endsBefore(drain.EndOrderedAt) || endsBefore(incarnation.ExitedAt) || endsBefore(incarnation.KilledAt) {
		return
	}
	heldUntil := limit + socketSlack + c.history.observationSlack(drain.OrderedAt, limit)
	for _, conn := range c.history.Conns {
		belongs := conn.Proxy == drain.Proxy && conn.Incarnation == drain.Incarnation
		isOpen := conn.OpenedAt < limit-minAgeAtDrainLimit && (conn.EndedAt == 0 || conn.EndedAt > heldUntil)
		if !belongs || !isOpen {
			continue
		}
		if use, forbidden := conn.useAt(limit); forbidden {
			keywords := []string{proxyName(drain.Proxy)}
			c.report("held", limit, keywords, "%s held a connection that was opened at %.3f s (%s): %s",
				subject, conn.OpenedAt.Seconds(), conn.Habit, use)
		}
	}
}

// useAt describes how the connection was used at a moment of a drain, and reports whether it must not be held then: no
// request was open, or one was from the last maxDrainRequestAge.
func (conn *Conn) useAt(at time.Duration) (use string, forbidden bool) {
	hasOpenRequest := false
	for _, req := range conn.Requests {
		if req.SentAt == 0 || req.SentAt >= at {
			continue
		}
		if req.SentAt > at-maxDrainRequestAge {
			return fmt.Sprintf("request %s was %.3f s old", req.ID, (at - req.SentAt).Seconds()), true
		}
		answered := len(req.Answers) > 0 && req.Answers[0].At <= at
		cancelled := req.CancelledAt != 0 && req.CancelledAt <= at
		hasOpenRequest = hasOpenRequest || !answered && !cancelled
	}
	return "idle", !hasOpenRequest
}
