package eventloop

import (
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

// Close ends the connection at once. Its handler is not called any more.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.Stop(c.connectTimer)
	c.loop.bufferedBytes -= c.queuedBytes + len(c.unparsed)
	c.queuedBytes, c.unparsed, c.outputQueue = 0, nil, nil
	c.loop.closeDescriptor(c.fd)
}

// CloseAfterFlush ends the connection in good order: what is queued is written, the peer is told that no more
// comes, and its own end is waited for. Closing at once with input unread would reset the connection, and the
// peer would lose answers still on their way.
func (c *Conn) CloseAfterFlush() {
	if c.Ended() {
		return
	}
	c.closing = true
	if len(c.outputQueue) == 0 {
		c.shutdownOutput()
	}
}

// shutdownOutput begins the wait for the peer's end only when all that was queued has gone: a peer that reads slowly
// would else lose the rest of an answer.
func (c *Conn) shutdownOutput() {
	if c.inputEnded { // nothing can be unread
		c.Fail(io.EOF)
		return
	}
	if err := System.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		c.Fail(fmt.Errorf("shutdown: %w", err))
		return
	}
	c.linger(c.loop.now + maxLinger)
	c.updateInterest()
}

// linger closes after a while, though the peer has not closed: a close over unread bytes resets the connection,
// and a peer that still takes its answers would lose the rest of them.
func (c *Conn) linger(end Timestamp) {
	c.loop.At(c.loop.now+lingerInterval, func() {
		switch {
		case c.closed:
		case c.UnackedBytes() > 0 && c.loop.now < end:
			c.linger(end)
		default:
			if c.receive(); !c.closed {
				c.Fail(io.EOF)
			}
		}
	})
}

// Fail ends the connection with an error, which its handler is told.
func (c *Conn) Fail(err error) {
	if c.closed {
		return
	}
	if !c.connected {
		err = fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	c.Close()
	c.handler.Closed(err)
}
