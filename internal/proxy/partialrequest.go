package proxy

import (
	"cloverdoor/internal/fastcgi"
)

// hasPartialRequest says whether a request has come in part.
func (c *clientConn) hasPartialRequest() bool {
	return c.conn.UnparsedBytes() > 0 || c.decoder.Receiving()
}

// rejectPartial gives back the memory of requests that have come in part: they are refused, and what still comes of them is passed
// over. It returns how much of a record that has begun is used up: the rest of it is skipped.
func (c *clientConn) rejectPartial(record []byte) (used int) {
	for _, id := range c.decoder.DropPartial() {
		c.completeRequests++
		c.conn.Write(fastcgi.AppendEnd(nil, id, 0, fastcgi.Overloaded))
	}
	rest := fastcgi.MissingBytes(record)
	if rest == 0 || len(record) < minSkippedBytes {
		return 0
	}
	c.skipBytes = rest
	return len(record)
}

// setPartialBytes keeps the proxy's sum of unfinished requests. A connection may be closed while what it brought is being
// taken: counted afterwards, it would stay in the sum for good, and the front would refuse more and more.
func (c *clientConn) setPartialBytes(held int) {
	if c.openRequests == nil {
		held = 0
	}
	c.server.p.memory.partial += held - c.partialBytes
	c.partialBytes = held
}

func (c *clientConn) updatePartialBytes() {
	held := c.decoder.BufferedBytes()
	for _, r := range c.blocked {
		held += len(r.request.Body)
	}
	c.setPartialBytes(held)
}
