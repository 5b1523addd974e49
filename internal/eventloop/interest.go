package eventloop

import "golang.org/x/sys/unix"

// updateInterest asks epoll for what the connection waits for: input and the peer's end, until that has come, and room for
// output. Input is waited for also when the peer leaves ours unread: it may take back what it asked for, or leave.
func (c *Conn) updateInterest() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if c.inputEnded {
		events = 0
	} else if c.closing || c.peerHalfClosed && !c.readingStopped {
		events = unix.EPOLLIN
	} else if c.readingStopped && c.peerHalfClosed {
		events = 0
	} else if c.readingStopped {
		events = unix.EPOLLRDHUP
	}
	if !c.connected || len(c.outputQueue) > 0 {
		events |= unix.EPOLLOUT
	}
	if events == c.interest {
		return
	}
	if !c.registered { // register brings them
		c.interest = events
		return
	}
	if err := c.loop.modify(c.fd, events); err != nil { // for lack of memory; what it waits for now still wakes it
		c.loop.At(c.loop.now+retryInterval, func() {
			if !c.closed {
				c.updateInterest()
			}
		})
		return
	}
	c.interest = events
}
