package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// A write whose connection is reset, whenever that is, runs once at most and has one outcome.
func TestResetAroundAWrite(t *testing.T) {
	const either = -1
	for rule, runs := range map[string]int{
		"c up byte 0 : reset":              either, // as it comes up: if nothing was written yet, it is sent again
		"c up byte 60 : reset":             0,      // in the middle of the call
		`c up match "the end\r\n" : reset`: 1,      // just after it
		`c down match "*4\r\n" : reset`:    1,      // as the answer begins
		`c down match "wri" : reset`:       1,      // in the middle of it
		`c down match "wri" : halfclose`:   1,
	} {
		w := newTestEnv(t)
		origin := newFaultyAddr(t, w.origin.Addr().String(), strings.Replace(rule, "c ", "c conn 1 ", 1))
		w.startWith(w.cache, origin)
		var ran []*receivedCall
		var mu sync.Mutex
		go func() {
			for got := range w.origin.calls {
				mu.Lock()
				ran = append(ran, got)
				mu.Unlock()
				got.answer("served", "-", "written")
			}
		}()
		c := w.dial()
		c.request(1, "registro", 2000, 1, "a body up to the end")
		a := receive(t, c.answers, "outcome")
		if a.id != 1 || a.status == "200" && runs != either {
			t.Errorf("%s: %+v", rule, a)
		}
		if runs == either { // it ran once just where it was answered so
			runs = map[string]int{"200": 1}[a.status]
		}
		c.request(2, "registro", longTimeoutMS, 2, "x") // comes to the origin over a sound connection, after all of the first
		if a := receive(t, c.answers, "answer"); a.id != 2 || a.status != "200" {
			t.Errorf("%s, then: %+v", rule, a)
		}
		mu.Lock()
		if len(ran) != runs+1 {
			t.Errorf("%s: the first ran %d times, want %d", rule, len(ran)-1, runs)
		}
		mu.Unlock()
	}
}

// A coordinator that falls silent in the middle of the line that tells of a drain: once told again, the drain is kept.
func TestCoordinatorSilentInADrain(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.coordinatorVia = func(addr string) string {
		return newFaultyAddr(t, addr, `c down conn 1 match "DRAIN" : silence`).Addr().String()
	}
	second := newStandIn(t)
	second.answerAll("served", "-", "second")
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("c2", "std", "edge", "SERVING", second),
		endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	receive(t, w.followLines, "follow")
	drain := endpointEvent(2, false, endpoint("c1", "std", "edge", "DRAINING", w.cache))
	w.sendEvent(drain)
	if got := receive(t, w.followLines, "follow anew"); got != "follow 1" {
		t.Errorf("%q", got)
	}
	w.sendEvent(drain)
	w.awaitEventsTaken()
	w.servedOnlyBy("second")
}

// A client that is gone with the last byte of its request: whatever had begun is stopped, and nothing follows.
func TestClientGoneWithItsRequest(t *testing.T) {
	w := startTestEnv(t)
	front := newFaultyAddr(t, w.addr, `c up conn 1 match "\x01\x05\x00\x01\x00\x00\x00\x00" : reset`)
	conn, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, conn)
	newClient(conn).request(1, "artes", longTimeoutMS, 1, "")
	w.eventually("the reset", func() bool { return front.log() != "" })
	other := w.dial()
	other.request(1, "artes", longTimeoutMS, 77, "")
	for {
		got := receive(t, w.cache.calls, "call")
		if got.fields["k"] == fmt.Sprintf("%016x", 77) {
			got.answer("served", "-", "")
			break
		}
		receive(t, w.cache.stops, "STOP")
		got.answer("overload", "-", "") // nobody asks again
	}
	receive(t, other.answers, "answer")
	if len(w.cache.calls)+len(w.origin.calls) > 0 {
		t.Error("something was sent for a client that is gone")
	}
}

// Answers that are half written when the program is told to stop arrive whole.
func TestStopWithAnswersHalfWritten(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	front := newFaultyAddr(t, w.addr, "c down byte 300000 : silence 1500ms")
	conn, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, conn)
	c := newClient(conn)
	for id := range uint16(20) {
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
	}
	for range 20 {
		receive(t, w.cache.calls, "call").answer("served", "-", strings.Repeat("x", 240_000))
	}
	w.eventually("the silence", func() bool { return front.log() != "" })
	w.signal(syscall.SIGTERM)
	for range 20 {
		if a := receive(t, c.answers, "answer"); a.status != "200" || len(a.body) != 240_000 {
			t.Errorf("%d: %s, %d bytes", a.id, a.status, len(a.body))
		}
	}
	if err := receive(t, w.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// Answers that end early, come twice or under another name cost their own attempt alone: each request has one outcome.
func TestSpoiltAnswersThroughTheRelay(t *testing.T) {
	for rule, want := range map[string]string{
		"c down conn 1 byte 40 : close":      "200", // asked again
		"c down conn 1 byte 40 : reset":      "200",
		"c down conn 1 byte 40 : halfclose":  "200",
		"c down conn 1 byte 0 : repeat 66":   "200", // the whole answer twice
		"c down conn 1 byte 12 : garble 4":   "",    // nobody's answer: the time runs out
		"c down conn 1 byte 0 : garble 20":   "200",
		"c down conn 1 byte 45 : drop 5":     "",
		"c down conn 1 byte 30 : silence 1s": "200",
	} {
		w := newTestEnv(t)
		w.startWith(newFaultyAddr(t, w.cache.Addr().String(), rule), w.origin)
		w.cache.answerAll("served", "made=1,note=TCP_HIT", "whole")
		w.origin.answerAll("served", "made=1", "whole")
		c := w.dial()
		c.request(1, "artes", 2500, 1, "")
		if a := receive(t, c.answers, "outcome"); a.id != 1 || want != "" && a.status != want || a.status == "200" && a.body != "whole" {
			t.Errorf("%s: %+v", rule, a)
		}
		for id := range uint16(3) {
			c.request(id+2, "artes", longTimeoutMS, int(id), "")
			if a := receive(t, c.answers, "answer"); a.id != id+2 || a.status != "200" || a.body != "whole" {
				t.Errorf("%s, then: %+v", rule, a)
			}
		}
	}
}
