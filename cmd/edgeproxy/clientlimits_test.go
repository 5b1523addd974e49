package main

import (
	"net"
	"strings"
	"sync"
	"testing"
)

// A request that breaks a limit of its own is refused; the connection and its other requests go on.
func TestRequestOverItsOwnLimitIsRefused(t *testing.T) {
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	for _, name := range []string{"body", "params"} {
		c := w.dial()
		c.writeRecord(1, 2, "\x00\x01\x01\x00\x00\x00\x00\x00")
		if name == "body" {
			c.writeRecord(5, 2, strings.Repeat("x", 40_000))
			c.writeRecord(5, 2, strings.Repeat("x", 40_000))
		} else {
			c.writeRecord(4, 2, strings.Repeat("x", 20_000))
		}
		if a := receive(t, c.answers, name+": refusal"); a.id != 2 || a.status != "503" {
			t.Errorf("%s: %+v", name, a)
		}
		c.writeRecord(5, 2, "") // the rest of it is passed over
		c.request(3, "artes", longTimeoutMS, 1, "")
		if a := receive(t, c.answers, name+": answer"); a.id != 3 || a.body != "fine" {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// When memory runs out, what was read whole still gets its answer, and no connection is reset.
func TestMemoryFullOfHalfRequests(t *testing.T) {
	const clients = 200
	w := newTestEnv(t)
	w.memoryMB = 16
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	var all []*client
	for i := range clients {
		c := w.dial()
		c.request(1, "artes", longTimeoutMS, i, "")
		c.writeRecord(1, 2, "\x00\x01\x01\x00\x00\x00\x00\x00")
		c.writeRecord(5, 2, strings.Repeat("x", 60_000))
		all = append(all, c)
	}
	w.cache.answerAll("served", "-", "fine")
	for i, c := range all {
		for {
			a := receive(t, c.answers, "answer")
			if a.id == 0 {
				t.Fatalf("client %d: closed with no answer", i)
			}
			if a.id == 1 {
				break
			}
		}
	}
}

// A client whose request is turned away in the middle, as others have filled the memory, may ask again on its connection: also
// where the rest of it has yet to come.
func TestConnectionGoesOnAfterMemoryWasFull(t *testing.T) {
	const clients = 200
	w := newTestEnv(t)
	w.memoryMB = 16
	w.startWith(w.cache, w.origin)
	w.cache.answerAll("served", "-", "fine")
	var all []*client
	const size, part = 60_000, 50_000
	content := strings.Repeat("x", size)
	for range clients {
		c := w.dial()
		c.writeRecord(1, 2, "\x00\x01\x01\x00\x00\x00\x00\x00")
		c.writeRecord(5, 2, content[:size/2])
		out := &bufferedConn{Conn: c.Conn}
		(&client{Conn: out}).writeRecord(5, 2, content)
		c.Write(out.buffer[:part]) //nolint:errcheck // a lost connection shows in the answers
		all = append(all, c)
	}
	turnedAway := 0
	for i, c := range all {
		out := &bufferedConn{Conn: c.Conn}
		(&client{Conn: out}).writeRecord(5, 2, content)
		c.Write(out.buffer[part:]) //nolint:errcheck // as above
		c.request(3, "artes", longTimeoutMS, i, "")
		for id := uint16(0); id != 3; {
			a := receive(t, c.answers, "answer")
			if id = a.id; id == 0 {
				t.Fatalf("client %d: closed with no answer", i)
			}
			if a.protocol == 2 {
				turnedAway++
			}
		}
	}
	if turnedAway == 0 {
		t.Error("the memory was never full")
	}
}

// More answers than memory is meant for come in one turn, after a pause. No client that reads loses any.
func TestBurstOfAnswersAfterAPause(t *testing.T) {
	const clients, each = 20, 4
	w := newTestEnv(t)
	w.memoryMB = 16
	w.startWith(w.cache, w.origin)
	big := strings.Repeat("x", 240_000)
	var all []*client
	for i := range clients {
		c := w.dial()
		for id := range uint16(each) {
			c.request(id+1, "artes", longTimeoutMS, i*each+int(id), "")
		}
		all = append(all, c)
	}
	var calls []*receivedCall
	for range clients * each {
		calls = append(calls, receive(t, w.cache.calls, "call"))
	}
	thaw := w.pause()
	var answered sync.WaitGroup
	for _, got := range calls {
		answered.Go(func() { got.answer("served", "-", big) })
	}
	answered.Wait() // what the program's system takes of each
	thaw()
	for i, c := range all {
		for range each {
			if a := receive(t, c.answers, "answer"); a.body != big {
				t.Fatalf("client %d: answer %d has status %q and %d bytes", i, a.id, a.status, len(a.body))
			}
		}
	}
}

// A client that reads nothing neither holds up the others nor costs memory without bound.
func TestClientThatDoesNotRead(t *testing.T) {
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", strings.Repeat("x", 240_000))
	stick := func(requests uint16) {
		stuck, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeOnce(t, stuck) })
		for id := range requests {
			(&client{Conn: stuck}).request(id+1, "artes", longTimeoutMS, int(id), "")
		}
	}
	stick(30)
	c := w.dial()
	for id := range uint16(20) {
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
		if a := receive(t, c.answers, "answer"); a.status != "200" || len(a.body) != 240_000 {
			t.Fatalf("%s, %d bytes", a.status, len(a.body))
		}
	}
	for range 60 { // 460 MB of answers, were they all kept
		stick(32)
	}
	for id := range uint16(200) { // some are refused meanwhile
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
		if a := receive(t, c.answers, "answer"); a.id != id+1 {
			t.Fatalf("%+v", a)
		}
	}
	w.checkMemory()
}

// Clients that connect and say nothing, or ask once and stay, keep out no other, whether it comes before or after
// them, and end in a close.
func TestSilentClientsMakeRoom(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	served := func(who string, c *client) {
		t.Helper()
		c.request(1, "artes", longTimeoutMS, 1, "")
		if a := receive(t, c.answers, "answer"); a.body != "fine" {
			t.Errorf("%s: %+v", who, a)
		}
	}
	early := w.dial()
	served("early", early)
	var silent []*client
	for range 600 { // two fifths of the descriptors are 409
		silent = append(silent, w.dial())
	}
	served("late", w.dial())
	served("early", early)
	half := w.dial()
	half.writeRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00")
	for _, c := range append(silent, half) {
		if a := receive(t, c.answers, "close"); a.id != 0 {
			t.Errorf("%+v", a)
		}
	}
	for range 600 {
		served("once", w.dial())
	}
}

// More bodies than the memory allows are refused while they last, and the process stays within its limit.
func TestFloodIsRefused(t *testing.T) {
	w := startTestEnv(t)
	body, answers := strings.Repeat("b", 48_000), make(chan answer, 10_000)
	var conns []*client
	for range 60 {
		c := w.dial()
		conns = append(conns, c)
		go func() {
			for a := range c.answers {
				answers <- a
			}
		}()
		go func() {
			for id := range uint16(32) { // 92 MB in all; the origin answers none of it
				c.request(id+1, "registro", longTimeoutMS, int(id), body)
			}
		}()
	}
	if a := receive(t, answers, "refusal"); a.protocol != 2 {
		t.Errorf("%+v, want OVERLOADED", a)
	}
	for _, c := range conns {
		closeOnce(t, c)
	}
	w.cache.answerAll("served", "-", "fine")
	w.eventually("an answer after the flood", func() bool {
		c := w.dial()
		c.request(1, "artes", longTimeoutMS, 1, "")
		return receive(t, c.answers, "answer").body == "fine"
	})
	w.checkMemory()
}

// Clients that ask once and stay, with discovery down, keep out neither those that come after them nor the
// coordinator when it is back.
func TestCrowdKeepsNobodyOut(t *testing.T) {
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	receive(t, w.followLines, "follow")
	w.stopCoordinator()
	for i := range 700 { // two fifths of the descriptors are 409
		c := w.dial()
		c.request(1, "artes", longTimeoutMS, i, "")
		if a := receive(t, c.answers, "answer"); a.body != "fine" {
			t.Fatalf("client %d: %+v", i, a)
		}
	}
	w.awaitAlive("200")
	w.resumeCoordinator()
	if got := receive(t, w.followLines, "follow"); got != "follow 1" {
		t.Errorf("%q", got)
	}
}
