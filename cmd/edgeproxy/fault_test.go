package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// TestResetAroundAWrite checks that a write is executed at most once and gets one answer if the connection to the
// origin is reset, at whatever point. The map gives the number of executions of the write for each fault.
func TestResetAroundAWrite(t *testing.T) {
	const onceIfServed = -1 // one execution if the answer is served, none otherwise
	for rule, executions := range map[string]int{
		"c up byte 0 : reset":              onceIfServed, // when the connection is established: if nothing was written yet, the call is retried
		"c up byte 60 : reset":             0,            // in the middle of the call
		`c up match "the end\r\n" : reset`: 1,            // just after the call
		`c down match "*4\r\n" : reset`:    1,            // as the answer begins
		`c down match "wri" : reset`:       1,            // in the middle of the answer
		`c down match "wri" : halfclose`:   1,
	} {
		env := newTestEnv(t)
		origin := newFaultyRelay(t, env.origin.Addr().String(), strings.Replace(rule, "c ", "c conn 1 ", 1))
		env.startWith(env.cache.Addr(), origin.Addr())
		var executedCalls []*receivedCall
		var mu sync.Mutex
		go func() {
			for got := range env.origin.calls {
				mu.Lock()
				executedCalls = append(executedCalls, got)
				mu.Unlock()
				got.answer("served", "-", "written")
			}
		}()
		c := env.dial()
		c.request(1, "registro", 2000, 1, "a body up to the end")
		a := receive(t, c.answers, "outcome")
		if a.id != 1 || a.status == "200" && executions != onceIfServed {
			t.Errorf("%s: got answer %+v, want ID 1 and, unless the write may be retried, another status than 200", rule, a)
		}
		if executions == onceIfServed {
			executions = 0
			if a.status == "200" {
				executions = 1
			}
		}
		// The second request reaches the origin on another connection, after all calls of the first.
		c.request(2, "registro", longTimeoutMS, 2, "x")
		a = receive(t, c.answers, "answer")
		if a.id != 2 || a.status != "200" {
			t.Errorf("%s, next request: got answer %+v, want ID 2 and status 200", rule, a)
		}
		mu.Lock()
		if len(executedCalls) != executions+1 {
			t.Errorf("%s: the first write was executed %d times, want %d", rule, len(executedCalls)-1, executions)
		}
		mu.Unlock()
	}
}

// TestCoordinatorSilentWithinADrain checks that a drain takes effect after a reconnect if the stream fell silent in the
// middle of its line.
func TestCoordinatorSilentWithinADrain(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.relayCoordinator = func(addr string) string {
		return newFaultyRelay(t, addr, `c down conn 1 match "DRAIN" : silence`).Addr().String()
	}
	secondCache := newFakeServer(t)
	secondCache.answerAll("served", "-", "second")
	env.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", env.cache.Addr()),
		endpoint("c2", "std", "edge", "SERVING", secondCache.Addr()),
		endpoint("o1", "origin", "hub", "SERVING", env.origin.Addr())))
	receive(t, env.followLines, "follow")
	drain := endpointEvent(2, false, endpoint("c1", "std", "edge", "DRAINING", env.cache.Addr()))
	env.sendEvent(drain)
	got := receive(t, env.followLines, "follow again")
	if got != "follow 1" {
		t.Errorf(`got line %q, want "follow 1"`, got)
	}
	env.sendEvent(drain)
	env.awaitEventsApplied()
	env.checkServedOnlyBy("second")
}

// TestConnectionResetWithTheLastByte checks that the calls of a request are stopped, and that no others begin, if the
// client's connection is reset with the last byte of the request.
func TestConnectionResetWithTheLastByte(t *testing.T) {
	env := startTestEnv(t)
	clientRelay := newFaultyRelay(t, env.addr, `c up conn 1 match "\x01\x05\x00\x01\x00\x00\x00\x00" : reset`)
	conn, err := net.Dial("tcp", clientRelay.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, conn)
	newClient(conn).request(1, "artes", longTimeoutMS, 1, "")
	env.eventually("the connection is reset", func() bool { return clientRelay.log() != "" })
	otherClient := env.dial()
	otherClient.request(1, "artes", longTimeoutMS, 77, "")
	for {
		got := receive(t, env.cache.calls, "call")
		if got.fields["k"] == fmt.Sprintf("%016x", 77) {
			got.answer("served", "-", "")
			break
		}
		receive(t, env.cache.stops, "STOP")
		got.answer("overload", "-", "") // must not be retried
	}
	receive(t, otherClient.answers, "answer")
	if len(env.cache.calls)+len(env.origin.calls) > 0 {
		t.Error("a call was made for a client that had disconnected")
	}
}

// TestShutdownWithAnswersPartlyWritten checks that answers of which only a part is written at SIGTERM arrive completely.
func TestShutdownWithAnswersPartlyWritten(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	clientRelay := newFaultyRelay(t, env.addr, "c down byte 300000 : silence 1500ms")
	conn, err := net.Dial("tcp", clientRelay.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, conn)
	c := newClient(conn)
	for id := range uint16(20) {
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
	}
	for range 20 {
		receive(t, env.cache.calls, "call").answer("served", "-", strings.Repeat("x", 240_000))
	}
	env.eventually("the silence begins", func() bool { return clientRelay.log() != "" })
	env.signal(syscall.SIGTERM)
	for range 20 {
		a := receive(t, c.answers, "answer")
		if a.status != "200" || len(a.body) != 240_000 {
			t.Errorf("answer %d: got status %s and %d bytes, want 200 and 240,000", a.id, a.status, len(a.body))
		}
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// TestMalformedAnswersThroughTheRelay checks that truncated, duplicate and corrupted answers fail only their own
// attempt, and that each request gets one answer. The map gives, for each fault, the status of the answer to the
// request that it affects; "" stands for any status.
func TestMalformedAnswersThroughTheRelay(t *testing.T) {
	for rule, want := range map[string]string{
		"c down conn 1 byte 40 : close":      "200", // retried
		"c down conn 1 byte 40 : reset":      "200",
		"c down conn 1 byte 40 : halfclose":  "200",
		"c down conn 1 byte 0 : repeat 66":   "200", // the complete answer twice
		"c down conn 1 byte 12 : garble 4":   "",    // an answer to an unknown call: the request times out
		"c down conn 1 byte 0 : garble 20":   "200",
		"c down conn 1 byte 45 : drop 5":     "",
		"c down conn 1 byte 30 : silence 1s": "200",
	} {
		env := newTestEnv(t)
		env.startWith(newFaultyRelay(t, env.cache.Addr().String(), rule).Addr(), env.origin.Addr())
		env.cache.answerAll("served", "made=1,note=TCP_HIT", "whole")
		env.origin.answerAll("served", "made=1", "whole")
		c := env.dial()
		c.request(1, "artes", 2500, 1, "")
		a := receive(t, c.answers, "outcome")
		if a.id != 1 || want != "" && a.status != want || a.status == "200" && a.body != "whole" {
			t.Errorf("%s: got answer %+v, want ID 1, the status of the case and, with status 200, the whole body", rule, a)
		}
		for id := range uint16(3) {
			c.request(id+2, "artes", longTimeoutMS, int(id), "")
			if a := receive(t, c.answers, "answer"); a.id != id+2 || a.status != "200" || a.body != "whole" {
				t.Errorf("%s, later request: got answer %+v, want its ID, status 200 and the whole body", rule, a)
			}
		}
	}
}
