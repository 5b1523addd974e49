package proxy

import (
	"cmp"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

const (
	// maxReportDelay is how late a purge is told at the most while all is well: one that is told within it shows nothing wrong.
	maxReportDelay = 500 * time.Millisecond
	// maxSampleAge is for how long a time that was told counts: one wrong time, or news that is late, is forgotten after that.
	maxSampleAge = 10 * time.Second
	// minCorrection is the smallest change that is worth to be applied.
	minCorrection = 200 * time.Millisecond
)

// coordinatorClock relates the Unix times that the coordinator tells to the loop's clock. That was taken from this machine's wall
// clock once, at the start, and may have been wrong by then. What is told has happened before it comes, so the latest of the
// recent times is a bound on what time it is; the own clock is believed as long as it agrees with that.
type coordinatorClock struct {
	samples []clockSample
	offset  time.Duration // added to the loop's clock, it gives the coordinator's time
}

// clockSample is how far a time that was told lay ahead of the loop's clock as it came.
type clockSample struct {
	at    eventloop.Timestamp
	ahead time.Duration
}

// observe takes note of a time that was told just now. It returns how much later than thought the coordinator's clock is,
// 0 for no change that counts.
func (c *coordinatorClock) observe(told, now eventloop.Timestamp) time.Duration {
	c.samples = slices.DeleteFunc(c.samples, func(s clockSample) bool { return now-s.at > maxSampleAge || s.ahead <= told-now })
	c.samples = append(c.samples, clockSample{at: now, ahead: told - now})
	least, offset := c.samples[0].ahead, time.Duration(0) // each one lies further ahead than those after it
	if least > 0 || least < -maxReportDelay {
		offset = least
	}
	change := offset - c.offset
	if change.Abs() < minCorrection {
		return 0
	}
	c.offset = offset
	return change
}

// toLocal is the loop's time at which something happened.
func (c *coordinatorClock) toLocal(told eventloop.Timestamp) eventloop.Timestamp {
	return told - c.offset
}

// toCoordinator is the coordinator's time at a time of the loop.
func (c *coordinatorClock) toCoordinator(at eventloop.Timestamp) eventloop.Timestamp {
	return at + c.offset
}

// observeTime compares a Unix time that was told with the loop's clock. Only a purge that has just been told shows that the
// clock is ahead; any time that lies in the future shows that it is behind.
func (p *Proxy) observeTime(told eventloop.Timestamp, justNow bool) {
	now := p.loop.Now()
	if !justNow && told <= p.clock.toCoordinator(now) {
		return
	}
	if change := p.clock.observe(told, now); change != 0 {
		p.log.Warn("clock differs from the coordinator's", "offset", p.clock.offset)
		p.notify(policy.ClockCorrection{Offset: -change})
	}
}

// purgeAge is how long ago a purge took place, never more than is certain.
func (p *Proxy) purgeAge(unixMillis int64) time.Duration {
	// The moment is told in whole milliseconds: a copy made within that one may be older than the purge. Its age is counted
	// back from the turn's time, as the module does.
	at := time.Duration(unixMillis+1) * time.Millisecond
	now := p.clock.toCoordinator(p.loop.Now())
	if len(p.clock.samples) == 0 { // the own clock has yet to be compared
		now = min(now, cmp.Or(p.newestInitialPurge, now))
	}
	return max(0, now-at)
}
