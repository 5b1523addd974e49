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

// endpoint is an entry of the coordinator's list.
func endpoint(id, kind, zone, state string, at net.Listener) map[string]any {
	return map[string]any{"id": id, "addr": at.Addr().String(), "zone": zone, "kind": kind, "state": state, "weight": 10000}
}

func endpointEvent(index int, full bool, servers ...any) map[string]any {
	return map[string]any{"index": index, "endpoints": map[string]any{"version": index, "full": full, "servers": servers}}
}

// startCoordinator starts a startCoordinator and returns its address.
func (w *testEnv) startCoordinator() string {
	l := listen(w.t)
	w.serveCoordinator(l)
	return l.Addr().String()
}

func (w *testEnv) serveCoordinator(l net.Listener) {
	if w.coordinatorListener = l; w.coordinatorDown {
		w.coordinatorDown = false
		closeOnce(w.t, l)
		return
	}
	go serveEach(l, func(conn net.Conn) {
		w.mu.Lock()
		w.watchConn = conn
		w.mu.Unlock()
		in := bufio.NewScanner(conn)
		for in.Scan() {
			w.followLines <- in.Text()
		}
	})
}

// stopCoordinator ends the coordinator and its stream; its address refuses connections until resume.
func (w *testEnv) stopCoordinator() {
	w.mu.Lock()
	defer w.mu.Unlock()
	closeOnce(w.t, w.coordinatorListener)
	closeOnce(w.t, w.watchConn)
}

// resumeCoordinator opens the coordinator again at its address.
func (w *testEnv) resumeCoordinator() {
	w.t.Helper()
	l, err := net.Listen("tcp", w.coordinatorListener.Addr().String())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { closeOnce(w.t, l) })
	w.serveCoordinator(l)
}

// sendEvent sends a line to whoever follows the coordinator now.
func (w *testEnv) sendEvent(line any) {
	w.t.Helper()
	text, ok := line.(string)
	if !ok {
		b, err := json.Marshal(line)
		if err != nil {
			w.t.Fatal(err)
		}
		text = string(b)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := io.WriteString(w.watchConn, text+"\n"); err != nil {
		w.t.Fatal(err)
	}
}

// awaitEventsTaken waits until all that was told has been taken.
func (w *testEnv) awaitEventsTaken() {
	w.t.Helper()
	w.sendEvent("nonsense") // is answered by following anew
	receive(w.t, w.followLines, "follow")
}

// servedOnlyBy checks that reads of all kinds of objects are answered with one body.
func (w *testEnv) servedOnlyBy(body string) {
	w.t.Helper()
	c := w.dial()
	for i := range 30 {
		c.request(1, "artes", longTimeoutMS, i, "")
		if a := receive(w.t, c.answers, "answer"); a.body != body {
			w.t.Errorf("object %d: %+v", i, a)
		}
	}
	if len(w.cache.calls) > 0 {
		w.t.Errorf("%q was sent to a cache that drains", (<-w.cache.calls).words)
	}
}

// slowCoordinator brings one line to each follower, as many bytes at a time as the test wants.
type slowCoordinator struct {
	net.Listener
	line string
	mu   sync.Mutex
	sent map[net.Conn]int
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

// writeNext writes the next bytes to each follower.
func (s *slowCoordinator) writeNext(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, sent := range s.sent {
		next := min(sent+bytes, len(s.line))
		fmt.Fprint(conn, s.line[sent:next]) //nolint:errcheck // a follower may have disconnected
		s.sent[conn] = next
	}
}
