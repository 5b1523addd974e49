package proxy

import (
	"testing"
	"time"
)

// Guards against a connection that a drain holds for its client's next acknowledgment, or for the rest of a request: the
// last moment of each connection does not depend on its client, and what has arrived until then is answered.
func TestConnectionIsClosedAtTheTimeLimit(t *testing.T) {
	for name, input := range map[string][]byte{
		"silent":                 nil,
		"open request":           requestWithTimeout("60000"),
		"part of a request":      requestWithTimeout("60000")[:20],
		"the end, and then part": append(requestWithTimeout("60000"), 1, 1),
	} {
		f := newProxyFixture(t)
		c := f.soleConn(t)
		f.p.startDrain()
		f.turnOfProxy(t, drainCloseAfter-time.Millisecond)
		if _, err := f.client.Write(input); err != nil {
			t.Fatal(err)
		}
		f.turnOfProxy(t, time.Millisecond)
		if !c.conn.Ended() {
			t.Errorf("%s: the connection is open", name)
		}
		if len(c.openRequests) > 0 || c.partialBytes > 0 {
			t.Errorf("%s: %d requests are open, %d bytes are buffered", name, len(c.openRequests), c.partialBytes)
		}
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
