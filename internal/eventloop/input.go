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
func (c *Conn) QueueingDelay() time.Duration { return c.queueingDelay }

// PollNow takes what has come since the turn began, in the middle of it.
func (c *Conn) PollNow() {
	if c.closed || !c.connected {
		return
	}
	fds := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	if err != nil || n == 0 {
		return
	}
	before := c.loop.previousPollEnd
	if c.loop.pollComplete { // its end would have been seen as the turn began
		c.loop.previousPollEnd = c.loop.pollEnd
	}
	c.handleEvents(uint32(fds[0].Revents))
	c.loop.previousPollEnd = before
}

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

// receive takes what has come. A connection that brings much is read on, within bounds: a client may have taken back
// further on what it asks for first.
func (c *Conn) receive() {
	c.measureQueueingDelay()
	total := 0
	defer func() { c.markInputWaiting(total) }()
	for range maxReadsPerTurn {
		n, err := System.Read(c.fd, c.loop.readBuffer)
		switch {
		case err != nil && isTransient(err):
			return
		case err != nil:
			c.Fail(fmt.Errorf("read: %w", err))
			return
		case n == 0:
			c.handleInputEnd()
			return
		}
		total += n
		if !c.closing { // else it crossed the close
			c.addInput(c.loop.readBuffer[:n])
		}
		if c.closed || c.readingStopped && !c.closing || n < len(c.loop.readBuffer) {
			return
		}
	}
}

// markInputWaiting notes that what comes next may have been sent together with what has been read now: there was much of it, and the
// rest may have waited here or in the peer's system.
func (c *Conn) markInputWaiting(total int) {
	if c.inputWaitingSince = 0; total >= largeInputBytes {
		c.inputWaitingSince = c.loop.now - max(c.queueingDelay, c.loop.SchedulingDelay(c.loop.pollTimeout))
	}
}

// handleInputEnd takes the peer's handleInputEnd of a conversation.
func (c *Conn) handleInputEnd() {
	if c.closing && len(c.outputQueue) > 0 { // it still takes what it is owed
		c.inputEnded = true
		c.scheduleFlush()
		return
	}
	if half, ok := c.handler.(HalfCloser); ok && !c.closing {
		if c.notifyPeerClosing(half); c.closed {
			return
		}
		if half.PeerClosed() {
			c.inputEnded = true
			c.scheduleFlush()
			return
		}
	}
	if !c.closed {
		c.Fail(io.EOF)
	}
}

func (c *Conn) addInput(data []byte) {
	c.lastReceivedAt = c.loop.now
	if len(c.unparsed) > 0 {
		c.unparsed = append(c.unparsed, data...)
		c.loop.bufferedBytes += len(data)
		data = c.unparsed
	}
	c.deliver(data)
}

func (c *Conn) deliver(data []byte) {
	used, err := c.handler.Receive(data)
	if c.closed {
		return
	}
	if err != nil {
		c.Fail(err)
		return
	}
	if c.readingStopped {
		return
	}
	rest := data[used:]
	c.loop.bufferedBytes += len(rest) - len(c.unparsed)
	if used > 0 || len(c.unparsed) == 0 {
		c.unparsed = append([]byte(nil), rest...)
	}
}

// HasUnreadInput says whether the peer has sent something that has not been read. To close now would lose it, and it may
// have waited for longer than the peer would take for a crossing: the process does not always have its core.
func (c *Conn) HasUnreadInput() bool {
	var first [1]byte
	n, err := System.Peek(c.fd, first[:])
	if err != nil {
		return isTransient(err) && !errors.Is(err, unix.EAGAIN) // it is not known
	}
	return n > 0
}

// StopReading leaves what still comes unread, and drops what has not been used yet. The peer's end is still heard, and what
// it is owed is written.
func (c *Conn) StopReading() {
	if c.Ended() {
		return
	}
	c.readingStopped = true
	c.loop.bufferedBytes -= len(c.unparsed)
	c.unparsed = nil
	c.scheduleFlush() // which asks epoll anew
}
