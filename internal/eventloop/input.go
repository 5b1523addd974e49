package eventloop

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

// maxReadsPerTurn bounds the reads of one connection in one turn.
const maxReadsPerTurn = 16

// PollNow polls this connection again and handles what has happened on it since the turn's poll.
func (c *Conn) PollNow() {
	if !c.open() {
		return
	}
	fds := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	if err != nil || n == 0 {
		return
	}
	previousPollEnd := c.loop.previousPollEnd
	if c.loop.pollComplete { // the turn's poll would have reported an earlier half-close
		c.loop.previousPollEnd = c.loop.pollEnd
	}
	c.processEvents(uint32(fds[0].Revents))
	c.loop.previousPollEnd = previousPollEnd
}

// receive passes the input that was left unconsumed in an earlier turn to the handler, reads what has arrived and passes it
// on. It reads up to maxReadsPerTurn times, since requests at the start of the input may be aborted by later input, and
// ends when the slice of the connection is over.
func (c *Conn) receive() {
	c.sliceEnd = c.loop.clock.Now() + max(c.loop.slice, minSlice)
	c.measureQueueingDelay()
	if c.yielded {
		c.yielded = false
		c.deliver(c.unparsed)
	}
	bytesRead := 0
	more := !c.yielded && c.canRead()
	for reads := 0; more; reads++ {
		if reads == maxReadsPerTurn || reads > 0 && c.SliceOver() {
			break
		}
		var n int
		n, more = c.readOnce()
		bytesRead += n
	}
	c.inputLeft = more || c.yielded
	c.recordInputWaiting(bytesRead)
}

// InputLeft reports whether the last reads ended before all input that had arrived was read and handled.
func (c *Conn) InputLeft() bool { return c.inputLeft }

// canRead reports whether input is to be read from the connection's socket.
func (c *Conn) canRead() bool { return c.open() && c.wantsInput() }

// readBuffer returns the buffer for one read.
func (c *Conn) readBuffer() []byte {
	if c.group == Clients {
		return c.loop.readBuffer[:clientReadBytes]
	}
	return c.loop.readBuffer
}

// readOnce reads once and passes the input to the handler. more reports whether there may be more input that is to be
// read in this turn.
func (c *Conn) readOnce() (n int, more bool) {
	buffer := c.readBuffer()
	n, err := System.Read(c.fd, buffer)
	if err != nil {
		if !isTransient(err) {
			c.Fail(fmt.Errorf("read: %w", err))
		}
		return 0, false
	}
	if n == 0 {
		c.handleInputEnd()
		return 0, false
	}
	switch {
	case c.closing:
		c.discardedBytes += n
	case !c.readingStopped:
		c.addInput(buffer[:n])
	}
	if c.yielded || !c.canRead() {
		return n, false
	}
	return n, n == len(buffer)
}

// handleInputEnd handles the end of the peer's input, after all input has been passed to the handler.
func (c *Conn) handleInputEnd() {
	if c.closing && len(c.outputQueue) > 0 { // the peer still gets its output
		c.markInputEnded()
		return
	}
	if c.notifyInputEnd() {
		c.markInputEnded()
		return
	}
	c.Fail(io.EOF) // does nothing if a callback has closed the connection
}

// notifyInputEnd notifies a HalfCloser that its peer has shut down its sending side and reports whether
// output for the peer is pending, so that the connection must stay open.
func (c *Conn) notifyInputEnd() (outputPending bool) {
	handler, isHalfCloser := c.handler.(HalfCloser)
	if !isHalfCloser || c.closing {
		return false
	}
	c.notifyPeerClosing()
	return !c.closed && handler.PeerClosed()
}

// markInputEnded records that no more input follows. The connection stays open for output.
func (c *Conn) markInputEnded() {
	c.inputEnded = true
	c.scheduleFlush() // also updates the interest
}

// addInput appends data to the input that was not consumed before and passes all of it to the handler.
func (c *Conn) addInput(data []byte) {
	c.lastReceivedAt = c.loop.now
	if len(c.unparsed) > 0 {
		c.setUnparsed(append(c.unparsed, data...))
		data = c.unparsed
	}
	c.deliver(data)
}

// deliver passes data to the handler and buffers what the handler does not consume.
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
	if used > 0 || len(c.unparsed) == 0 {
		c.setUnparsed(append([]byte(nil), data[used:]...))
	}
}

// setUnparsed replaces the input that the handler has not consumed, and counts its memory.
func (c *Conn) setUnparsed(data []byte) {
	c.loop.bufferedBytes += cap(data) - cap(c.unparsed)
	c.unparsed = data
}

// HasUnreadInput reports whether the peer has sent something that has not been read. Closing the connection
// would lose that input: a peer repeats a request only if the request crossed the close on the network, but an
// unread request may have arrived long ago, as the process does not always have a CPU. The result is also true
// if the system cannot tell.
func (c *Conn) HasUnreadInput() bool {
	var buffer [1]byte
	n, err := System.Peek(c.fd, buffer[:])
	if err != nil {
		isUnknown := isTransient(err) && !errors.Is(err, unix.EAGAIN)
		return isUnknown
	}
	return n > 0
}

// StopReading drops input that has not been consumed, and discards further input. The peer's half-close is still noticed,
// which unread input would hide, and queued output is still written.
func (c *Conn) StopReading() {
	if c.Ended() {
		return
	}
	c.readingStopped = true
	c.yielded = false
	c.setUnparsed(nil)
	c.scheduleFlush() // also updates the interest
}
