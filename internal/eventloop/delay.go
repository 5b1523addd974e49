package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptDelayThreshold is the scheduling delay above which an accepted connection counts as having waited
	// in the accept queue.
	acceptDelayThreshold = 20 * time.Millisecond

	// largeInputBytes is the amount of input that counts as large when it is read from a connection in one
	// turn. If at least this much is read, the connection's next input is assumed to have arrived at the same
	// time, and so to have waited since then.
	largeInputBytes = 64 << 10
)

// inputDelays estimates how long a connection's input has waited before it is read, so that the wait can be
// subtracted from the time that a request has until its deadline.
type inputDelays struct {
	connectedAfter    Timestamp     // time after which an accepted connection was established; 0: unknown
	waitedForAccept   bool          // the first input may have waited in the accept queue
	delayBeforeAccept time.Duration // scheduling delay of the turn that accepted the connection
	inputWaitingSince Timestamp     // when the next input may have arrived, behind much other input; 0: it has not waited
	readyAt           Timestamp     // when the connection became ready to be served
	readySince        Timestamp     // the earliest time at which it may have been ready
	arrivedAfter      Timestamp     // see InputArrivedAfter
	queueingDelay     time.Duration // see QueueingDelay
}

// SchedulingDelay returns the time since the previous poll minus expectedInterval, or 0 if that is negative.
// Input that is read in this turn may have waited for that long, as the process does not always have a CPU.
func (l *Loop) SchedulingDelay(expectedInterval time.Duration) time.Duration {
	if l.previousPollEnd == 0 {
		return 0
	}
	return max(0, l.now-l.previousPollEnd-expectedInterval)
}

// QueueingDelay returns how long the input that is passed to Receive may have waited in the accept queue or
// behind earlier input of the same connection. It does not include the time between two turns.
func (c *Conn) QueueingDelay() time.Duration { return c.delays.queueingDelay }

// InputArrivedAfter returns a time before which none of the input that is passed to Receive had arrived.
func (c *Conn) InputArrivedAfter() Timestamp { return c.delays.arrivedAfter }

// recordReady records that the connection is ready to be served, in this turn or a later one.
func (d *inputDelays) recordReady(l *Loop) {
	d.readyAt = l.now
	d.readySince = l.now - l.SchedulingDelay(l.pollTimeout)
}

// measureQueueingDelay sets the queueing delay of the input that is read next, and the time after which it arrived.
func (c *Conn) measureQueueingDelay() {
	if !c.inputLeft {
		c.delays.arrivedAfter = c.loop.previousPollEnd
		if c.delays.readyAt != 0 {
			c.delays.arrivedAfter = min(c.delays.arrivedAfter, c.delays.readySince)
		}
	}
	c.measureInputWait()
	if c.delays.readyAt != 0 && c.delays.readyAt < c.loop.now { // it became ready in an earlier turn
		c.delays.queueingDelay = max(c.delays.queueingDelay, c.loop.now-c.delays.readySince)
	}
	c.delays.readyAt = 0
}

// measureInputWait sets the queueing delay from the wait in the accept queue or behind earlier input.
func (c *Conn) measureInputWait() {
	switch {
	case c.delays.waitedForAccept:
		c.delays.waitedForAccept = false
		c.delays.queueingDelay = c.timeSinceHandshake()
	case c.delays.inputWaitingSince != 0:
		c.delays.queueingDelay = c.loop.now - c.delays.inputWaitingSince
	default:
		c.delays.queueingDelay = 0
	}
}

// timeSinceHandshake returns how long ago an accepted connection on which nothing has been written was
// established; its first input may have waited for that long. If the system does not report this time, the
// result is the scheduling delay of the turn that accepted the connection.
func (c *Conn) timeSinceHandshake() time.Duration {
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return c.delays.delayBeforeAccept
	}
	return time.Duration(info.Last_data_sent) * time.Millisecond // counted from the handshake while nothing was sent
}

// recordInputWaiting records after a turn's reads whether the next input may have been sent together with the
// bytes that were read: after much input, or if some was left, the rest may have waited in a socket buffer of
// either host.
func (c *Conn) recordInputWaiting(bytesRead int) {
	waited := max(c.delays.queueingDelay, c.loop.SchedulingDelay(c.loop.pollTimeout))
	c.backlog.recordRead(c.loop.clock.Now(), waited, bytesRead, c.inputLeft)
	c.delays.inputWaitingSince = 0
	if bytesRead >= largeInputBytes || c.inputLeft {
		c.delays.inputWaitingSince = c.loop.now - waited
	}
}
