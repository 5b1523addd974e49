package eventloop

import (
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

// QueueingDelay is for how long what is being handed over may have waited to be read, besides the time between two turns: in the
// queue of connections to accept, or behind what one turn reads of a connection.
func (c *Conn) QueueingDelay() time.Duration { return c.waited }

// PollNow takes what has come since the turn began, in the middle of it.
func (c *Conn) PollNow() {
	if c.closed || !c.up {
		return
	}
	fds := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	if err != nil || n == 0 {
		return
	}
	before := c.loop.lastPoll
	if c.loop.polledAll { // its end would have been seen as the turn began
		c.loop.lastPoll = c.loop.looked
	}
	c.ready(uint32(fds[0].Revents))
	c.loop.lastPoll = before
}

// measureWait works out Waited for what is about to be read.
func (c *Conn) measureWait() {
	switch {
	case c.queuedLong:
		c.queuedLong = false
		c.waited = c.sinceMade()
	case c.behind != 0:
		c.waited = c.loop.now - c.behind
	default:
		c.waited = 0
	}
}

// sinceMade is how long ago the connection was made, before anything is written: what the peer sent first may have waited for
// as long. Where the system does not tell, it is for how long the process was held up before it accepted the connection.
func (c *Conn) sinceMade() time.Duration {
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil {
		return time.Duration(info.Last_data_sent) * time.Millisecond // counted from the handshake
	}
	return c.inQueue
}

// receive takes what has come. A connection that brings much is read on, within bounds: a client may have taken back
// further on what it asks for first.
func (c *Conn) receive() {
	c.measureWait()
	total := 0
	defer func() { c.markBehind(total) }()
	for range mostReads {
		n, err := System.Read(c.fd, c.loop.read)
		switch {
		case err != nil && retry(err):
			return
		case err != nil:
			c.Fail(fmt.Errorf("read: %w", err))
			return
		case n == 0:
			c.end()
			return
		}
		total += n
		if !c.closing { // else it crossed the close
			c.take(c.loop.read[:n])
		}
		if c.closed || c.deaf && !c.closing || n < len(c.loop.read) {
			return
		}
	}
}

// markBehind notes that what comes next may have been sent together with what has been read now: there was much of it, and the
// rest may have waited here or in the peer's system.
func (c *Conn) markBehind(total int) {
	if c.behind = 0; total >= muchInput {
		c.behind = c.loop.now - max(c.waited, c.loop.SchedulingDelay(c.loop.napped))
	}
}

// end takes the peer's end of a conversation.
func (c *Conn) end() {
	if c.closing && len(c.queue) > 0 { // it still takes what it is owed
		c.eof = true
		c.scheduleFlush()
		return
	}
	if half, ok := c.handler.(HalfCloser); ok && !c.closing {
		if c.peerClosing(half); c.closed {
			return
		}
		if half.PeerClosed() {
			c.eof = true
			c.scheduleFlush()
			return
		}
	}
	if !c.closed {
		c.Fail(io.EOF)
	}
}

func (c *Conn) take(data []byte) {
	c.heard = c.loop.now
	if len(c.in) > 0 {
		c.in = append(c.in, data...)
		c.loop.held += len(data)
		data = c.in
	}
	c.handOver(data)
}

func (c *Conn) handOver(data []byte) {
	used, err := c.handler.Receive(data)
	if c.closed {
		return
	}
	if err != nil {
		c.Fail(err)
		return
	}
	if c.deaf {
		return
	}
	rest := data[used:]
	c.loop.held += len(rest) - len(c.in)
	if used > 0 || len(c.in) == 0 {
		c.in = append([]byte(nil), rest...)
	}
}

// HasUnreadInput says whether the peer has sent something that has not been read. To close now would lose it, and it may
// have waited for longer than the peer would take for a crossing: the process does not always have its core.
func (c *Conn) HasUnreadInput() bool {
	var first [1]byte
	n, err := System.Peek(c.fd, first[:])
	if err != nil {
		return retry(err) && !errors.Is(err, unix.EAGAIN) // it is not known
	}
	return n > 0
}

// StopReading leaves what still comes unread, and drops what has not been used yet. The peer's end is still heard, and what
// it is owed is written.
func (c *Conn) StopReading() {
	if c.Ended() {
		return
	}
	c.deaf = true
	c.loop.held -= len(c.in)
	c.in = nil
	c.scheduleFlush() // which asks epoll anew
}
