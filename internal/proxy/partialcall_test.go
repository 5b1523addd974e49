package proxy

import (
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
)

// blockWrites makes the next write, on whichever connection, accept a few bytes and all later ones none, until allow
// is called.
func blockWrites(t *testing.T) (allow func()) {
	t.Helper()
	const acceptedBytes = 10
	original := eventloop.System.Write
	writes := 0
	eventloop.System.Write = func(fd int, data []byte) (int, error) {
		writes++
		if writes > 1 {
			return -1, unix.EAGAIN
		}
		return original(fd, data[:acceptedBytes])
	}
	allow = func() { eventloop.System.Write = original }
	t.Cleanup(allow)
	return allow
}

// newSharedConnProxy returns a proxy that uses one connection for all calls to its only server.
func newSharedConnProxy(t *testing.T, loop *eventloop.Loop) *Proxy {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(t, server) })
	proxySettings, err := settings.Decode(json.RawMessage(`{"areas":["hub"],"host-types":["std","parent","origin"],"group-size":1,
		"classes":[{"name":"r","semantics":"read_like","promise-us":500000,"gain":1}],
		"domain":{"direct":true,"root-kind":2,"upper-kind":1,"pass-on":[true]},
		"limits":{"may-cancel":true,"max-attempts":4,"streams-per-conn":32,"second-copies":true}}`))
	if err != nil {
		t.Fatal(err)
	}
	endpointList := &watch.EndpointUpdate{Full: true, Endpoints: []watch.Endpoint{{
		ID: "o", Addr: server.Addr().String(), Zone: "hub", Kind: "origin", State: watch.StateServing, Weight: 100,
	}}}
	return New(loop, Config{
		Settings: proxySettings, MaxDescriptors: 1, MaxMemoryBytes: 1 << 26,
		InitialState: watch.InitialState{Index: 1, Events: []watch.Event{{Index: 1, Endpoints: endpointList}}},
	}, slog.New(slog.DiscardHandler))
}

// Guards against a request that waits until its deadline behind the rest of a cancelled call: the connection of a
// call that was written in part is closed after 0.1 s, even if the call's attempt has ended by then.
func TestPartialWriteDoesNotBlockOtherCalls(t *testing.T) {
	clock := &manualClock{now: eventloop.Timestamp(time.Now().UnixNano())}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	p := newSharedConnProxy(t, loop)
	turnUntil := func(done func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !done(); {
			if time.Now().After(end) {
				t.Fatal("not done after 5 s")
			}
			if err := loop.Wait(time.Millisecond); err != nil {
				t.Fatal(err)
			}
			p.runEventQueue()
		}
	}
	submit := func(id string) *request {
		parsed := Request{ID: id, ClassName: "r", Object: "7f3a9c21e0b4d655", Timeout: time.Minute}
		return p.requests[p.submitRequest(parsed, discardResponder{})]
	}
	allowWrites := blockWrites(t)
	cancelled := submit("0000000000000001")
	turnUntil(func() bool { return len(cancelled.attempts) > 0 && cancelled.attempts[0].started })
	other := submit("0000000000000002")
	turnUntil(func() bool { return len(other.attempts) > 0 })
	shared := cancelled.attempts[0].upstream
	if other.attempts[0].upstream != shared {
		t.Fatal("the calls do not share a connection")
	}
	p.handleDisconnect(cancelled.number)
	turnUntil(func() bool { return cancelled.attempts[0].ended })
	clock.now += maxPartialWriteTime + time.Millisecond
	turnUntil(func() bool { return shared.conn.Ended() })
	allowWrites()
	turnUntil(func() bool { return other.attempts[len(other.attempts)-1].written })
	if len(other.attempts) != 2 || other.attempts[0].started {
		t.Errorf("the other request has %d attempts, want 2, or its first call was sent", len(other.attempts))
	}
}
