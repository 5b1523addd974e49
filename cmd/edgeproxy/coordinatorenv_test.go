package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
)

// endpoint is an entry of the endpoint list.
func endpoint(id, kind, zone, state string, at net.Addr) map[string]any {
	return map[string]any{"id": id, "addr": at.String(), "zone": zone, "kind": kind, "state": state, "weight": 10000}
}

// fullList is event 1 with a full endpoint list: one cache and the origin.
func fullList(cache, origin net.Addr) map[string]any {
	return endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", cache), endpoint("o1", "origin", "hub", "SERVING", origin))
}

// endpointEvent is an event with entries of the endpoint list, which it replaces if it is full.
func endpointEvent(index int, full bool, servers ...any) map[string]any {
	return map[string]any{"index": index, "endpoints": map[string]any{"version": index, "full": full, "servers": servers}}
}

// startCoordinator starts a coordinator and returns its address.
func (env *testEnv) startCoordinator() string {
	l := listen(env.t)
	env.serveCoordinator(l)
	return l.Addr().String()
}

// serveCoordinator serves the coordinator on a listener, or closes it if the coordinator is down at the
// start.
func (env *testEnv) serveCoordinator(l net.Listener) {
	env.coordinatorListener = l
	if env.coordinatorDown {
		env.coordinatorDown = false
		closeOnce(env.t, l)
		return
	}
	go serveEach(l, func(conn net.Conn) {
		env.mu.Lock()
		env.watchConn = conn
		env.mu.Unlock()
		in := bufio.NewScanner(conn)
		for in.Scan() {
			env.followLines <- in.Text()
		}
	})
}

// stopCoordinator closes the coordinator and its stream. Its address refuses connections until
// resumeCoordinator.
func (env *testEnv) stopCoordinator() {
	env.mu.Lock()
	defer env.mu.Unlock()
	closeOnce(env.t, env.coordinatorListener)
	closeOnce(env.t, env.watchConn)
}

// resumeCoordinator opens the coordinator again at its address.
func (env *testEnv) resumeCoordinator() {
	env.t.Helper()
	l, err := net.Listen("tcp", env.coordinatorListener.Addr().String())
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { closeOnce(env.t, l) })
	env.serveCoordinator(l)
}

// sendEvent sends a line on the present stream: a string as it is, anything else as JSON.
func (env *testEnv) sendEvent(line any) {
	env.t.Helper()
	text, ok := line.(string)
	if !ok {
		b, err := json.Marshal(line)
		if err != nil {
			env.t.Fatal(err)
		}
		text = string(b)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	if _, err := io.WriteString(env.watchConn, text+"\n"); err != nil {
		env.t.Fatal(err)
	}
}

// awaitEventsApplied waits until the program has taken all events sent so far: it reconnects at a malformed
// line behind them.
func (env *testEnv) awaitEventsApplied() {
	env.t.Helper()
	env.sendEvent("nonsense")
	receive(env.t, env.followLines, "follow")
}

// checkServedOnlyBy checks that reads of 30 objects are all answered with one body.
func (env *testEnv) checkServedOnlyBy(body string) {
	env.t.Helper()
	c := env.dial()
	for i := range 30 {
		c.request(1, "artes", longTimeoutMS, i, "")
		a := receive(env.t, c.answers, "answer")
		if a.body != body {
			env.t.Errorf("object %d: %+v", i, a)
		}
	}
	if len(env.cache.calls) > 0 {
		env.t.Errorf("%q was sent to a cache that drains", (<-env.cache.calls).words)
	}
}

// slowCoordinator sends one line on each stream, as many bytes at a time as the test says.
type slowCoordinator struct {
	net.Listener
	line string
	mu   sync.Mutex
	sent map[net.Conn]int // bytes of the line
}

func newSlowCoordinator(t *testing.T, line any, follows chan<- string) *slowCoordinator {
	t.Helper()
	text, err := json.Marshal(line)
	if err != nil {
		t.Fatal(err)
	}
	s := &slowCoordinator{Listener: listen(t), line: string(text) + "\n", sent: map[net.Conn]int{}}
	go serveEach(s, func(conn net.Conn) {
		in := bufio.NewScanner(conn)
		for in.Scan() {
			s.mu.Lock()
			s.sent[conn] = 0
			s.mu.Unlock()
			follows <- in.Text()
		}
	})
	return s
}

// writeNext writes the next bytes on each stream.
func (s *slowCoordinator) writeNext(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, sent := range s.sent {
		next := min(sent+bytes, len(s.line))
		fmt.Fprint(conn, s.line[sent:next]) //nolint:errcheck // the proxy may have disconnected
		s.sent[conn] = next
	}
}
