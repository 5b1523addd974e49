package proxy

// This file counts the memory that requests take before they are submitted, and frees that of partial requests while the
// memory budget is critical, or while they take too much of it.

import (
	"cloverdoor/internal/fastcgi"
	"cloverdoor/policy"
)

// minSkippedBytes is the minimum size of the received part of an incomplete record that is discarded while the
// memory budget is critical. The records that begin a request are shorter.
const minSkippedBytes = 1 << 10

// hasPartialRequest reports whether a part of a request has been received.
func (c *clientConn) hasPartialRequest() bool {
	return c.conn.UnparsedBytes() > 0 || c.decoder.Receiving()
}

// rejectPartial rejects the partial requests, which frees their memory. record is the beginning of an incomplete
// record. If at least minSkippedBytes of it have been received, they are discarded, and the rest of the record is
// skipped as it arrives. used is the number of bytes discarded now.
func (c *clientConn) rejectPartial(record []byte) (used int) {
	for _, id := range c.decoder.DropPartial() {
		c.completeRequests++
		c.server.counters.countNotServed(policy.ReasonMemory)
		c.conn.Write(fastcgi.AppendEnd(nil, id, 0, fastcgi.StatusOverloaded))
	}
	missingBytes := fastcgi.MissingBytes(record)
	if missingBytes == 0 || len(record) < minSkippedBytes {
		return 0
	}
	c.skipBytes = missingBytes
	return len(record)
}

// mustRejectPartial reports whether the connection's partial requests, of which an incomplete record of recordBytes is
// the last part, take more memory than they may.
func (c *clientConn) mustRejectPartial(recordBytes int) bool {
	return c.partialBytes+recordBytes > c.server.memory.partialShare()
}

// updatePartialBytes recounts the memory of the connection's partial and blocked requests.
func (c *clientConn) updatePartialBytes() {
	buffered := c.decoder.MemoryBytes()
	for _, b := range c.blocked {
		buffered += blockedRequestOverheadBytes + b.request.MemoryBytes()
	}
	c.setPartialBytes(buffered)
}

// setPartialBytes sets partialBytes and adds the change to the memory budget. For a closed connection it sets 0: a
// connection may be closed while its input is being handled, and bytes counted after that would stay in the budget,
// so that the server would reject more and more requests.
func (c *clientConn) setPartialBytes(buffered int) {
	if c.openRequests == nil {
		buffered = 0
	}
	c.server.memory.partialRequests += buffered - c.partialBytes
	c.partialBytes = buffered
}
