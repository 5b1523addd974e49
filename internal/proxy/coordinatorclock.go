package proxy

// This file holds the comparison of the process's clock with the coordinator's.

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

const (
	// maxReportDelay is how long after a purge its event is published at most in normal operation.
	maxReportDelay = 500 * time.Millisecond
	// maxBoundAge is how long a bound holds: a wrong or late time has no effect after it.
	maxBoundAge = 10 * time.Second
	// minCorrection is the smallest change of the offset that is applied.
	minCorrection = 200 * time.Millisecond
)

// coordinatorClock converts between the loop's time and the coordinator's, which reports Unix times.
//
// The loop's time was set from the machine's wall clock when the process started, and may have been wrong
// then. An event is reported after it happened, so each reported time is a lower bound of the coordinator's
// time. It is an upper bound too, of the time at which the event was not published yet. The process's own clock
// is used unchanged as long as it agrees with the recent bounds.
type coordinatorClock struct {
	loop   *eventloop.Loop
	log    *slog.Logger
	notify func(policy.Event) // receives corrections

	lowerBounds []offsetBound // recent lower bounds of the offset, the highest first
	upperBounds []offsetBound // recent upper bounds of the offset, the lowest first
	offset      time.Duration // coordinator's time minus the loop's

	// newestInitialPurge is the latest time of a purge in the configuration's initial state; 0: none.
	newestInitialPurge eventloop.Timestamp
}

// offsetBound is a bound of the offset that a reported time has shown.
type offsetBound struct {
	observedAt eventloop.Timestamp // when it was shown
	offset     time.Duration
}

// observe compares a time that the coordinator reported with the loop's, and reports a correction.
// publishedAfter is a time of the loop at which the event was not published yet; 0: unknown, so that only a
// reported time in the future shows anything.
func (c *coordinatorClock) observe(reported, publishedAfter eventloop.Timestamp) {
	now := c.loop.Now()
	if publishedAfter == 0 && reported <= c.toCoordinator(now) {
		return
	}
	c.removeExpiredBounds(now)
	c.addLowerBound(offsetBound{observedAt: now, offset: reported - now})
	if publishedAfter != 0 {
		c.addUpperBound(offsetBound{observedAt: now, offset: reported - publishedAfter + maxReportDelay})
	}
	change := c.estimateOffset() - c.offset
	if change.Abs() < minCorrection {
		return
	}
	c.offset += change
	c.log.Warn("clock offset from coordinator changed", "offset", c.offset)
	c.notify(policy.ClockCorrection{Offset: -change})
}

// removeExpiredBounds removes the bounds that hold no longer.
func (c *coordinatorClock) removeExpiredBounds(now eventloop.Timestamp) {
	expired := func(b offsetBound) bool { return now-b.observedAt > maxBoundAge }
	c.lowerBounds = slices.DeleteFunc(c.lowerBounds, expired)
	c.upperBounds = slices.DeleteFunc(c.upperBounds, expired)
}

// addLowerBound adds a lower bound and removes those that are no higher.
func (c *coordinatorClock) addLowerBound(added offsetBound) {
	c.lowerBounds = slices.DeleteFunc(c.lowerBounds, func(b offsetBound) bool { return b.offset <= added.offset })
	c.lowerBounds = append(c.lowerBounds, added)
}

// addUpperBound adds an upper bound and removes those that are no lower.
func (c *coordinatorClock) addUpperBound(added offsetBound) {
	c.upperBounds = slices.DeleteFunc(c.upperBounds, func(b offsetBound) bool { return b.offset >= added.offset })
	c.upperBounds = append(c.upperBounds, added)
}

// estimateOffset is the offset that the bounds show: 0, the present offset, or else the highest lower bound, so that
// nothing counts as older than it is. Where bounds contradict each other, the lower one is right: a report may
// be later than expected, but never earlier.
func (c *coordinatorClock) estimateOffset() time.Duration {
	lowest := c.lowerBounds[0].offset
	for _, candidate := range []time.Duration{0, c.offset} {
		if lowest <= candidate && candidate <= c.maxOffset() {
			return candidate
		}
	}
	return lowest
}

// maxOffset is the highest offset that is consistent with the bounds.
func (c *coordinatorClock) maxOffset() time.Duration {
	if len(c.upperBounds) == 0 {
		return math.MaxInt64
	}
	return max(c.upperBounds[0].offset, c.lowerBounds[0].offset+maxReportDelay)
}

// toLocal is the loop's time at a time of the coordinator.
func (c *coordinatorClock) toLocal(reported eventloop.Timestamp) eventloop.Timestamp {
	return reported - c.offset
}

// toCoordinator is the coordinator's time at a time of the loop.
func (c *coordinatorClock) toCoordinator(at eventloop.Timestamp) eventloop.Timestamp {
	return at + c.offset
}

// age is how long ago, counted from the turn's time, something took place that the coordinator reported with
// a Unix time. It is a lower bound. The Unix time is in milliseconds: a copy made within that millisecond
// may be older than the purge, so the age counts from its end. Before any bound the process's own clock may
// be wrong: then only the times of the initial state's purges are certain.
func (c *coordinatorClock) age(unixMillis int64) time.Duration {
	end := time.Duration(unixMillis+1) * time.Millisecond
	now := c.toCoordinator(c.loop.Now())
	if len(c.lowerBounds) == 0 && c.newestInitialPurge != 0 {
		now = min(now, c.newestInitialPurge)
	}
	return max(0, now-end)
}
