package eventloop

import (
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerInterval is the interval at which a closing connection, from the shutdown of its output on, checks
	// whether the peer has acknowledged all output. The first check comes one interval after the shutdown.
	lingerInterval = 200 * time.Millisecond

	// maxLinger is the time without an acknowledgment, from the shutdown of its output on, after which a closing
	// connection gives up waiting for the peer; the next check then closes it.
	maxLinger = 10 * time.Second
)

// Close closes the connection at once and drops the queued output. Its handler is not called any more.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.Stop(c.connectTimer)
	c.setUnparsed(nil)
	for i := range c.outputQueue {
		c.setMemory(&c.outputQueue[i], 0)
	}
	c.queuedBytes = 0
	c.outputQueue = nil
	c.loop.closeDescriptor(c.fd)
}

// Fail closes the connection at once and passes err to its handler, wrapped in ErrNotConnected if the
// connection was never established.
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

// CloseAfterFlush closes the connection gracefully: it writes the queued output, shuts down the sending side
// and waits until the peer has closed the connection or acknowledged all output, or has acknowledged none for
// maxLinger.
// Closing at once with input unread would reset the connection, and the peer would lose output that is still
// in transit.
func (c *Conn) CloseAfterFlush() {
	if c.Ended() {
		return
	}
	c.closing = true
	if len(c.outputQueue) == 0 {
		c.shutdownOutput()
	}
}

// shutdownOutput shuts down the sending side and starts the wait for the peer, or closes the connection if
// all the peer's input has been read. The output queue must be empty: a peer that reads slowly would
// otherwise lose the rest of its output.
func (c *Conn) shutdownOutput() {
	if c.inputEnded { // no input is left that could reset the connection
		c.Fail(io.EOF)
		return
	}
	if err := System.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		c.Fail(fmt.Errorf("shutdown: %w", err))
		return
	}
	c.delivery.recordShutdown(c.loop.now)
	c.linger()
	c.updateInterest()
}

// linger checks every lingerInterval whether the peer has acknowledged all output, and closes the connection
// once it has, or once it has acknowledged none for maxLinger.
func (c *Conn) linger() {
	c.loop.At(c.loop.now+lingerInterval, func() {
		if c.closed {
			return
		}
		undeliveredBytes, since := c.UndeliveredOutput()
		if undeliveredBytes > 0 && c.loop.now-since < maxLinger {
			c.linger()
			return
		}
		c.CloseAfterReading()
	})
}

// CloseAfterReading discards the input that has arrived and closes the connection at once. Unread input would have the
// system drop the output in its buffers.
func (c *Conn) CloseAfterReading() {
	if c.closed {
		return
	}
	c.closing = true
	c.receive()
	if !c.closed {
		c.Fail(io.EOF)
	}
}
