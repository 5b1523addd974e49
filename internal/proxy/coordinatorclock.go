package proxy

// This file holds the comparison of the process's clock with the coordinator's.

import (
	"log/slog"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

const (
	// maxReportDelay is how late a purge is reported at most in normal operation. A report within it is
	// consistent with the process's own clock.
	maxReportDelay = 500 * time.Millisecond
	// maxSampleAge is how long a reported time counts: a wrong or late one has no effect after it.
	maxSampleAge = 10 * time.Second
	// minCorrection is the smallest change of the offset that is applied.
	minCorrection = 200 * time.Millisecond
)

// coordinatorClock converts between the loop's time and the coordinator's, which reports Unix times.
//
// The loop's time was set from the machine's wall clock when the process started, and may have been wrong
// then. An event is reported after it happened, so the latest of the recently reported times is a lower bound
// of the coordinator's time. The process's own clock is used unchanged as long as it agrees with that bound.
type coordinatorClock struct {
	loop   *eventloop.Loop
	log    *slog.Logger
	notify func(policy.Event) // receives corrections

	samples []clockSample // recent ones, the highest lead first
	offset  time.Duration // coordinator's time minus the loop's

	// newestInitialPurge is the latest time of a purge in the configuration's initial state; 0: none.
	newestInitialPurge eventloop.Timestamp
}

// clockSample is by how much a reported time led the loop's when it arrived; reports of the past have a
// negative lead.
type clockSample struct {
	at   eventloop.Timestamp
	lead time.Duration
}

// observe compares a time that the coordinator reported with the loop's, and reports a correction. live is
// true for a purge that has just been reported: only that shows that the clock is ahead. Any time in the
// future shows that it is behind.
func (c *coordinatorClock) observe(reported eventloop.Timestamp, live bool) {
	now := c.loop.Now()
	if !live && reported <= c.toCoordinator(now) {
		return
	}
	change := c.addSample(reported-now, now)
	if change == 0 {
		return
	}
	c.log.Warn("clock offset from coordinator changed", "offset", c.offset)
	c.notify(policy.ClockCorrection{Offset: -change})
}

// addSample adds a sample and returns by how much the offset has changed; 0: it stays.
func (c *coordinatorClock) addSample(lead time.Duration, now eventloop.Timestamp) time.Duration {
	c.samples = slices.DeleteFunc(c.samples, func(s clockSample) bool {
		return now-s.at > maxSampleAge || s.lead <= lead
	})
	c.samples = append(c.samples, clockSample{at: now, lead: lead})
	change := c.estimate() - c.offset
	if change.Abs() < minCorrection {
		return 0
	}
	c.offset += change
	return change
}

// estimate is the offset that the samples show: 0 as long as they are consistent with the process's own
// clock.
func (c *coordinatorClock) estimate() time.Duration {
	highestLead := c.samples[0].lead
	if -maxReportDelay <= highestLead && highestLead <= 0 {
		return 0
	}
	return highestLead
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
// may be older than the purge, so the age counts from its end. Before any sample the process's own clock may
// be wrong: then only the times of the initial state's purges are certain.
func (c *coordinatorClock) age(unixMillis int64) time.Duration {
	end := time.Duration(unixMillis+1) * time.Millisecond
	now := c.toCoordinator(c.loop.Now())
	if len(c.samples) == 0 && c.newestInitialPurge != 0 {
		now = min(now, c.newestInitialPurge)
	}
	return max(0, now-end)
}
