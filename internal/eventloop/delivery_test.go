package eventloop

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// readingRate is how many bytes a second the peers of these tests read.
const readingRate = 100_000

// realStep is the real time that a step of these tests takes: the system's TCP timers don't follow the test's clock.
const realStep = 20 * time.Millisecond

// newClosingConn returns a connection with so many bytes of output, all written and most not read yet, on which
// CloseAfterFlush was called.
func newClosingConn(t *testing.T, size int) (*testClock, *testListener, *echo, net.Conn) {
	t.Helper()
	clock := &testClock{now: Timestamp(time.Now().UnixNano())}
	handler := &echo{}
	accept := func(c *Conn) Handler {
		handler.conn = c
		return handler
	}
	ln := newTestListenerWithClock(t, clock, func() bool { return true }, accept)
	peer := ln.dial(t)
	runTurns(t, ln.loop, func() bool { return handler.conn != nil })
	handler.conn.Write(make([]byte, size))
	ln.loop.Flush()
	if handler.conn.QueuedBytes() > 0 {
		t.Fatalf("%d bytes are queued, want all written", handler.conn.QueuedBytes())
	}
	handler.conn.CloseAfterFlush()
	return clock, ln, handler, peer
}

// advance lets time pass, checks the timers and writes.
func (c *testClock) advance(t *testing.T, loop *Loop, elapsed time.Duration) {
	t.Helper()
	c.now += elapsed
	if err := loop.Wait(0); err != nil {
		t.Fatal(err)
	}
	loop.Flush()
}

// Guards against a close that cuts off answers: a closing connection gave up on its peer maxLinger after its shutdown,
// although the peer was still reading; the peer's next request would then have reset the connection.
func TestClosingConnWaitsWhileItsPeerReads(t *testing.T) {
	const size, step = 2 << 20, lingerInterval
	clock, ln, handler, peer := newClosingConn(t, size)
	for total := 0; total < size; {
		n, err := io.ReadFull(peer, make([]byte, min(size-total, int(readingRate*step.Seconds()))))
		if err != nil {
			t.Fatal(err)
		}
		total += n
		time.Sleep(realStep)
		clock.advance(t, ln.loop, step)
		if handler.closeErr != nil && total < size/2 { // the peer's buffer may hold the rest
			t.Fatalf("closed when the peer had read %d of %d bytes", total, size)
		}
	}
	if n, err := peer.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, error %v behind the output, want the end", n, err)
	}
	runTurns(t, ln.loop, func() bool {
		clock.now += step
		return handler.closeErr != nil
	})
	if handler.closeErr == nil {
		t.Error("the connection is open although its peer has read everything")
	}
}

// Guards against a connection that never ends: one whose peer has stopped reading is closed after maxLinger.
func TestClosingConnOfASilentPeerEnds(t *testing.T) {
	const size, step = 2 << 20, lingerInterval
	clock, ln, handler, _ := newClosingConn(t, size)
	start := clock.now
	for handler.closeErr == nil && clock.now-start < 2*maxLinger {
		clock.advance(t, ln.loop, step)
	}
	if lingered := clock.now - start; handler.closeErr == nil || lingered < maxLinger || lingered > maxLinger+3*step {
		t.Errorf("closed with error %v after %v, want after %v", handler.closeErr, lingered, maxLinger)
	}
}

// Guards against a peer that reads at once and counts as slow, because some output was on its way whenever the system was
// asked (report 06224d): its connection was held for a second after each pause.
func TestDeliveryTimeOfABusyPeerIsShort(t *testing.T) {
	const writeInterval, askInterval, busyTime = 5 * time.Millisecond, 50 * time.Millisecond, time.Second
	const longestAckDelay = 300 * time.Millisecond // the system's limit for a delayed acknowledgment, 200 ms, and the machine's delays
	handler := &echo{}
	ln := newTestListener(t, func() bool { return true }, func(c *Conn) Handler {
		handler.conn = c
		return handler
	})
	peer := ln.dial(t)
	go io.Copy(io.Discard, peer) //nolint:errcheck // it ends with the test
	runTurns(t, ln.loop, func() bool { return handler.conn != nil })
	start := ln.loop.ReadClock()
	askedAt := start
	for now := start; now-start < busyTime; now = ln.loop.ReadClock() {
		if err := ln.loop.Wait(writeInterval); err != nil {
			t.Fatal(err)
		}
		handler.conn.Write(make([]byte, 100))
		ln.loop.Flush()
		if now-askedAt >= askInterval { // right after a write, so that it is never found acknowledged
			askedAt = now
			handler.conn.UndeliveredOutput()
		}
	}
	runTurns(t, ln.loop, func() bool {
		undeliveredBytes, _ := handler.conn.UndeliveredOutput()
		return undeliveredBytes == 0
	})
	if got := handler.conn.DeliveryTime(); got > longestAckDelay {
		t.Errorf("the delivery time of a peer that reads at once is %v after %v", got, busyTime)
	}
}

// A peer that reads slowly has a delivery time near the wait of the last output.
func TestDeliveryTimeOfASlowPeer(t *testing.T) {
	const size, step = 1 << 20, lingerInterval
	clock := &testClock{now: Timestamp(time.Now().UnixNano())}
	handler := &echo{}
	ln := newTestListenerWithClock(t, clock, func() bool { return true }, func(c *Conn) Handler {
		handler.conn = c
		return handler
	})
	peer := ln.dial(t)
	runTurns(t, ln.loop, func() bool { return handler.conn != nil })
	start := clock.now
	for range 4 { // the first of them is acknowledged long before the last
		handler.conn.Write(make([]byte, size/4))
	}
	ln.loop.Flush()
	for total := 0; total < size; {
		n, err := io.ReadFull(peer, make([]byte, min(size-total, int(readingRate*step.Seconds()))))
		if err != nil {
			t.Fatal(err)
		}
		total += n
		time.Sleep(realStep)
		clock.advance(t, ln.loop, step)
		if undeliveredBytes, _ := handler.conn.UndeliveredOutput(); undeliveredBytes == 0 {
			break // the peer's buffer holds the rest
		}
	}
	waited := clock.now - start
	if got := handler.conn.DeliveryTime(); got < waited/2 || got > waited {
		t.Errorf("the delivery time is %v, want near %v", got, waited)
	}
}
