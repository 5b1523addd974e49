package soak

import (
	"fmt"
	"time"
)

// checkIncarnation checks one checkIncarnation by the rules on starts, ends and limits.
func (o *invariantChecker) checkIncarnation(l *Incarnation) {
	who := fmt.Sprintf("proxy %d, life %d", l.Proxy, l.Number)
	words := []string{proxyName(l.Proxy)}
	due := l.whileRunning(l.StartedAt, readyWithin)
	ended := func(at time.Duration) bool { return at != 0 && at < due }
	if (l.ReadyAt == 0 || l.ReadyAt > due) && !ended(l.KilledAt) && !ended(l.SigtermAt) && !ended(l.ExitedAt) {
		o.report("not ready", l.StartedAt, words, "%s was not ready in time", who)
	}
	if l.ExitedAt != 0 && (l.SigtermAt == 0 || l.ExitedAt < l.SigtermAt) && l.KilledAt == 0 {
		o.report("crash", l.ExitedAt, words, "%s ended by itself: %s", who, l.ExitError)
	}
	if l.SigtermAt != 0 && l.KilledAt == 0 && l.ExitedAt > l.SigtermAt && l.ExitError != "" {
		o.report("bad end", l.SigtermAt, words, "%s ended with %q after SIGTERM", who, l.ExitError)
	}
	if l.SigtermAt != 0 && l.KilledAt > l.SigtermAt {
		o.report("late end", l.KilledAt, words, "%s had to be killed %.3f after SIGTERM", who, (l.KilledAt - l.SigtermAt).Seconds())
	}
	if l.PeakMemoryKB > o.h.Limits.MemoryKB {
		o.report("memory", l.ExitedAt, words, "%s held %d KB", who, l.PeakMemoryKB)
	}
	if l.PeakDescriptors > o.h.Limits.Descriptors {
		o.report("descriptors", l.ExitedAt, words, "%s held %d descriptors", who, l.PeakDescriptors)
	}
}
