package main

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// startedAt adds the start of a server to its entry of the endpoint list.
func startedAt(entry map[string]any, at time.Time) map[string]any {
	entry["started_ms"] = at.UnixMilli()
	return entry
}

// Guards against a server that is taken for the one that was at its address before (reported from other deployments): calls
// go to the new one, on new connections, whether the end of the old one is told before, after, or never, as at a restart.
func TestServerIsNotTakenForTheOneBefore(t *testing.T) {
	for name, events := range map[string]func(addr net.Addr) []any{
		"the old one is deleted": func(addr net.Addr) []any {
			return []any{
				endpointEvent(2, false, endpoint("c1", "std", "edge", "DELETED", addr)),
				endpointEvent(3, false, startedAt(endpoint("c9", "std", "edge", "SERVING", addr), time.Now())),
			}
		},
		"the old one is deleted later": func(addr net.Addr) []any {
			return []any{endpointEvent(2, false, startedAt(endpoint("c9", "std", "edge", "SERVING", addr), time.Now()))}
		},
		"the old one drains later": func(addr net.Addr) []any {
			return []any{
				endpointEvent(2, false, startedAt(endpoint("c9", "std", "edge", "SERVING", addr), time.Now())),
				endpointEvent(3, false, endpoint("c1", "std", "edge", "SERVING", addr)),
			}
		},
		"both in one list": func(addr net.Addr) []any {
			return []any{endpointEvent(2, false, startedAt(endpoint("c9", "std", "edge", "SERVING", addr), time.Now()),
				endpoint("c1", "std", "edge", "SERVING", addr))}
		},
		"it has started anew": func(addr net.Addr) []any {
			return []any{endpointEvent(2, false, startedAt(endpoint("c1", "std", "edge", "SERVING", addr), time.Now()))}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startTestEnv(t)
			receive(t, env.followLines, "follow")
			c := env.dial()
			c.request(1, "artes", longTimeoutMS, 1, "")
			old := receive(t, env.cache.calls, "call")
			old.answer("served", "-", "old")
			receive(t, c.answers, "answer")
			for _, event := range events(env.cache.Addr()) {
				env.sendEvent(event)
			}
			env.awaitEventsApplied()
			for object := range 30 {
				c.request(2, "artes", longTimeoutMS, object, "")
				call := receive(t, env.cache.calls, "call")
				if call.conn == old.conn {
					t.Fatalf("object %d: the call came on a connection to the old server", object)
				}
				call.answer("served", "-", "new")
				receive(t, c.answers, "answer")
			}
		})
	}
}

// Guards against a write that runs twice, at a server and at the one that comes up at its address before the coordinator
// tells of either (reported from other deployments).
func TestWriteIsNotRepeatedAtTheSameAddress(t *testing.T) {
	env := newTestEnv(t)
	origin := listen(t)
	env.startWith(env.cache.Addr(), origin.Addr())
	c := env.dial()
	c.request(1, "registro", longTimeoutMS, 1, "body")
	conn, err := origin.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readCommand(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	closeOnce(t, origin)
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil { // the close resets the connection, as the end of a process does
		t.Fatal(err)
	}
	closeOnce(t, conn)
	next, err := net.Listen("tcp", origin.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, next)
	a := receive(t, c.answers, "answer")
	if a.status != "502" {
		t.Errorf("got answer %+v, want status 502", a)
	}
	next.(*net.TCPListener).SetDeadline(time.Now().Add(pastAnyCall)) //nolint:errcheck // a listener supports it
	for {
		conn, err := next.Accept()
		if err != nil {
			return
		}
		conn.SetReadDeadline(time.Now().Add(pastAnyCall)) //nolint:errcheck // a connection supports it
		if args, err := readCommand(bufio.NewReader(conn)); err == nil {
			t.Errorf("%q was sent to the server that came up at the address", args[:3])
		}
		closeOnce(t, conn)
	}
}
