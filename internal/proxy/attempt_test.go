package proxy

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
)

// discardResponder is the responder for a client that stays connected and ignores its answer.
type discardResponder struct{}

func (discardResponder) Respond(Answer) {}

func (discardResponder) PollClient() bool { return true }

func (discardResponder) ClientDisconnected() DisconnectState { return DisconnectState{} }

// Guards against a call that is executed twice because it was moved from an overdue connection to another one and
// back: the call is then in the first connection's queue twice, but must be sent only once.
func TestReassignedCallIsSentOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
	})
	receivedCalls := make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				conn.SetReadDeadline(time.Now().Add(time.Second)) //nolint:errcheck // ends the read
				text, _ := io.ReadAll(conn)
				receivedCalls <- string(text)
			}()
		}
	}()
	proxySettings, err := settings.Decode(json.RawMessage(`{"areas":["hub"],"host-types":["std","parent","origin"],"group-size":1,
		"classes":[{"name":"w","semantics":"non_idempotent","promise-us":500000,"gain":1}],
		"domain":{"direct":true,"root-kind":2,"upper-kind":1,"pass-on":[true]},"limits":{"may-cancel":true,"max-attempts":4}}`))
	if err != nil {
		t.Fatal(err)
	}
	loop, err := eventloop.NewLoop(eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	endpoint := watch.Endpoint{
		ID: "o", Addr: ln.Addr().String(), Zone: "hub", Kind: "origin", State: watch.StateServing, Weight: 100,
	}
	p := New(loop, Config{
		Settings:       proxySettings,
		MaxDescriptors: 100,
		MaxMemoryBytes: 1 << 26,
		InitialState: watch.InitialState{Index: 1, Events: []watch.Event{
			{Index: 1, Endpoints: &watch.EndpointUpdate{Full: true, Endpoints: []watch.Endpoint{endpoint}}},
		}},
	}, slog.New(slog.DiscardHandler))
	parsed := Request{ID: "9b1f03aa5c7e2d41", ClassName: "w", Object: "7f3a9c21e0b4d655", Timeout: time.Minute}
	id := p.submitRequest(parsed, discardResponder{})
	p.dispatchEvents() // queues the call on a connection that is not established yet
	a := p.requests[id].attempts[0]
	firstConn := a.upstream.conn
	secondConn, err := p.pools.Reassign(firstConn, func(s *connpool.PooledConn) bool { return s != firstConn })
	if err != nil || secondConn == firstConn {
		t.Fatal("no other connection", err)
	}
	a.enqueue(secondConn, 0)
	a.enqueue(firstConn, 0)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end) || !a.started; {
		if err := loop.Wait(10 * time.Millisecond); err != nil {
			t.Fatal(err)
		}
		loop.Flush()
	}
	if text := <-receivedCalls + <-receivedCalls; strings.Count(text, "REQ") != 1 {
		t.Errorf("received %q, want exactly one call", text)
	}
}
