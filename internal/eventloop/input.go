package eventloop

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

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
