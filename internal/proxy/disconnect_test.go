package proxy

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now eventloop.Timestamp }

func (c *manualClock) Now() eventloop.Timestamp { return c.now }
func (c *manualClock) PollTimeout(wantedTimeout time.Duration) time.Duration {
	return min(wantedTimeout, time.Millisecond)
}

// record returns a FastCGI record of request 1. kind is the record type: 1 begins a request, 2 aborts it, 4 carries
// its params and 5 its input.
func record(kind byte, content string) []byte {
	header := []byte{1, kind, 0, 1, 0, 0, 0, 0}
	binary.BigEndian.PutUint16(header[4:], uint16(len(content)))
	return append(header, content...)
}

// completeRequest returns the records of a complete request.
func completeRequest() []byte { return requestWithTimeout("5000") }

// requestWithTimeout returns the records of a complete request with a timeout in milliseconds.
func requestWithTimeout(millis string) []byte {
	var pairs []byte
	for _, p := range [][2]string{{"SCRIPT_NAME", "/ops/w"}, {"HTTP_REQ_ID", "9b1f03aa5c7e2d41"}, {"HTTP_REQ_KEY", "7f3a9c21e0b4d655"},
		{"HTTP_REQ_WAIT_MS", millis}, {"HTTP_X_PIECE", "0"}, {"HTTP_X_LOT", "0"}} {
		pairs = append(append(append(pairs, byte(len(p[0])), byte(len(p[1]))), p[0]...), p[1]...)
	}
	records := record(1, "\x00\x01\x01\x00\x00\x00\x00\x00")
	records = append(records, record(4, string(pairs))...)
	records = append(records, record(4, "")...)
	return append(records, record(5, "")...)
}

// Guards against a call that is started although its client has disconnected, or aborted the request, after the
// request was read in the same turn. A turn is long if the process loses its CPU between reading and writing.
func TestNoCallStartsAfterDisconnectInLongTurn(t *testing.T) {
	for name, disconnect := range map[string]func(*testing.T, *net.TCPConn){
		"close": func(t *testing.T, c *net.TCPConn) {
			t.Helper()
			closeConn(t, c)
		},
		"reset": func(t *testing.T, c *net.TCPConn) {
			t.Helper()
			if err := c.SetLinger(0); err != nil {
				t.Fatal(err)
			}
			closeConn(t, c)
		},
		"abort": func(t *testing.T, c *net.TCPConn) {
			t.Helper()
			if _, err := c.Write(record(2, "")); err != nil {
				t.Fatal(err)
			}
		},
		"nothing": func(*testing.T, *net.TCPConn) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newProxyFixture(t)
			a := f.waitForAttempt(t)
			disconnect(t, f.client)
			time.Sleep(20 * time.Millisecond) // a close, reset or abort arrives much sooner on loopback
			f.clock.now += 200 * time.Millisecond
			f.p.runEventQueue()
			if want := name == "nothing"; a.started != want {
				t.Errorf("call started: %v, want the opposite", a.started)
			}
		})
	}
}

// proxyFixture is a proxy with one endpoint and one client. A test runs the turns of its event loop.
type proxyFixture struct {
	p      *Proxy
	loop   *eventloop.Loop
	clock  *manualClock
	client *net.TCPConn
}

func newProxyFixture(t *testing.T) *proxyFixture {
	t.Helper()
	clock := &manualClock{now: eventloop.Timestamp(time.Now().UnixNano())}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	origin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(t, origin) })
	proxySettings, err := settings.Decode(json.RawMessage(`{"areas":["hub"],"host-types":["std","parent","origin"],"group-size":1,
		"classes":[{"name":"w","semantics":"non_idempotent","promise-us":500000,"gain":1}],
		"domain":{"direct":true,"root-kind":2,"upper-kind":1,"pass-on":[true]},"limits":{"may-cancel":true,"max-attempts":4}}`))
	if err != nil {
		t.Fatal(err)
	}
	endpointList := &watch.EndpointUpdate{Full: true, Endpoints: []watch.Endpoint{{
		ID: "o", Addr: origin.Addr().String(), Zone: "hub", Kind: "origin", State: watch.StateServing, Weight: 100,
	}}}
	p := New(loop, Config{
		Settings: proxySettings, MaxDescriptors: 100, MaxMemoryBytes: 1 << 26,
		InitialState: watch.InitialState{Index: 1, Events: []watch.Event{{Index: 1, Endpoints: endpointList}}},
	}, slog.New(slog.DiscardHandler))
	addr := freeAddr(t)
	if err := p.Listen(addr, 10); err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(t, client) })
	return &proxyFixture{p: p, loop: loop, clock: clock, client: client.(*net.TCPConn)}
}

// freeAddr returns a local address on which nobody listens.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeConn(t, listener)
	return netip.MustParseAddrPort(listener.Addr().String())
}

// closeConn closes a connection or a listener, which may be closed already.
func closeConn(tb testing.TB, c io.Closer) {
	tb.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		tb.Error(err)
	}
}

// waitForAttempt sends a request and runs turns, in which nothing is written, until its attempt has an
// established connection.
func (f *proxyFixture) waitForAttempt(t *testing.T) *attempt {
	t.Helper()
	return f.waitForAttemptOf(t, completeRequest())
}

// waitForAttemptOf is waitForAttempt with the given records as the request.
func (f *proxyFixture) waitForAttemptOf(t *testing.T, records []byte) *attempt {
	t.Helper()
	if _, err := f.client.Write(records); err != nil {
		t.Fatal(err)
	}
	f.turnUntil(t, func() bool { return len(f.p.requests) > 0 })
	var a *attempt
	for _, q := range f.p.requests {
		a = q.attempts[0]
	}
	f.turnUntil(t, a.upstream.conn.Connected)
	return a
}

// turnUntil runs turns until done reports true, for 5 s at most.
func (f *proxyFixture) turnUntil(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); {
		if time.Now().After(end) {
			t.Fatal("not done after 5 s")
		}
		f.clock.now += time.Millisecond
		if err := f.loop.Wait(time.Millisecond); err != nil {
			t.Fatal(err)
		}
		f.p.dispatchEvents()
	}
}

// Guards against a metric svc_denied that also counts closes that there was no reason to propose: a client connection
// that is silent while its request is open must not be proposed for closing. The connection is closed once the request
// has been answered.
func TestOpenRequestCausesNoCloseDenials(t *testing.T) {
	f := newProxyFixture(t)
	a := f.waitForAttemptOf(t, requestWithTimeout("60000"))
	server := f.p.fastcgiServers[0]
	for end := f.clock.now + 2*idleTimeout; f.clock.now < end; f.clock.now += connCheckInterval {
		if err := f.loop.Wait(0); err != nil {
			t.Fatal(err)
		}
	}
	if denials := f.p.counters.denials; len(denials) != 0 || len(server.conns) != 1 {
		t.Errorf("denials: %v, want none; %d connections, want 1", denials, len(server.conns))
	}
	f.p.answer(a.req, Answer{Status: Failed})
	f.loop.Flush()
	for c := range server.conns {
		f.awaitDelivery(t, c)
	}
	f.clock.now += 2 * idleTimeout
	f.turnUntil(t, func() bool {
		f.loop.Flush()
		for c := range server.conns {
			if !c.conn.Ended() {
				return false
			}
		}
		return true
	})
}
