package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// delivery records how much of a connection's output has reached its peer's system. Output that has been written may
// remain in this host's socket buffer for seconds while the peer reads slowly.
type delivery struct {
	unackedBytes int           // written and, when last checked, not acknowledged; a shutdown counts as one byte
	checkedAt    Timestamp     // when the system was last asked
	progressAt   Timestamp     // see UndeliveredOutput
	waitingSince Timestamp     // when the first output was queued that was not acknowledged when last checked
	duration     time.Duration // see DeliveryTime
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

// DeliveryTime returns how long it took, when UndeliveredOutput last found all output acknowledged, from the queueing
// of the first of it to that. A peer that reads slowly may take as long again to read what its system still holds.
func (c *Conn) DeliveryTime() time.Duration { return c.delivery.duration }

// recordAcknowledged records how many bytes are not acknowledged now.
func (d *delivery) recordAcknowledged(now Timestamp, unackedBytes, queuedBytes int) {
	if unackedBytes < d.unackedBytes {
		d.progressAt = now
	}
	d.unackedBytes = unackedBytes
	if unackedBytes == 0 && queuedBytes == 0 {
		d.duration = now - d.waitingSince
	}
}

// recordQueued starts the wait for the peer if no other output waits for it.
func (d *delivery) recordQueued(now Timestamp, queuedBytes int) {
	if queuedBytes == 0 && d.unackedBytes == 0 {
		d.progressAt = now
		d.waitingSince = now
	}
}

// recordShutdown counts the shutdown of the output as one byte that the peer has to acknowledge, and starts the wait
// for it.
func (d *delivery) recordShutdown(now Timestamp) {
	d.unackedBytes++
	d.progressAt = now
}
