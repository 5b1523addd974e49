package eventloop

import "fmt"

const (
	// MaxQueuedBytes is the maximum queued output of a connection. A connection with more fails with
	// ErrWriteStalled.
	MaxQueuedBytes = 16 << 20

	// maxJoinedBytes is the maximum size of a buffer in which small outputs are joined: on its own, each would
	// need more memory for its bookkeeping than for its contents.
	maxJoinedBytes = 16 << 10
)

// output is an entry of the output queue: bytes, or a message of which nothing has been written yet.
type output struct {
	data      []byte
	message   Message // nil once a part of it has been written; the rest is in data
	onWritten func()  // method Written of a message of which a part has been written; otherwise nil

	memoryBytes int // that are counted for it: all of its buffer until the last byte has been written
}

// isPlainBytes reports whether the output was queued by Write, not as a message.
func (o *output) isPlainBytes() bool { return o.message == nil && o.onWritten == nil }

// Write queues data, which the caller must not modify any more. It does nothing on an ended connection.
func (c *Conn) Write(data []byte) {
	if c.Ended() || len(data) == 0 {
		return
	}
	c.enqueue(output{data: data})
}

// Send queues a message. It does nothing on an ended connection.
func (c *Conn) Send(m Message) {
	if !c.Ended() {
		c.enqueue(output{message: m})
	}
}

func (c *Conn) enqueue(o output) {
	c.delivery.recordQueued(c.loop.now, c.queuedBytes, len(o.data))
	c.queuedBytes += len(o.data)
	c.scheduleFlush()
	if o.message == nil && c.joinWithLast(o.data) {
		return
	}
	c.setMemory(&o, cap(o.data))
	c.outputQueue = append(c.outputQueue, o)
}

// joinWithLast appends data to the last entry of the queue if that entry is plain bytes too and
// both have at most maxJoinedBytes together.
func (c *Conn) joinWithLast(data []byte) (joined bool) {
	if len(c.outputQueue) == 0 {
		return false
	}
	lastOutput := &c.outputQueue[len(c.outputQueue)-1]
	if !lastOutput.isPlainBytes() || len(lastOutput.data)+len(data) > maxJoinedBytes {
		return false
	}
	offset := lastOutput.memoryBytes - cap(lastOutput.data) // written bytes at the start of the buffer
	grownFrom := cap(lastOutput.data)
	lastOutput.data = append(lastOutput.data, data...)
	if cap(lastOutput.data) != grownFrom {
		offset = 0 // it is a new buffer
	}
	c.setMemory(lastOutput, offset+cap(lastOutput.data))
	return true
}

// scheduleFlush schedules the write of the queue and the update of the interest for the end of the turn: by
// then all that arrived in the turn is known, and a message may no longer be wanted.
func (c *Conn) scheduleFlush() {
	if !c.flushScheduled {
		c.flushScheduled = true
		c.loop.toFlush = append(c.loop.toFlush, c)
	}
}

// setMemory sets the number of bytes that are counted for an output.
func (c *Conn) setMemory(o *output, bytes int) {
	c.loop.bufferedBytes += bytes - o.memoryBytes
	o.memoryBytes = bytes
}

// Flush writes queued output at once, as far as the peer accepts it. It is for connections without messages:
// whether a message is sent is decided at the end of the turn.
func (c *Conn) Flush() {
	if !c.closed {
		c.flush()
	}
}

// flush writes until the queue is empty or the peer accepts no more, and then shuts down, fails or updates
// the interest of the connection as its state requires.
func (c *Conn) flush() {
	for c.open() && len(c.outputQueue) > 0 {
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
		return
	case c.queuedBytes > MaxQueuedBytes:
		c.Fail(ErrWriteStalled)
	case c.closing && len(c.outputQueue) == 0:
		c.shutdownOutput()
	default:
		c.updateInterest()
	}
}

// failWrite fails a connection on which a write failed. Input that arrived before is read first, since an
// answer says more than the loss of its connection. It is not read from the peer of a HalfCloser, which has
// disconnected and wants no answer any more.
func (c *Conn) failWrite(err error) {
	_, isHalfCloser := c.handler.(HalfCloser)
	if !isHalfCloser && !c.closing && !c.inputEnded {
		c.receive()
	}
	c.Fail(err)
}

// writeFirst writes from the first entry of the queue. more is false when the peer accepts nothing more now
// or the connection is closed. A message of which the peer accepted no byte is encoded again for the next
// write, as its contents may have changed by then.
func (c *Conn) writeFirst() (more bool, err error) {
	head := &c.outputQueue[0]
	data := head.data
	if head.message != nil {
		encoded, wanted := head.message.Encode()
		if c.closed { // Encode may close a connection that was open for this message only
			return false, nil
		}
		if !wanted {
			c.outputQueue = c.outputQueue[1:]
			return true, nil
		}
		data = encoded
	}
	n, err := System.Write(c.fd, data)
	if err != nil && !isTransient(err) {
		return false, fmt.Errorf("write: %w", err)
	}
	if n <= 0 {
		return false, nil
	}
	return c.recordWritten(data, n), nil
}

// recordWritten accounts for the first n bytes of data, the contents of the queue's first entry, as written.
// It reports whether that is all of data.
func (c *Conn) recordWritten(data []byte, n int) (complete bool) {
	head := &c.outputQueue[0] // fetched again: output queued by Encode may have moved the queue
	c.delivery.recordWritten(n)
	if head.message != nil {
		message := head.message
		c.queuedBytes += len(data)
		c.setMemory(head, cap(data))
		head.message = nil
		head.onWritten = message.Written
		message.Started(n == len(data))
	}
	c.queuedBytes -= n
	if n < len(data) {
		head.data = data[n:]
		return false
	}
	if head.onWritten != nil {
		head.onWritten()
	}
	c.setMemory(head, 0)
	c.outputQueue = c.outputQueue[1:]
	return true
}
