package proxy

// This file compares the process's clock with the coordinator's.

import (
	"log/slog"
	"math"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

const (
	// maxReportDelay is the longest time from a purge to the publication of its event in normal operation.
	maxReportDelay = 500 * time.Millisecond
	// maxBoundAge is the age up to which a bound is used. It limits the effect of a wrong or late reported time.
	maxBoundAge = 10 * time.Second
	// minCorrection is the smallest change of the offset that is applied.
	minCorrection = 200 * time.Millisecond
)

// coordinatorClock converts between the loop's time and the coordinator's, which reports Unix times.
//
// The loop's time was set from the machine's wall clock when the process started, which may have been wrong. An
// event is reported after it happened, so its reported time is a lower bound of the coordinator's present time. It
// is also published within maxReportDelay, so its reported time plus that delay is an upper bound of the
// coordinator's time at any moment at which the event was not published yet. The process's own clock is used
// unchanged as long as it agrees with the recent bounds.
type coordinatorClock struct {
	loop   *eventloop.Loop
	log    *slog.Logger
	notify func(policy.Event) // is called with each correction

	lowerBounds []offsetBound // recent lower bounds of the offset, the highest first
	upperBounds []offsetBound // recent upper bounds of the offset, the lowest first
	offset      time.Duration // coordinator's time minus the loop's

	// newestInitialPurge is the latest time of a purge in the configuration's initial state, in the coordinator's
	// time; 0: none.
	newestInitialPurge eventloop.Timestamp
}

// offsetBound is a bound of the offset, derived from a reported time.
type offsetBound struct {
	observedAt eventloop.Timestamp // when the reported time arrived
	offset     time.Duration
}

// observe compares a time reported by the coordinator with the loop's time. If the offset changes by at least
// minCorrection, it corrects the offset and calls notify. publishedAfter is a time of the loop at which the event
// was not published yet; 0: unknown, in which case only a reported time in the future has an effect.
func (c *coordinatorClock) observe(reportedTime, publishedAfter eventloop.Timestamp) {
	now := c.loop.Now()
	if publishedAfter == 0 && reportedTime <= c.toCoordinator(now) {
		return
	}
	c.removeExpiredBounds(now)
	c.addLowerBound(offsetBound{observedAt: now, offset: reportedTime - now})
	if publishedAfter != 0 {
		c.addUpperBound(offsetBound{observedAt: now, offset: reportedTime - publishedAfter + maxReportDelay})
	}
	change := c.estimateOffset() - c.offset
	if change.Abs() < minCorrection {
		return
	}
	c.offset += change
	c.log.Warn("clock offset from coordinator changed", "offset", c.offset)
	c.notify(policy.ClockCorrection{Offset: -change})
}

// removeExpiredBounds removes the bounds that are older than maxBoundAge. They are the first ones, as each bound is added
// behind the earlier ones.
func (c *coordinatorClock) removeExpiredBounds(now eventloop.Timestamp) {
	c.lowerBounds = withoutExpired(c.lowerBounds, now)
	c.upperBounds = withoutExpired(c.upperBounds, now)
}

// withoutExpired returns the bounds that are not older than maxBoundAge.
func withoutExpired(bounds []offsetBound, now eventloop.Timestamp) []offsetBound {
	for len(bounds) > 0 && now-bounds[0].observedAt > maxBoundAge {
		bounds = bounds[1:]
	}
	return bounds
}

// addLowerBound adds a lower bound and removes those that are no higher, which are the last ones.
func (c *coordinatorClock) addLowerBound(newBound offsetBound) {
	kept := len(c.lowerBounds)
	for kept > 0 && c.lowerBounds[kept-1].offset <= newBound.offset {
		kept--
	}
	c.lowerBounds = append(c.lowerBounds[:kept], newBound)
}

// addUpperBound adds an upper bound and removes those that are no lower, which are the last ones.
func (c *coordinatorClock) addUpperBound(newBound offsetBound) {
	kept := len(c.upperBounds)
	for kept > 0 && c.upperBounds[kept-1].offset >= newBound.offset {
		kept--
	}
	c.upperBounds = append(c.upperBounds[:kept], newBound)
}

// estimateOffset returns an offset that agrees with the bounds: 0 if it agrees, else the present offset if it agrees,
// else the highest lower bound, so that nothing counts as older than it is. If a lower and an upper bound contradict
// each other, the lower one is right, because a report may be later than expected but never earlier.
func (c *coordinatorClock) estimateOffset() time.Duration {
	minOffset := c.lowerBounds[0].offset
	for _, candidate := range []time.Duration{0, c.offset} {
		if minOffset <= candidate && candidate <= c.maxOffset() {
			return candidate
		}
	}
	return minOffset
}

// maxOffset returns the highest offset that agrees with the bounds: the lowest upper bound, but at least
// maxReportDelay above the highest lower bound, as the report behind that lower bound may have been delayed by as
// much. Without an upper bound there is no limit.
func (c *coordinatorClock) maxOffset() time.Duration {
	if len(c.upperBounds) == 0 {
		return math.MaxInt64
	}
	return max(c.upperBounds[0].offset, c.lowerBounds[0].offset+maxReportDelay)
}

// toLocal converts the coordinator's time to the loop's.
func (c *coordinatorClock) toLocal(reportedTime eventloop.Timestamp) eventloop.Timestamp {
	return reportedTime - c.offset
}

// toCoordinator converts the loop's time to the coordinator's.
func (c *coordinatorClock) toCoordinator(at eventloop.Timestamp) eventloop.Timestamp {
	return at + c.offset
}

// age returns a lower bound of the time from a purge, reported as a Unix time in milliseconds, to the start of the
// loop's turn. A copy made within the reported millisecond may be older than the purge, so the age counts from the
// end of that millisecond. While there is no lower bound of the offset, the process's own clock may be wrong and only
// the purge times of the initial state are certain, so the newest of them replaces the present time if it is earlier.
func (c *coordinatorClock) age(unixMillis int64) time.Duration {
	end := time.Duration(unixMillis+1) * time.Millisecond
	now := c.toCoordinator(c.loop.Now())
	if len(c.lowerBounds) == 0 && c.newestInitialPurge != 0 {
		now = min(now, c.newestInitialPurge)
	}
	return max(0, now-end)
}
