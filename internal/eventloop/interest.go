package eventloop

import "golang.org/x/sys/unix"

// updateInterest sets the events that epoll reports for the connection. If epoll refuses the change for lack
// of memory, the change is retried later; until then epoll reports the previous events.
func (c *Conn) updateInterest() {
	events := c.inputInterest() | c.outputInterest()
	if events == c.interest {
		return
	}
	if !c.registered { // the registration will use it
		c.interest = events
		return
	}
	if err := c.loop.modify(c.fd, events); err != nil {
		c.loop.At(c.loop.now+retryInterval, c.retryUpdateInterest)
		return
	}
	c.interest = events
}

func (c *Conn) retryUpdateInterest() {
	if !c.closed {
		c.updateInterest()
	}
}

// inputInterest returns the events about input to watch for: input until it has ended, and the peer's
// half-close until it has been noticed. Input is watched even while the peer does not read its output, as it
// may send an abort or close the connection.
func (c *Conn) inputInterest() uint32 {
	switch {
	case c.inputEnded:
		return 0
	case c.closing, c.peerHalfClosed:
		return unix.EPOLLIN
	}
	return unix.EPOLLIN | unix.EPOLLRDHUP
}

// outputInterest returns the events about output to watch for: writability while connecting and while output
// is queued.
func (c *Conn) outputInterest() uint32 {
	if !c.connected || len(c.outputQueue) > 0 {
		return unix.EPOLLOUT
	}
	return 0
}
