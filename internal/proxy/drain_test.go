package proxy

import (
	"testing"
	"time"
)

// Guards against a connection that a drain holds for the rest of a request: the
// last moment of each connection does not depend on its client.
func TestConnectionIsClosedAtTheTimeLimit(t *testing.T) {
	const step, begun = 500 * time.Millisecond, 20
	f := newProxyFixture(t)
	c := f.soleConn(t)
	input := requestWithTimeout("60000")
	send := func(from, to int) {
		if _, err := f.client.Write(input[from:to]); err != nil {
			t.Fatal(err)
		}
	}
	send(0, begun)
	f.turnUntil(t, c.hasPartialRequest)
	f.p.startDrain()
	for i := range int(drainCloseAfter/step) - 1 { // it trickles, so that no pause is long
		send(begun+i, begun+i+1)
		f.turnOfProxy(t, step)
	}
	if c.conn.Ended() {
		t.Error("the connection is closed before the time limit")
	}
	f.turnOfProxy(t, step)
	if !c.conn.Ended() || c.partialBytes > 0 {
		t.Errorf("closed: %v, with %d bytes buffered", c.conn.Ended(), c.partialBytes)
	}
}

// Guards against a request that was read at the time limit and never answered: it is answered before the end of the
// connection, by a failure if it may have been executed.
func TestOpenRequestIsAnsweredAtTheTimeLimit(t *testing.T) {
	f := newProxyFixture(t)
	c := f.soleConn(t)
	if _, err := f.client.Write(requestWithTimeout("60000")); err != nil {
		t.Fatal(err)
	}
	f.turnUntil(t, func() bool { return len(c.openRequests) == 1 })
	f.p.startDrain()
	f.turnOfProxy(t, drainCloseAfter)
	if err := f.client.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 8)
	if n, err := f.client.Read(answer); n < len(answer) || err != nil || answer[1] != 6 {
		t.Errorf("read % x, error %v, want a record of type STDOUT", answer[:n], err)
	}
}

// Guards against answers that come when a slow reader has no time left to read them: it would go on sending without seeing
// the end of its connection. Its open request is answered early enough, and the connection stays open for reading.
func TestOpenRequestOfASlowReaderIsAnsweredInTimeToRead(t *testing.T) {
	const size = 2 << 20
	f := newProxyFixture(t)
	c := f.soleConn(t)
	f.answerAtOnce(t, c, size)
	for c.conn.DeliveryTime() < time.Second {
		f.read(t, int(slowReaderRate*connCheckInterval.Seconds())/8)
		f.turn(t, connCheckInterval)
	}
	if _, err := f.client.Write(requestWithTimeout("60000")); err != nil {
		t.Fatal(err)
	}
	f.turnUntil(t, func() bool { return len(c.openRequests) == 1 })
	f.p.startDrain()
	f.turnOfProxy(t, drainAcceptTime)
	f.turnOfProxy(t, drainCloseAfter-drainAcceptTime-time.Second)
	if len(c.openRequests) > 0 || c.conn.Ended() {
		t.Errorf("a second before the time limit: %d requests are open, the connection is closing: %v", len(c.openRequests), c.conn.Ended())
	}
}
