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

// endpoint returns an entry of the endpoint list.
func endpoint(id, kind, zone, state string, addr net.Addr) map[string]any {
	return map[string]any{"id": id, "addr": addr.String(), "zone": zone, "kind": kind, "state": state, "weight": 10000}
}

// fullList returns event 1 with a full endpoint list: one cache and the origin.
func fullList(cache, origin net.Addr) map[string]any {
	return endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", cache), endpoint("o1", "origin", "hub", "SERVING", origin))
}

// endpointEvent returns an event with entries of the endpoint list. A full event replaces the list, any other
// changes only the entries that it has.
func endpointEvent(index int, full bool, servers ...any) map[string]any {
	return map[string]any{"index": index, "endpoints": map[string]any{"version": index, "full": full, "servers": servers}}
}

// startCoordinator starts a coordinator and returns its address.
func (env *testEnv) startCoordinator() string {
	l := listen(env.t)
	env.serveCoordinator(l)
	return l.Addr().String()
}

// serveCoordinator runs the coordinator on a listener, or closes the listener if the coordinator is to be down at the
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

// stopCoordinator closes the coordinator's listener and stream. Its address refuses connections until
// resumeCoordinator is called.
func (env *testEnv) stopCoordinator() {
	env.mu.Lock()
	defer env.mu.Unlock()
	closeOnce(env.t, env.coordinatorListener)
	closeOnce(env.t, env.watchConn)
}

// resumeCoordinator starts the coordinator again at the same address.
func (env *testEnv) resumeCoordinator() {
	env.t.Helper()
	l, err := net.Listen("tcp", env.coordinatorListener.Addr().String())
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { closeOnce(env.t, l) })
	env.serveCoordinator(l)
}

// sendEvent sends a line on the current stream: a string unchanged, any other value as JSON.
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

// writeWatch writes text on the current stream, for use by any goroutine. A lost stream shows in what the program knows.
func (env *testEnv) writeWatch(text string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	io.WriteString(env.watchConn, text) //nolint:errcheck // see above
}

// awaitEventsApplied waits until the program has applied all events sent so far. It sends a malformed line behind
// them and waits for the reconnect with which the program reacts to that line.
func (env *testEnv) awaitEventsApplied() {
	env.t.Helper()
	env.sendEvent("nonsense")
	receive(env.t, env.followLines, "follow")
}

// checkServedOnlyBy checks that reads of 30 objects are all answered with the given body and that none calls
// env.cache.
func (env *testEnv) checkServedOnlyBy(body string) {
	env.t.Helper()
	c := env.dial()
	for i := range 30 {
		c.request(1, "artes", longTimeoutMS, i, "")
		a := receive(env.t, c.answers, "answer")
		if a.body != body {
			env.t.Errorf("object %d: got answer %+v, want the body of the only server", i, a)
		}
	}
	if len(env.cache.calls) > 0 {
		env.t.Errorf("call %q was sent to a cache that must get no calls", (<-env.cache.calls).args)
	}
}

// slowCoordinator sends the same line on each stream, a few bytes at each call of writeNext.
type slowCoordinator struct {
	net.Listener
	line string
	mu   sync.Mutex
	sent map[net.Conn]int // bytes of the line sent on each stream; guarded by mu
}

// newSlowCoordinator starts a coordinator that sends the given line as JSON. Each line that the program sends is
// passed to the channel followLines.
func newSlowCoordinator(t *testing.T, line any, followLines chan<- string) *slowCoordinator {
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
			followLines <- in.Text()
		}
	})
	return s
}

// writeNext writes the given number of further bytes of the line on each stream, or the rest of the line if there are
// fewer.
func (s *slowCoordinator) writeNext(byteCount int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, sent := range s.sent {
		next := min(sent+byteCount, len(s.line))
		fmt.Fprint(conn, s.line[sent:next]) //nolint:errcheck // the proxy may have disconnected
		s.sent[conn] = next
	}
}
