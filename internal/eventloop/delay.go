package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// QueueingDelay is for how long what is being handed over may have waited to be read, besides the time between two turns: in the
// queue of connections to accept, or behind what one turn reads of a connection.
func (c *Conn) QueueingDelay() time.Duration { return c.queueingDelay }

// measureQueueingDelay works out Waited for what is about to be read.
func (c *Conn) measureQueueingDelay() {
	switch {
	case c.waitedForAccept:
		c.waitedForAccept = false
		c.queueingDelay = c.timeSinceHandshake()
	case c.inputWaitingSince != 0:
		c.queueingDelay = c.loop.now - c.inputWaitingSince
	default:
		c.queueingDelay = 0
	}
}

// timeSinceHandshake is how long ago the connection was made, before anything is written: what the peer sent first may have waited for
// as long. Where the system does not tell, it is for how long the process was held up before it accepted the connection.
func (c *Conn) timeSinceHandshake() time.Duration {
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil {
		return time.Duration(info.Last_data_sent) * time.Millisecond // counted from the handshake
	}
	return c.delayBeforeAccept
}

// markInputWaiting notes that what comes next may have been sent together with what has been read now: there was much of it, and the
// rest may have waited here or in the peer's system.
func (c *Conn) markInputWaiting(total int) {
	if c.inputWaitingSince = 0; total >= largeInputBytes {
		c.inputWaitingSince = c.loop.now - max(c.queueingDelay, c.loop.SchedulingDelay(c.loop.pollTimeout))
	}
}

// SchedulingDelay is for how much longer than a nap the loop has not looked at what is ready: the process does not always have
// its core, and what is read in this turn may have waited for as long.
func (l *Loop) SchedulingDelay(nap time.Duration) time.Duration {
	if l.previousPollEnd == 0 {
		return 0
	}
	return max(0, l.now-l.previousPollEnd-nap)
}
