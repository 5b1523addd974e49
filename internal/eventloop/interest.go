package eventloop

import "golang.org/x/sys/unix"

// updateInterest sets the events that epoll reports for the connection. When epoll refuses the change for
// lack of memory it is attempted again later; until then the events of before are reported.
func (c *Conn) updateInterest() {
	events := c.inputInterest() | c.outputInterest()
	if events == c.interest {
		return
	}
	if !c.registered { // register will use it
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

// inputInterest is which events about input are wanted: input and the peer's half-close until each has been
// seen. Input is watched also while the peer does not read its output, as it may send an abort or close.
func (c *Conn) inputInterest() uint32 {
	switch {
	case c.inputEnded:
		return 0
	case c.closing:
		return unix.EPOLLIN
	case c.readingStopped && c.peerHalfClosed:
		return 0
	case c.readingStopped:
		return unix.EPOLLRDHUP
	case c.peerHalfClosed:
		return unix.EPOLLIN
	}
	return unix.EPOLLIN | unix.EPOLLRDHUP
}

// outputInterest is which events about output are wanted: writability while connecting and while output is
// queued.
func (c *Conn) outputInterest() uint32 {
	if !c.connected || len(c.outputQueue) > 0 {
		return unix.EPOLLOUT
	}
	return 0
}
