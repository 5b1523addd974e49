package main

import (
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	defaultPlayTime = 5 * time.Second // on the program's clock
	// slowAnswer is the delay of a slow answer. It is longer than the program waits for an answer before it
	// retries.
	slowAnswer = 300 * time.Millisecond
	// clockStep is the time between two requests on the program's clock.
	clockStep = 25 * time.Millisecond
)

// playTime returns the time for which the script is played, on the program's clock: the duration in the environment
// variable FAULT_SOAK, or defaultPlayTime.
func playTime(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("FAULT_SOAK")
	if text == "" {
		return defaultPlayTime
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// playScript sends fixed traffic while a fixed script injects faults into the connections of clients, servers and the
// coordinator. It returns the program's counters of outcomes and the faults that fired, except those on the connections
// to the coordinator. The program's clock advances only between two requests, so that the speed of the machine has no
// effect. If delayAnswers is set, some answers take longer than the program waits for an answer before it retries.
func playScript(t *testing.T, length time.Duration, delayAnswers bool) (counters, faults string) {
	t.Helper()
	env := newTestEnv(t)
	env.clock = newManualClock(t)
	calls := 0
	go func() {
		for got := range env.cache.calls {
			calls++
			if delayAnswers && calls%50 == 25 {
				time.Sleep(slowAnswer) // not a race: the outcomes must not depend on this delay
			}
			got.answer("served", "made=1,note=TCP_HIT", strings.Repeat("c", 500))
		}
	}()
	env.origin.answerAll("served", "made=1", strings.Repeat("o", 200))
	cache := newFaultyRelay(t, env.cache.Addr().String(), "c down every 2 byte 7000 : reset", "c down byte 9100 : close",
		"c down every 3 byte 5000 : garble 9", "c up : pieces 50", "c : delay 1ms", "c down every 5 byte 3000 : repeat 600")
	origin := newFaultyRelay(t, env.origin.Addr().String(), "c down byte 1100 : reset", "c up every 5 byte 900 : reset",
		"c down every 3 byte 700 : halfclose")
	env.relayCoordinator = func(addr string) string {
		watchRelay := newFaultyRelay(t, addr, "c down every 2 byte 400 : reset", "c down every 3 byte 300 : garble 3")
		return watchRelay.Addr().String()
	}
	env.startWith(cache.Addr(), origin.Addr())
	clientRelay := newFaultyRelay(t, env.addr, "c up every 3 byte 2500 : reset", "c down byte 14000 : close", "c : pieces 70")
	requests := int(length / clockStep)
	var c *client
	lost := 0
	for i := range requests {
		env.clock.advance(clockStep)
		if c == nil || i%40 == 0 {
			conn, err := net.Dial("tcp", clientRelay.Addr().String())
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
		a := receive(t, c.answers, "outcome")
		switch {
		case a.id == 0: // the connection has ended without an answer
			lost++
			c = nil
		case int(a.id) != i%1000+1:
			t.Fatalf("request %d: got answer %+v, want the ID of the request", i, a)
		}
	}
	env.eventually("no request is open", func() bool { return env.metric("svc_open_requests") == 0 })
	_, stats := env.adminCall("GET", "/ops/stats")
	for _, line := range strings.Split(stats, "\n") {
		if strings.HasPrefix(line, "svc_operations") {
			counters += line + "\n"
		}
	}
	t.Logf("%d requests, %d lost with their connection\n%s", requests, lost, counters)
	return counters, strings.Join([]string{cache.log(), origin.log(), clientRelay.log()}, "\n--\n")
}

// TestSameScriptSameOutcomes checks that two runs of one fault script with one seed have the same faults and the
// same outcomes, although some answers are delayed in one of the runs.
func TestSameScriptSameOutcomes(t *testing.T) {
	t.Parallel()
	length := playTime(t)
	var counters, faults [2]string
	var both sync.WaitGroup
	for i := range counters {
		both.Go(func() { counters[i], faults[i] = playScript(t, length, i == 1) })
	}
	both.Wait()
	if counters[0] != counters[1] {
		t.Errorf("outcomes differ:\n%s\nand\n%s", counters[0], counters[1])
	}
	if faults[0] != faults[1] || strings.Count(faults[0], "\n") < 10 {
		t.Errorf("faults differ or are too few:\n%s\nand\n%s", faults[0], faults[1])
	}
	t.Logf("%d faults", strings.Count(faults[0], "line"))
}
