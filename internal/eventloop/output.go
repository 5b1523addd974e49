package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Message is output that is made only when its first byte is about to be written.
type Message interface {
	// Encode returns the bytes, or false when the message is not to be sent any more. It may be called again
	// when the peer took nothing.
	Encode() ([]byte, bool)
	// Started is called once, when the first byte has been written. whole says that it was the last one too.
	Started(whole bool)
	// Written is called once, when the last byte has been written.
	Written()
}

// output is bytes, or a message that has not been encoded yet.
type output struct {
	data    []byte
	message Message
	written func() // of a message that has been encoded
}

// QueuedOutput is how many bytes wait to be written, and since when none was.
func (c *Conn) QueuedOutput() (bytes int, since Timestamp) { return c.queuedBytes, c.lastWrittenAt }

// Write queues bytes; the connection keeps them.
func (c *Conn) Write(data []byte) {
	if c.Ended() || len(data) == 0 {
		return
	}
	c.enqueue(output{data: data})
}

// Send queues a message.
func (c *Conn) Send(m Message) {
	if !c.Ended() {
		c.enqueue(output{message: m})
	}
}

func (c *Conn) enqueue(o output) {
	if c.queuedBytes == 0 {
		c.lastWrittenAt = c.loop.now
	}
	c.addQueuedBytes(len(o.data))
	c.scheduleFlush()
	if n := len(c.outputQueue); n > 0 && o.message == nil {
		if last := &c.outputQueue[n-1]; last.message == nil && last.written == nil && len(last.data)+len(o.data) <= maxJoinedBytes {
			last.data = append(last.data, o.data...)
			return
		}
	}
	c.outputQueue = append(c.outputQueue, o)
}

// scheduleFlush has the queue written at the end of the turn: all that has come in it is known by then, and a message
// may be void.
func (c *Conn) scheduleFlush() {
	if !c.flushScheduled {
		c.flushScheduled = true
		c.loop.toFlush = append(c.loop.toFlush, c)
	}
}

func (c *Conn) addQueuedBytes(n int) {
	c.queuedBytes += n
	c.loop.bufferedBytes += n
}

// UnackedBytes is how many bytes the peer has not acknowledged of those that were written.
func (c *Conn) UnackedBytes() int {
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// Flush writes at once what is queued, as far as the peer takes it. It is for connections without messages, whose turn need not be
// over.
func (c *Conn) Flush() {
	if !c.closed {
		c.flush()
	}
}

// flush writes until the peer takes no more.
func (c *Conn) flush() {
	for c.connected && !c.closed && len(c.outputQueue) > 0 {
		more, err := c.writeFirst()
		if err != nil {
			c.failWrite(err)
			return
		}
		if !more {
			break
		}
	}
	switch {
	case c.closed:
	case c.queuedBytes > maxQueuedBytes:
		c.Fail(ErrWriteStalled)
	case c.closing && len(c.outputQueue) == 0:
		c.shutdownOutput()
	default:
		c.updateInterest()
	}
}

// failWrite ends a connection that takes no more. What its peer had sent before is read first: an answer tells more than the
// loss of its connection. A peer that may close its own side first has left, and wants nothing more.
func (c *Conn) failWrite(err error) {
	if _, half := c.handler.(HalfCloser); !half && !c.closing && !c.inputEnded {
		c.receive()
	}
	c.Fail(err)
}

// writeFirst writes from the first output of the queue; more is false when the peer takes no more now. A
// message that the peer took nothing of stays unmade, as what it says may have to change until it goes.
func (c *Conn) writeFirst() (more bool, err error) {
	first := &c.outputQueue[0]
	data := first.data
	if first.message != nil {
		made, ok := first.message.Encode()
		if c.closed { // it was the last use of a connection that was to be closed
			return false, nil
		}
		if !ok {
			c.outputQueue = c.outputQueue[1:]
			return true, nil
		}
		data = made
	}
	n, err := System.Write(c.fd, data)
	if err != nil && !isTransient(err) {
		return false, fmt.Errorf("write: %w", err)
	}
	if n <= 0 {
		return false, nil
	}
	c.lastWrittenAt = c.loop.now
	if msg := first.message; msg != nil {
		c.addQueuedBytes(len(data))
		first.message, first.written = nil, msg.Written
		msg.Started(n == len(data))
	}
	c.addQueuedBytes(-n)
	if n < len(data) {
		first.data = data[n:]
		return false, nil
	}
	if first.written != nil {
		first.written()
	}
	c.outputQueue = c.outputQueue[1:]
	return true, nil
}
