package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// delivery records how much of a connection's output has reached its peer's system. Output that has been written may
// remain in this host's socket buffer for seconds while the peer reads slowly.
type delivery struct {
	unackedBytes  int       // written and, when last checked, not acknowledged; a shutdown counts as one byte
	checkedAt     Timestamp // when the system was last asked
	progressAt    Timestamp // see UndeliveredOutput
	queuedAt      Timestamp // when output was last queued
	shutdownAt    Timestamp // when the output was shut down; 0: it was not
	writtenBytes  int       // all bytes that were written
	timing        timedOutput
	longestWait   time.Duration // of the outputs that were timed within waitMemory, or of the last one timed
	longestWaitAt Timestamp     // when that timing was completed
}

// waitMemory is the time for which the wait of an output counts after it was timed. Short outputs behind it are
// acknowledged at once, although the peer may still read it, and reads as slowly as before.
const waitMemory = 5 * time.Second

// timedOutput is an output whose wait for its acknowledgment is measured.
type timedOutput struct {
	end      int           // number of bytes that will have been written with its last byte; 0: no output is timed
	queuedAt Timestamp     // when it was queued
	wait     time.Duration // for how long it has been seen to wait
}

// QueuedBytes returns how many bytes wait to be written. A message counts only once a part of it has been written.
func (c *Conn) QueuedBytes() int { return c.queuedBytes }

// UnackedBytes returns how many written bytes the peer's system has not acknowledged; 0 if that is unknown.
func (c *Conn) UnackedBytes() int {
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// UndeliveredOutput returns how many bytes of output are queued, or written and not acknowledged by the peer's system,
// and the time since which it has acknowledged none of them. If there are none, since is the time at which that was
// noticed. Acknowledgments are noticed by calls of this method, so it has to be called at regular intervals. It makes
// at most one system call in a turn, and none if all output was acknowledged at the last call and none has been
// written since.
//
// The peer may still have to read what its system has acknowledged: as much as its receive buffer holds.
func (c *Conn) UndeliveredOutput() (bytes int, since Timestamp) {
	if c.delivery.unackedBytes > 0 && c.delivery.checkedAt != c.loop.now {
		c.delivery.checkedAt = c.loop.now
		c.delivery.recordAcknowledged(c.loop.now, c.UnackedBytes(), c.queuedBytes)
	}
	return c.queuedBytes + c.delivery.unackedBytes, c.delivery.progressAt
}

// LastProgress returns since in the result of the last call of UndeliveredOutput, or when output began to wait if that
// is later. It makes no system call.
func (c *Conn) LastProgress() Timestamp { return c.delivery.progressAt }

// UnsentBytes returns how many bytes of output this host has not sent yet: queued ones, and written ones for which the
// peer's window or the network has had no room. If the system can't tell, all written bytes that are not acknowledged
// count.
func (c *Conn) UnsentBytes() int {
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQNSD)
	if err != nil {
		n = c.UnackedBytes()
	}
	return c.queuedBytes + n
}

// DeliveryTime returns how long output waits from its queueing to its acknowledgment, as far as calls of
// UndeliveredOutput have seen it wait: the longest wait within waitMemory, or the one that goes on if that is longer. One
// output is timed at a time, as TCP times its segments (RFC 6298, section 3). A peer that reads slowly may take as long
// again to read what its system still holds.
func (c *Conn) DeliveryTime() time.Duration {
	return max(c.delivery.longestWait, c.delivery.timing.wait)
}

// ShutdownDelivered reports whether the output was shut down at least so long ago, and the peer's system has received
// all of it and its end.
func (c *Conn) ShutdownDelivered(minAge time.Duration) bool {
	if c.delivery.shutdownAt == 0 || c.loop.now-c.delivery.shutdownAt < minAge {
		return false
	}
	undeliveredBytes, _ := c.UndeliveredOutput()
	return undeliveredBytes == 0
}

// recordAcknowledged records how many bytes are not acknowledged now.
func (d *delivery) recordAcknowledged(now Timestamp, unackedBytes, queuedBytes int) {
	if unackedBytes < d.unackedBytes {
		d.progressAt = now
	}
	d.unackedBytes = unackedBytes
	d.updateTiming(now, queuedBytes)
}

// updateTiming measures the wait of the timed output. Once that is acknowledged, the output that was queued last is
// timed, if it still waits.
func (d *delivery) updateTiming(now Timestamp, queuedBytes int) {
	if d.timing.end == 0 {
		return
	}
	if d.writtenBytes-d.unackedBytes < d.timing.end {
		d.timing.wait = now - d.timing.queuedAt
		return
	}
	d.recordWait(now, d.timing.wait)
	d.timing = timedOutput{}
	if d.unackedBytes+queuedBytes > 0 {
		d.timing = timedOutput{end: d.writtenBytes + queuedBytes, queuedAt: d.queuedAt}
	}
}

// recordWait records the wait of an output, unless a longer one still counts.
func (d *delivery) recordWait(now Timestamp, wait time.Duration) {
	if wait >= d.longestWait || now-d.longestWaitAt > waitMemory {
		d.longestWait = wait
		d.longestWaitAt = now
	}
}

// recordQueued records that size bytes are queued behind queuedBytes others. It starts the wait for the peer if no other
// output waits for it.
func (d *delivery) recordQueued(now Timestamp, queuedBytes, size int) {
	d.queuedAt = now
	if queuedBytes == 0 && d.unackedBytes == 0 {
		d.progressAt = now
	}
	if d.timing.end == 0 {
		d.timing = timedOutput{end: d.writtenBytes + queuedBytes + size, queuedAt: now}
	}
}

// recordWritten records that n bytes were written.
func (d *delivery) recordWritten(n int) {
	d.unackedBytes += n
	d.writtenBytes += n
}

// recordShutdown counts the shutdown of the output as one byte that the peer has to acknowledge, and starts the wait
// for it.
func (d *delivery) recordShutdown(now Timestamp) {
	d.unackedBytes++
	d.progressAt = now
	d.shutdownAt = now
}
