package eventloop

import (
	"net"
	"testing"
	"time"
)

// costlyReader is a handler for which each byte of input takes costPerByte. It yields when its slice is over.
type costlyReader struct {
	clock       *testClock
	conn        *Conn
	costPerByte time.Duration
	group       Group
	received    int
	turn        *int // the number of the turn
	lastServed  int  // the turn in which it was last passed input
	longestWait int  // number of turns between two of those at the most
}

func (r *costlyReader) Receive(data []byte) (used int, err error) {
	if r.lastServed > 0 {
		r.longestWait = max(r.longestWait, *r.turn-r.lastServed)
	}
	r.lastServed = *r.turn
	for used < len(data) {
		r.clock.now += r.costPerByte
		used++
		if r.conn.SliceOver() {
			r.conn.Yield()
			break
		}
	}
	r.received += used
	return used, nil
}

func (r *costlyReader) Closed(error) {}

// Guards against a turn that some connections make long, and against connections that are not served while others flood
// the loop (review/7): the time of a turn is limited, connections of a group take turns, and no group waits for another.
func TestTurnsAreShortAndShared(t *testing.T) {
	const (
		floodingClients = 60
		costPerByte     = 20 * time.Microsecond
		inputBytes      = 8 << 10
		turnLimit       = 3*groupTime + timerTime
	)
	clock := &testClock{now: Timestamp(time.Now().UnixNano())}
	turn := 0
	var readers []*costlyReader
	listener := newTestListenerWithClock(t, clock, func() bool { return true }, func(c *Conn) Handler {
		r := &costlyReader{clock: clock, conn: c, costPerByte: costPerByte, turn: &turn}
		if len(readers) == floodingClients {
			r.group = Operators
			c.SetGroup(Operators)
		}
		readers = append(readers, r)
		return r
	})
	var peers []net.Conn
	for range floodingClients + 1 {
		peers = append(peers, listener.dial(t))
		runTurns(t, listener.loop, func() bool { return len(readers) == len(peers) })
	}
	for _, peer := range peers {
		if _, err := peer.Write(make([]byte, inputBytes)); err != nil {
			t.Fatal(err)
		}
	}
	timerCalls := 0
	var callEachTurn func()
	callEachTurn = func() {
		timerCalls++
		listener.loop.At(listener.loop.Now()+1, callEachTurn)
	}
	callEachTurn()
	total := func() (received int) {
		for _, r := range readers {
			received += r.received
		}
		return received
	}
	for turn = 1; total() < inputBytes*len(readers); turn++ {
		start := clock.now
		if err := listener.loop.Wait(0); err != nil {
			t.Fatal(err)
		}
		if length := clock.now - start; length > turnLimit {
			t.Fatalf("turn %d took %v, want at most %v", turn, length, turnLimit)
		}
		if timerCalls < turn-1 {
			t.Fatalf("turn %d: a timer that is due in each turn was called %d times", turn, timerCalls)
		}
	}
	const rotation = int(floodingClients*minSlice/groupTime) + 2
	for i, r := range readers[:floodingClients] {
		if r.longestWait > rotation {
			t.Errorf("client %d waited %d turns to be served, want at most %d", i, r.longestWait, rotation)
		}
	}
	if r := readers[floodingClients]; r.longestWait > 1 {
		t.Errorf("the connection of another group waited %d turns to be served, want 1", r.longestWait)
	}
}

// Guards against the end of a connection that is noticed only when all of its input has been read: a client that floods
// the loop and closes is known to have gone in the next turn.
func TestEndIsNoticedWhileInputWaits(t *testing.T) {
	clock := &testClock{now: Timestamp(time.Now().UnixNano())}
	turn := 0
	var handler *endRecorder
	listener := newTestListenerWithClock(t, clock, func() bool { return true }, func(c *Conn) Handler {
		handler = &endRecorder{costlyReader: costlyReader{clock: clock, conn: c, costPerByte: time.Millisecond, turn: &turn}}
		return handler
	})
	peer := listener.dial(t)
	runTurns(t, listener.loop, func() bool { return handler != nil })
	const inputBytes = 1000
	if _, err := peer.Write(make([]byte, inputBytes)); err != nil {
		t.Fatal(err)
	}
	if err := peer.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	waitUntil(func() bool { return hungUp(handler.conn.fd) })
	if err := listener.loop.Wait(0); err != nil {
		t.Fatal(err)
	}
	if !handler.closing || handler.received == inputBytes {
		t.Errorf("after one turn: end noticed %v, %d of %d bytes handled; want it noticed before all are handled",
			handler.closing, handler.received, inputBytes)
	}
	runTurns(t, listener.loop, func() bool { return handler.closed })
	if handler.received != inputBytes || !handler.closed {
		t.Errorf("%d of %d bytes handled before the end", handler.received, inputBytes)
	}
}

// endRecorder records the end of its peer's output.
type endRecorder struct {
	costlyReader
	closing, closed bool
}

func (r *endRecorder) PeerClosing(Timestamp) { r.closing = true }
func (r *endRecorder) PeerClosed() bool {
	r.closed = true
	return false
}
