package proxy

import "testing"

// Guards against a memory count that never falls again: the buffered bytes of a closed connection are released,
// even if they are counted again after its close.
func TestClosedConnectionReleasesBufferedBytes(t *testing.T) {
	f := newProxyFixture(t)
	c := f.soleConn(t)
	c.setPartialBytes(1000)
	c.setPartialBytes(700)
	if f.p.memory.partialRequests != 700 {
		t.Errorf("%d bytes counted, want 700", f.p.memory.partialRequests)
	}
	c.Closed(nil)
	c.setPartialBytes(700)
	if conns := len(c.server.conns); f.p.memory.partialRequests != 0 || conns != 0 {
		t.Errorf("%d bytes and %d connections counted after the close, want none", f.p.memory.partialRequests, conns)
	}
}
