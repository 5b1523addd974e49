package main

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cloverdoor/internal/fault"
	"cloverdoor/internal/relay"
)

// faultyAddr is a relay before an address. It stands in for a listener wherever only its address is asked for.
type faultyAddr struct {
	net.Listener
	relay *relay.Relay
	mu    sync.Mutex
	fired []string
}

func (b *faultyAddr) Addr() net.Addr { return b.relay.Addr("c") }

// log returns the faults that have fired, by connection and direction.
func (b *faultyAddr) log() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := slices.Clone(b.fired)
	slices.Sort(list)
	return strings.Join(list, "\n")
}

// newFaultyAddr starts a relay to an address that breaks traffic by rules, each for the link c.
func newFaultyAddr(t *testing.T, target string, rules ...string) *faultyAddr {
	t.Helper()
	script, err := fault.Parse(fmt.Sprintf("seed 3\nlink c listen 127.0.0.1:0 to %s\n%s", target, strings.Join(rules, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	b := &faultyAddr{}
	if b.relay, err = relay.Start(script, func(e fault.Firing) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.fired = append(b.fired, e.String())
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.relay.Close)
	return b
}

// startWith starts the program with the cache and the origin at the given places.
func (w *testEnv) startWith(cache, origin net.Listener) {
	w.t.Helper()
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", cache), endpoint("o1", "origin", "hub", "SERVING", origin)))
	w.awaitAlive("200")
}

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

// playTime is how long the script is played, by the program's clock: seconds with the other tests, minutes where
// FAULT_SOAK says so.
func playTime(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("FAULT_SOAK")
	if text == "" {
		return 5 * time.Second
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// playScript plays one script on both sides of the program and its coordinator, with the same traffic, and returns the
// outcomes that the program has counted and the faults that have fired. The program's time stands still while a request
// is open, and moves on by a step between two: how long the machine takes for anything shows nowhere. Where slow is set,
// some answers take longer than the program waits for one before it asks again.
func playScript(t *testing.T, length time.Duration, slow bool) (figures, faults string) {
	t.Helper()
	w := newTestEnv(t)
	w.clock = newManualClock(t)
	calls := 0
	go func() {
		for got := range w.cache.calls {
			if calls++; slow && calls%50 == 25 {
				time.Sleep(300 * time.Millisecond) // not a race: the outcomes must not depend on it
			}
			got.answer("served", "made=1,note=TCP_HIT", strings.Repeat("c", 500))
		}
	}()
	w.origin.answerAll("served", "made=1", strings.Repeat("o", 200))
	cache := newFaultyAddr(t, w.cache.Addr().String(), "c down every 2 byte 7000 : reset", "c down byte 9100 : close",
		"c down every 3 byte 5000 : garble 9", "c up : pieces 50", "c : delay 1ms", "c down every 5 byte 3000 : repeat 600")
	origin := newFaultyAddr(t, w.origin.Addr().String(), "c down byte 1100 : reset", "c up every 5 byte 900 : reset",
		"c down every 3 byte 700 : halfclose")
	var feed *faultyAddr
	w.coordinatorVia = func(addr string) string {
		feed = newFaultyAddr(t, addr, "c down every 2 byte 400 : reset", "c down every 3 byte 300 : garble 3")
		return feed.Addr().String()
	}
	w.startWith(cache, origin)
	front := newFaultyAddr(t, w.addr, "c up every 3 byte 2500 : reset", "c down byte 14000 : close", "c : pieces 70")
	requests := int(length / clockStep)
	var c *client
	lost := 0
	for i := range requests {
		w.clock.advance(clockStep)
		if c == nil || i%40 == 0 {
			conn, err := net.Dial("tcp", front.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer closeOnce(t, conn)
			c = newClient(conn)
		}
		class := "artes"
		if i%3 == 0 {
			class = "registro"
		}
		c.request(uint16(i%1000+1), class, 5000, i%17, "")
		switch a := receive(t, c.answers, "outcome"); {
		case a.id == 0: // its connection was broken: the request has no outcome at the client's end
			lost++
			c = nil
		case int(a.id) != i%1000+1:
			t.Fatalf("request %d: %+v", i, a)
		}
	}
	w.eventually("nothing is open", func() bool { return w.metric("svc_open_requests") == 0 })
	_, stats := w.adminCall("GET", "/ops/stats")
	for _, line := range strings.Split(stats, "\n") {
		if strings.HasPrefix(line, "svc_operations") {
			figures += line + "\n"
		}
	}
	t.Logf("%d requests, %d on broken connections\n%s", requests, lost, figures)
	return figures, strings.Join([]string{cache.log(), origin.log(), front.log()}, "\n--\n")
}

// clockStep is how far the program's time moves on between two requests.
const clockStep = 25 * time.Millisecond

// Two runs of one script with one seed have the same faults and the same outcomes at the program, also when the machine
// holds answers up in one of them.
func TestSameScriptSameOutcomes(t *testing.T) {
	t.Parallel()
	length := playTime(t)
	var figures, faults [2]string
	var both sync.WaitGroup
	for i := range figures {
		both.Go(func() { figures[i], faults[i] = playScript(t, length, i == 1) })
	}
	both.Wait()
	if figures[0] != figures[1] {
		t.Errorf("outcomes differ:\n%s\nand\n%s", figures[0], figures[1])
	}
	if faults[0] != faults[1] || strings.Count(faults[0], "\n") < 10 {
		t.Errorf("faults differ:\n%s\nand\n%s", faults[0], faults[1])
	}
	t.Logf("%d faults", strings.Count(faults[0], "line"))
}
