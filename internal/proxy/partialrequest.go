package proxy

// This file counts the memory that requests take before they are submitted, and frees that of partial requests
// while the memory budget is critical.

import (
	"cloverdoor/internal/fastcgi"
	"cloverdoor/policy"
)

// minSkippedBytes is how many bytes of an incomplete record must have been received for the record to be
// discarded while the memory budget is critical. The records that begin a request are shorter.
const minSkippedBytes = 1 << 10

// hasPartialRequest reports whether a part of a request has been received.
func (c *clientConn) hasPartialRequest() bool {
	return c.conn.UnparsedBytes() > 0 || c.decoder.Receiving()
}

// rejectPartial rejects the partial requests, which frees their memory, and skips the rest of their records.
// record is the beginning of an incomplete record; used is how many bytes of it are discarded.
func (c *clientConn) rejectPartial(record []byte) (used int) {
	for _, id := range c.decoder.DropPartial() {
		c.completeRequests++
		c.server.counters.countNotServed(policy.ReasonMemory)
		c.conn.Write(fastcgi.AppendEnd(nil, id, 0, fastcgi.StatusOverloaded))
	}
	missing := fastcgi.MissingBytes(record)
	if missing == 0 || len(record) < minSkippedBytes {
		return 0
	}
	c.skipBytes = missing
	return len(record)
}

// updatePartialBytes recounts the bytes of the connection's partial and blocked requests.
func (c *clientConn) updatePartialBytes() {
	buffered := c.decoder.BufferedBytes()
	for _, b := range c.blocked {
		buffered += len(b.request.Body)
	}
	c.setPartialBytes(buffered)
}

// setPartialBytes sets the connection's bytes and adds the change to the memory budget; a closed connection has
// no bytes. A connection may be closed while its input is being handled: counting its bytes after that would
// leave them in the budget, and the server would reject more and more requests.
func (c *clientConn) setPartialBytes(buffered int) {
	if c.openRequests == nil {
		buffered = 0
	}
	c.server.memory.partial += buffered - c.partialBytes
	c.partialBytes = buffered
}
