package eventloop

import "time"

// Timestamp is the time since the Unix epoch. All points in time of the program use this origin.
type Timestamp = time.Duration

// TimeSource is the clock of a loop. Tests replace it by a manual clock.
type TimeSource interface {
	// Now returns the current time. It never decreases.
	Now() Timestamp
	// PollTimeout returns how long the next poll may block in real time, at most wantedTimeout. It is called
	// once in each turn, before the loop polls for readiness; by then everything due up to the previous turn has been
	// carried out, so that a manual clock may advance in this call.
	PollTimeout(wantedTimeout time.Duration) time.Duration
}

// systemClock starts at the system's Unix time and then follows the monotonic clock, so that setting the
// system's clock neither holds up deadlines nor makes them all expire at once.
type systemClock struct{ start time.Time }

// SystemClock returns the time source for normal operation.
func SystemClock() TimeSource { return systemClock{start: time.Now()} }

// Now returns the Unix time at the start plus the monotonic time since.
func (c systemClock) Now() Timestamp { return Timestamp(c.start.UnixNano()) + time.Since(c.start) }

// PollTimeout returns wantedTimeout unchanged.
func (c systemClock) PollTimeout(wantedTimeout time.Duration) time.Duration { return wantedTimeout }
