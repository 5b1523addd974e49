package soak

import (
	"fmt"
	"time"
)

const (
	// maxReadyDelay is the maximum time that a process may take to become ready.
	maxReadyDelay = 10 * time.Second
	// killDelay is added to the longest deadline to get the time between SIGTERM and a kill.
	killDelay = 700 * time.Millisecond
)

// String names the process in violations.
func (inc *Incarnation) String() string {
	return fmt.Sprintf("proxy %d, incarnation %d", inc.Proxy, inc.Number)
}

// checkIncarnation checks the rules on one process: its start, its exit and its limits.
func (c *historyChecker) checkIncarnation(inc *Incarnation) {
	keywords := []string{proxyName(inc.Proxy)}
	c.checkReady(inc, keywords)
	c.checkExit(inc, keywords)
	c.checkResources(inc, keywords)
}

// checkReady checks that a process is ready within maxReadyDelay, unless it exited or was sent
// SIGTERM or SIGKILL before that.
func (c *historyChecker) checkReady(inc *Incarnation, keywords []string) {
	due := inc.afterRunningFor(inc.StartedAt, maxReadyDelay)
	isBeforeDue := func(at time.Duration) bool { return at != 0 && at < due }
	endedBeforeDue := isBeforeDue(inc.KilledAt) || isBeforeDue(inc.SigtermAt) || isBeforeDue(inc.ExitedAt)
	readyInTime := inc.ReadyAt != 0 && inc.ReadyAt <= due
	if !readyInTime && !endedBeforeDue {
		c.report("not ready", inc.StartedAt, keywords, "%v was not ready in time", inc)
	}
}

// checkExit checks that a process exits only after SIGTERM or a kill, and that after SIGTERM it exits without an
// error and does not have to be killed.
func (c *historyChecker) checkExit(inc *Incarnation, keywords []string) {
	exitedBeforeSigterm := inc.SigtermAt == 0 || inc.ExitedAt < inc.SigtermAt
	if inc.ExitedAt != 0 && exitedBeforeSigterm && inc.KilledAt == 0 {
		c.report("crash", inc.ExitedAt, keywords, "%v exited by itself: %s", inc, inc.ExitError)
	}
	if inc.SigtermAt != 0 && inc.KilledAt == 0 && inc.ExitedAt > inc.SigtermAt && inc.ExitError != "" {
		c.report("bad end", inc.SigtermAt, keywords, "%v exited with %q after SIGTERM", inc, inc.ExitError)
	}
	if inc.SigtermAt != 0 && inc.KilledAt > inc.SigtermAt {
		c.report("late end", inc.KilledAt, keywords, "%v had to be killed %.3f s after SIGTERM",
			inc, (inc.KilledAt - inc.SigtermAt).Seconds())
	}
}

// checkResources checks that a process stays within its limits on memory and file descriptors.
func (c *historyChecker) checkResources(inc *Incarnation, keywords []string) {
	if inc.PeakMemoryKB > c.history.Limits.MemoryKB {
		c.report("memory", inc.ExitedAt, keywords, "%v used %d KB", inc, inc.PeakMemoryKB)
	}
	if inc.PeakDescriptors > c.history.Limits.Descriptors {
		c.report("descriptors", inc.ExitedAt, keywords, "%v used %d descriptors", inc, inc.PeakDescriptors)
	}
}
