package eventloop

import (
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerInterval is how long a connection waits after the shutdown of its output, and again for as long
	// as the peer has not acknowledged all output.
	lingerInterval = 200 * time.Millisecond

	// maxLinger bounds the wait in total.
	maxLinger = 10 * time.Second
)

// Close ends the connection at once. Its handler is not called any more.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.Stop(c.connectTimer)
	c.loop.bufferedBytes -= c.queuedBytes + len(c.unparsed)
	c.queuedBytes = 0
	c.unparsed = nil
	c.outputQueue = nil
	c.loop.closeDescriptor(c.fd)
}

// Fail closes the connection and passes err to its handler.
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

// CloseAfterFlush ends the connection in an orderly way: it writes the queued output, shuts down the sending
// side and waits for the peer to close. Closing at once with input unread would reset the connection, and the
// peer would lose output that is still on its way.
func (c *Conn) CloseAfterFlush() {
	if c.Ended() {
		return
	}
	c.closing = true
	if len(c.outputQueue) == 0 {
		c.shutdownOutput()
	}
}

// shutdownOutput shuts down the sending side and starts the wait for the peer. It is called when the output
// queue is empty: a peer that reads slowly would otherwise lose the rest of its output.
func (c *Conn) shutdownOutput() {
	if c.inputEnded { // no input is left that could reset the connection
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

// linger closes the connection once the peer has acknowledged all output, checked every lingerInterval, or at
// the first check after the deadline.
func (c *Conn) linger(deadline Timestamp) {
	c.loop.At(c.loop.now+lingerInterval, func() {
		switch {
		case c.closed:
			return
		case c.UnackedBytes() > 0 && c.loop.now < deadline:
			c.linger(deadline)
		default:
			c.closeAfterReading()
		}
	})
}

// closeAfterReading discards the input that has arrived and closes the connection.
func (c *Conn) closeAfterReading() {
	c.receive()
	if !c.closed {
		c.Fail(io.EOF)
	}
}
