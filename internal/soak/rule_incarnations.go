package soak

import (
	"fmt"
	"time"
)

const (
	// maxReadyDelay is how long a process may take to be ready.
	maxReadyDelay = 10 * time.Second
	// killDelay is how long after SIGTERM and the longest deadline a process is killed.
	killDelay = 700 * time.Millisecond
)

// String names the process in violations.
func (i *Incarnation) String() string {
	return fmt.Sprintf("proxy %d, incarnation %d", i.Proxy, i.Number)
}

// checkIncarnation checks the rules on one process: its start, its exit and its limits.
func (c *historyChecker) checkIncarnation(i *Incarnation) {
	words := []string{proxyName(i.Proxy)}
	c.checkReady(i, words)
	c.checkExit(i, words)
	c.checkResources(i, words)
}

// checkReady checks that a process is ready in time, unless it ended before.
func (c *historyChecker) checkReady(i *Incarnation, words []string) {
	due := i.afterRunningFor(i.StartedAt, maxReadyDelay)
	isBeforeDue := func(at time.Duration) bool { return at != 0 && at < due }
	endedBefore := isBeforeDue(i.KilledAt) || isBeforeDue(i.SigtermAt) || isBeforeDue(i.ExitedAt)
	inTime := i.ReadyAt != 0 && i.ReadyAt <= due
	if !inTime && !endedBefore {
		c.report("not ready", i.StartedAt, words, "%v was not ready in time", i)
	}
}

// checkExit checks that a process exits only when it is ordered to, after SIGTERM without an error, and in
// time.
func (c *historyChecker) checkExit(i *Incarnation, words []string) {
	beforeSigterm := i.SigtermAt == 0 || i.ExitedAt < i.SigtermAt
	if i.ExitedAt != 0 && beforeSigterm && i.KilledAt == 0 {
		c.report("crash", i.ExitedAt, words, "%v exited by itself: %s", i, i.ExitError)
	}
	if i.SigtermAt != 0 && i.KilledAt == 0 && i.ExitedAt > i.SigtermAt && i.ExitError != "" {
		c.report("bad end", i.SigtermAt, words, "%v exited with %q after SIGTERM", i, i.ExitError)
	}
	if i.SigtermAt != 0 && i.KilledAt > i.SigtermAt {
		c.report("late end", i.KilledAt, words, "%v had to be killed %.3f after SIGTERM", i, (i.KilledAt - i.SigtermAt).Seconds())
	}
}

// checkResources checks that a process stays within its memory and descriptors.
func (c *historyChecker) checkResources(i *Incarnation, words []string) {
	if i.PeakMemoryKB > c.history.Limits.MemoryKB {
		c.report("memory", i.ExitedAt, words, "%v used %d KB", i, i.PeakMemoryKB)
	}
	if i.PeakDescriptors > c.history.Limits.Descriptors {
		c.report("descriptors", i.ExitedAt, words, "%v used %d descriptors", i, i.PeakDescriptors)
	}
}
