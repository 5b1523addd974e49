package proxy

import (
	"io"
	"testing"
	"time"
)

// slowReaderRate is how many bytes a second a slow client reads.
const slowReaderRate = 950_000

// clientIdleLimit is the idle time after which clients close their connections themselves, by the protocol.
const clientIdleLimit = 4 * time.Second

// The socket buffer of a client in these tests. The system would make it larger for a client that reads fast in real
// time.
const (
	clientBufferSetting = 64 << 10
	clientBufferBytes   = 4 * clientBufferSetting // more than it holds of what the client has not read
)

// soleConn returns the connection of the fixture's client.
func (f *proxyFixture) soleConn(t *testing.T) *clientConn {
	t.Helper()
	server := f.p.fastcgiServers[0]
	f.turnUntil(t, func() bool { return len(server.conns) == 1 })
	for c := range server.conns {
		return c
	}
	return nil
}

// turn lets time pass and runs a turn of the event loop.
func (f *proxyFixture) turn(t *testing.T, elapsed time.Duration) {
	t.Helper()
	f.clock.now += elapsed
	if err := f.loop.Wait(0); err != nil {
		t.Fatal(err)
	}
	f.p.dispatchEvents()
	f.loop.Flush()
}

// answerAtOnce answers /alive and adds so many bytes to the answer: the client has sent a complete request, and it has
// been answered.
func (f *proxyFixture) answerAtOnce(t *testing.T, c *clientConn, size int) {
	t.Helper()
	if err := f.client.SetReadBuffer(clientBufferSetting); err != nil {
		t.Fatal(err)
	}
	if _, err := f.client.Write(healthCheck()); err != nil {
		t.Fatal(err)
	}
	f.turnUntil(t, func() bool { return c.completeRequests == 1 })
	c.conn.Write(make([]byte, size))
	f.loop.Flush()
}

// awaitDelivery runs turns until the client's system has acknowledged everything, which it may delay.
func (f *proxyFixture) awaitDelivery(t *testing.T, c *clientConn) {
	t.Helper()
	f.turnUntil(t, func() bool { return !c.isReceiving() })
}

// healthCheck returns a complete request for /alive.
func healthCheck() []byte {
	request := append(record(1, "\x00\x01\x01\x00\x00\x00\x00\x00"), record(4, "\x0b\x06SCRIPT_NAME/alive")...)
	return append(append(request, record(4, "")...), record(5, "")...)
}

// read reads up to size bytes that have arrived at the client.
func (f *proxyFixture) read(t *testing.T, size int) (n int) {
	t.Helper()
	const realWait = 100 * time.Millisecond // the system's TCP timers don't follow the test's clock
	if err := f.client.SetReadDeadline(time.Now().Add(realWait)); err != nil {
		t.Fatal(err)
	}
	n, _ = io.ReadFull(f.client, make([]byte, size))
	return n
}

// Guards against a request thrown away unread (review/3): a connection counted as idle from when its last answer was
// queued, although its client was still reading, and input is discarded once the connection is closing. The
// connection is open while its client reads, and for longer after that than a client keeps it; then it is closed.
func TestConnIsNotIdleWhileItsClientReads(t *testing.T) {
	for name, size := range map[string]int{"all in the socket buffers": 2 << 20, "a part is queued": 12 << 20} {
		f := newProxyFixture(t)
		c := f.soleConn(t)
		f.answerAtOnce(t, c, size)
		start := f.clock.now
		for total := 0; total < size; {
			total += f.read(t, int(slowReaderRate*connCheckInterval.Seconds()))
			f.turn(t, connCheckInterval)
			if c.conn.Ended() {
				t.Fatalf("%s: closed after %v, when the client had read %d of %d bytes", name, f.clock.now-start, total, size)
			}
		}
		f.awaitDelivery(t, c)
		readAt := f.clock.now
		for !c.conn.Ended() && f.clock.now-readAt < 2*idleTimeout {
			f.turn(t, connCheckInterval)
		}
		if idle := f.clock.now - readAt; !c.conn.Ended() || idle < clientIdleLimit {
			t.Errorf("%s: closed %v, %v after the client had read all", name, c.conn.Ended(), idle)
		}
	}
}

// Guards against a connection that never ends: a client that has stopped reading is closed after writeStallTimeout,
// also if all of its answers are in the socket buffers.
func TestConnOfAClientThatStopsReadingIsClosed(t *testing.T) {
	for name, size := range map[string]int{"all in the socket buffers": 2 << 20, "a part is queued": 12 << 20} {
		f := newProxyFixture(t)
		c := f.soleConn(t)
		f.answerAtOnce(t, c, size)
		for range 20 { // it reads for a while
			f.read(t, 30_000)
			f.turn(t, connCheckInterval)
		}
		stoppedAt := f.clock.now
		for !c.conn.Ended() && f.clock.now-stoppedAt < 2*writeStallTimeout {
			f.turn(t, connCheckInterval)
			if c.openRequests == nil {
				break
			}
		}
		stalled := f.clock.now - stoppedAt
		const tolerance = time.Second // an acknowledgment comes for several reads at a time
		if c.openRequests != nil || stalled < writeStallTimeout-tolerance || stalled > writeStallTimeout+tolerance {
			t.Errorf("%s: closed %v, %v after the client had stopped reading", name, c.openRequests == nil, stalled)
		}
	}
}

// Guards against steady readers that are closed as stalled while memory is short (review/2): the time was counted from
// the last write, and a write comes only once a third of the socket buffer is free. A client that does not read is
// still closed.
func TestSteadyReaderIsNotStalledWhenMemoryIsShort(t *testing.T) {
	const size = 12 << 20
	f := newProxyFixture(t)
	c := f.soleConn(t)
	f.answerAtOnce(t, c, size)
	f.p.memory.rejectAt = 0
	for total := 0; total < size/2; {
		total += f.read(t, int(slowReaderRate*connCheckInterval.Seconds()))
		f.turn(t, connCheckInterval)
		if c.openRequests == nil {
			t.Fatalf("closed when the client had read %d of %d bytes", total, size)
		}
	}
	for range 2 * criticalWriteStallTimeout / connCheckInterval {
		f.turn(t, connCheckInterval)
	}
	if c.openRequests != nil {
		t.Error("the connection is open although its client has stopped reading")
	}
}

// Guards against an eviction that loses answers and the next request: a client whose answers are in the socket buffers
// is not idle.
func TestClientThatReadsIsNotEvicted(t *testing.T) {
	const size = 2 << 20
	f := newProxyFixture(t)
	c := f.soleConn(t)
	server := f.p.fastcgiServers[0]
	f.answerAtOnce(t, c, size)
	if c.conn.QueuedBytes() > 0 {
		t.Fatalf("%d bytes are queued, want all in the socket buffers", c.conn.QueuedBytes())
	}
	for range 4 {
		f.turn(t, evictIdleAfter)
	}
	if server.evictIdleClient() {
		t.Fatal("a client was evicted that has not received its answer")
	}
	for total := 0; total < size; {
		total += f.read(t, size-total)
		f.turn(t, connCheckInterval)
	}
	f.awaitDelivery(t, c)
	f.turn(t, evictIdleAfter+connCheckInterval)
	if !server.evictIdleClient() {
		t.Error("the client was not evicted when it was idle")
	}
}

// Guards against a drain, and an eviction, that throw away the request of a client that reads slowly: it may still read
// what its system has acknowledged, and does not see the end of the connection before that.
func TestClientStillReadsWhatItsSystemHasReceived(t *testing.T) {
	const size, rate = 400 << 10, 100_000
	const realStep = 10 * time.Millisecond // the system's TCP timers don't follow the test's clock
	for name, closeIfAllowed := range map[string]func(f *proxyFixture){
		"drain":    func(f *proxyFixture) { f.p.fastcgiServers[0].closeDrainedConns() },
		"eviction": func(f *proxyFixture) { f.p.fastcgiServers[0].evictIdleClient() },
	} {
		f := newProxyFixture(t)
		c := f.soleConn(t)
		f.answerAtOnce(t, c, size)
		for total := 0; total < size; {
			total += f.read(t, min(size-total, int(rate*connCheckInterval.Seconds())))
			time.Sleep(realStep)
			f.turn(t, connCheckInterval)
			closeIfAllowed(f)
			if c.openRequests == nil || c.conn.Ended() {
				t.Fatalf("%s: closed when the client had read %d of %d bytes", name, total, size)
			}
		}
		f.awaitDelivery(t, c)
		f.turn(t, maxReadingTime+evictIdleAfter)
		closeIfAllowed(f)
		if !c.conn.Ended() && c.openRequests != nil {
			t.Errorf("%s: the connection is open although its client has read everything", name)
		}
	}
}

// Guards against the close of a connection with a partial request while its client reads: what the client sends next
// would be thrown away.
func TestPartialRequestOfAClientThatReadsIsNotOverdue(t *testing.T) {
	const size = 2 << 20
	f := newProxyFixture(t)
	c := f.soleConn(t)
	f.answerAtOnce(t, c, size)
	if _, err := f.client.Write(healthCheck()[:20]); err != nil {
		t.Fatal(err)
	}
	f.turnUntil(t, c.hasPartialRequest)
	for total := 0; total < size; {
		total += f.read(t, int(slowReaderRate*connCheckInterval.Seconds())/8)
		f.turn(t, connCheckInterval)
		if c.conn.Ended() && total < size-clientBufferBytes {
			t.Fatalf("closed when the client had read %d of %d bytes", total, size)
		}
	}
	f.awaitDelivery(t, c)
	f.turn(t, requestPauseTimeout+connCheckInterval)
	if !c.conn.Ended() {
		t.Error("the connection is open although its client neither reads nor sends")
	}
}
