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
	msg     Message
	written func() // of a message that has been encoded
}

// QueuedOutput is how many bytes wait to be written, and since when none was.
func (c *Conn) QueuedOutput() (bytes int, since Timestamp) { return c.queued, c.wrote }

// Write queues bytes; the connection keeps them.
func (c *Conn) Write(data []byte) {
	if c.Ended() || len(data) == 0 {
		return
	}
	c.push(output{data: data})
}

// Send queues a message.
func (c *Conn) Send(m Message) {
	if !c.Ended() {
		c.push(output{msg: m})
	}
}

func (c *Conn) push(o output) {
	if c.queued == 0 {
		c.wrote = c.loop.now
	}
	c.count(len(o.data))
	c.scheduleFlush()
	if n := len(c.queue); n > 0 && o.msg == nil {
		if last := &c.queue[n-1]; last.msg == nil && last.written == nil && len(last.data)+len(o.data) <= mostJoined {
			last.data = append(last.data, o.data...)
			return
		}
	}
	c.queue = append(c.queue, o)
}

// scheduleFlush has the queue written at the end of the turn: all that has come in it is known by then, and a message
// may be void.
func (c *Conn) scheduleFlush() {
	if !c.dirty {
		c.dirty = true
		c.loop.dirty = append(c.loop.dirty, c)
	}
}

func (c *Conn) count(n int) {
	c.queued += n
	c.loop.held += n
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
	for c.up && !c.closed && len(c.queue) > 0 {
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
	case c.queued > mostQueued:
		c.Fail(ErrWriteStalled)
	case c.closing && len(c.queue) == 0:
		c.shutdown()
	default:
		c.watch()
	}
}

// failWrite ends a connection that takes no more. What its peer had sent before is read first: an answer tells more than the
// loss of its connection. A peer that may close its own side first has left, and wants nothing more.
func (c *Conn) failWrite(err error) {
	if _, half := c.handler.(HalfCloser); !half && !c.closing && !c.eof {
		c.receive()
	}
	c.Fail(err)
}

// writeFirst writes from the first output of the queue; more is false when the peer takes no more now. A
// message that the peer took nothing of stays unmade, as what it says may have to change until it goes.
func (c *Conn) writeFirst() (more bool, err error) {
	first := &c.queue[0]
	data := first.data
	if first.msg != nil {
		made, ok := first.msg.Encode()
		if c.closed { // it was the last use of a connection that was to be closed
			return false, nil
		}
		if !ok {
			c.queue = c.queue[1:]
			return true, nil
		}
		data = made
	}
	n, err := System.Write(c.fd, data)
	if err != nil && !retry(err) {
		return false, fmt.Errorf("write: %w", err)
	}
	if n <= 0 {
		return false, nil
	}
	c.wrote = c.loop.now
	if msg := first.msg; msg != nil {
		c.count(len(data))
		first.msg, first.written = nil, msg.Written
		msg.Started(n == len(data))
	}
	c.count(-n)
	if n < len(data) {
		first.data = data[n:]
		return false, nil
	}
	if first.written != nil {
		first.written()
	}
	c.queue = c.queue[1:]
	return true, nil
}
