package eventloop

import "time"

// Timestamp is time since the Unix epoch, the one origin of all times in the program.
type Timestamp = time.Duration

// TimeSource is where a loop takes its time from.
type TimeSource interface {
	// Now returns the current time. It never goes back.
	Now() Timestamp
	// PollTimeout is called once a turn, before the loop waits for readiness: all that was due up to the previous turn has been
	// carried out by then. It returns how long the loop may wait in real time, at most wanted.
	PollTimeout(wanted time.Duration) time.Duration
}

// systemClock begins at the Unix clock and does not follow a later change of that: deadlines must neither stand still
// nor all come at once.
type systemClock struct{ start time.Time }

// SystemClock returns the time source of a program in service.
func SystemClock() TimeSource { return systemClock{start: time.Now()} }

// Now returns the Unix time at the start, moved on by what has passed since.
func (c systemClock) Now() Timestamp { return Timestamp(c.start.UnixNano()) + time.Since(c.start) }

// PollTimeout lets the loop wait for as long as it wants.
func (c systemClock) PollTimeout(wanted time.Duration) time.Duration { return wanted }
