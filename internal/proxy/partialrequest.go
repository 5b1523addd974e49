package proxy

// This file holds the memory that requests take before they are complete, and how it is freed while the
// memory budget is critical.

import (
	"cloverdoor/internal/fastcgi"
	"cloverdoor/policy"
)

// minSkippedBytes is how long the beginning of an incomplete record must be to be discarded while the memory
// budget is critical. The records that begin a request are shorter.
const minSkippedBytes = 1 << 10

// hasPartialRequest reports whether a part of a request has been received.
func (c *clientConn) hasPartialRequest() bool {
	return c.conn.UnparsedBytes() > 0 || c.decoder.Receiving()
}

// rejectPartial frees the memory of requests that are not complete: they are rejected, and the rest of them
// is skipped. record is the beginning of an incomplete record; used is how much of it was discarded.
func (c *clientConn) rejectPartial(record []byte) (used int) {
	for _, id := range c.decoder.DropPartial() {
		c.completeRequests++
		c.server.counters.countNotServed(policy.ReasonMemory)
		c.conn.Write(fastcgi.AppendEnd(nil, id, 0, fastcgi.Overloaded))
	}
	missing := fastcgi.MissingBytes(record)
	if missing == 0 || len(record) < minSkippedBytes {
		return 0
	}
	c.skipBytes = missing
	return len(record)
}

// updatePartialBytes counts the bytes that the connection's partial and blocked requests take.
func (c *clientConn) updatePartialBytes() {
	buffered := c.decoder.BufferedBytes()
	for _, b := range c.blocked {
		buffered += len(b.request.Body)
	}
	c.setPartialBytes(buffered)
}

// setPartialBytes keeps the memory budget's sum in step with the connection's bytes. A connection may be
// closed while its input is being handled: counting it again after that would leave its bytes in the sum, and
// the server would reject ever more.
func (c *clientConn) setPartialBytes(buffered int) {
	if c.openRequests == nil {
		buffered = 0
	}
	c.server.memory.partial += buffered - c.partialBytes
	c.partialBytes = buffered
}
