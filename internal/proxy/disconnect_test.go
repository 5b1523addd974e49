package proxy

import (
	"encoding/binary"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
)

// handClock is moved on by a test.
type handClock struct{ now eventloop.Timestamp }

func (c *handClock) Now() eventloop.Timestamp { return c.now }
func (c *handClock) PollTimeout(wanted time.Duration) time.Duration {
	return min(wanted, time.Millisecond)
}

// record is one FastCGI record.
func record(kind byte, content string) []byte {
	head := []byte{1, kind, 0, 1, 0, 0, 0, 0}
	binary.BigEndian.PutUint16(head[4:], uint16(len(content)))
	return append(head, content...)
}

// completeRequest is a request for an object, in one piece.
func completeRequest() []byte {
	var pairs []byte
	for _, p := range [][2]string{{"SCRIPT_NAME", "/ops/w"}, {"HTTP_REQ_ID", "9b1f03aa5c7e2d41"}, {"HTTP_REQ_KEY", "7f3a9c21e0b4d655"},
		{"HTTP_REQ_WAIT_MS", "5000"}, {"HTTP_X_PIECE", "0"}, {"HTTP_X_LOT", "0"}} {
		pairs = append(append(append(pairs, byte(len(p[0])), byte(len(p[1]))), p[0]...), p[1]...)
	}
	out := record(1, "\x00\x01\x01\x00\x00\x00\x00\x00")
	out = append(out, record(4, string(pairs))...)
	out = append(out, record(4, "")...)
	return append(out, record(5, "")...)
}

// Nothing begins for a client that leaves, or takes its request back, while the turn in which that was read
// lasts: the process may lose its core between reading and writing.
func TestNothingBeginsForAClientThatDisconnectsInALongTurn(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"close":   func(c *net.TCPConn) { c.Close() },
		"reset":   func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"abort":   func(c *net.TCPConn) { c.Write(record(2, "")) },
		"nothing": func(*net.TCPConn) {},
	} {
		clock := &handClock{now: eventloop.Timestamp(time.Now().UnixNano())}
		loop, err := eventloop.NewLoop(clock)
		if err != nil {
			t.Fatal(err)
		}
		origin, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer origin.Close()
		set, err := settings.Decode(json.RawMessage(`{"areas":["hub"],"host-types":["std","parent","origin"],"group-size":1,
			"classes":[{"name":"w","semantics":"non_idempotent","promise-us":500000,"gain":1}],
			"domain":{"direct":true,"root-kind":2,"upper-kind":1,"pass-on":[true]},"limits":{"may-cancel":true,"max-attempts":4}}`))
		if err != nil {
			t.Fatal(err)
		}
		p := New(loop, Config{Settings: set, MaxDescriptors: 100, MaxMemoryBytes: 1 << 26, InitialState: watch.InitialState{Index: 1, Events: []watch.Event{{Index: 1,
			Endpoints: &watch.EndpointUpdate{Full: true, Endpoints: []watch.Endpoint{{ID: "o", Addr: origin.Addr().String(), Zone: "hub", Kind: "origin",
				State: watch.StateServing, Weight: 100}}}}}}}, slog.New(slog.DiscardHandler))
		free, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		free.Close()
		if err := p.Listen(netip.MustParseAddrPort(free.Addr().String()), 10); err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", free.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		turn := func(flush bool) {
			clock.now += time.Millisecond
			if err := loop.Wait(time.Millisecond); err != nil {
				t.Fatal(err)
			}
			if p.consult(); flush {
				p.settle()
			}
		}
		client.Write(completeRequest()) //nolint:errcheck // shows in what the proxy knows
		for end := time.Now().Add(5 * time.Second); len(p.requests) == 0 && time.Now().Before(end); {
			turn(false)
		}
		var a *attempt
		for _, q := range p.requests {
			a = q.attempts[0]
		}
		for end := time.Now().Add(5 * time.Second); !a.on.slot.Connected() && time.Now().Before(end); {
			turn(false)
		}
		leave(client.(*net.TCPConn))
		time.Sleep(20 * time.Millisecond) // on loopback it has arrived long before
		clock.now += 200 * time.Millisecond
		p.settle()
		if want := name == "nothing"; a.started != want {
			t.Errorf("%s: begun %v", name, a.started)
		}
		client.Close()
	}
}
