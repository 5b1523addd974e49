package proxy

import (
	"testing"

	"cloverdoor/internal/eventloop"
)

// Guards against a memory count that never falls again: the buffered bytes of a closed connection are released,
// even if they are counted again after its close.
func TestClosedConnectionReleasesBufferedBytes(t *testing.T) {
	f := &FastCGIServer{memory: &memoryBudget{}, conns: map[*clientConn]bool{}}
	c := &clientConn{conn: &eventloop.Conn{}, server: f, openRequests: map[uint16]int64{}}
	f.conns[c] = true
	c.setPartialBytes(1000)
	c.setPartialBytes(700)
	if f.memory.partialRequests != 700 {
		t.Errorf("%d bytes counted, want 700", f.memory.partialRequests)
	}
	c.Closed(nil)
	c.setPartialBytes(700)
	if f.memory.partialRequests != 0 || len(f.conns) != 0 {
		t.Errorf("%d bytes and %d connections counted after the close, want none", f.memory.partialRequests, len(f.conns))
	}
}
