package main

import (
	"net"
	"strings"
	"sync"
	"testing"
)

// TestRequestOverItsOwnLimitIsRejected checks that a request that is too large is rejected, and that its connection
// serves other requests.
func TestRequestOverItsOwnLimitIsRejected(t *testing.T) {
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	for _, name := range []string{"body", "params"} {
		c := env.dial()
		c.writeRecord(recordBegin, 2, beginKeepConn)
		if name == "body" {
			c.writeRecord(recordStdin, 2, strings.Repeat("x", 40_000))
			c.writeRecord(recordStdin, 2, strings.Repeat("x", 40_000))
		} else {
			c.writeRecord(recordParams, 2, strings.Repeat("x", 20_000))
		}
		a := receive(t, c.answers, name+": rejection")
		if a.id != 2 || a.status != "503" {
			t.Errorf("%s: got answer %+v, want ID 2 and status 503", name, a)
		}
		c.writeRecord(recordStdin, 2, "") // the rest of the rejected request is skipped
		c.request(3, "artes", longTimeoutMS, 1, "")
		a = receive(t, c.answers, name+": answer")
		if a.id != 3 || a.body != "fine" {
			t.Errorf(`%s: got answer %+v, want ID 3 and body "fine"`, name, a)
		}
	}
}

// TestMemoryFullOfIncompleteRequests checks that complete requests are answered although incomplete ones have used
// up the memory, and that no connection is closed without an answer.
func TestMemoryFullOfIncompleteRequests(t *testing.T) {
	const clientCount = 200
	env := newTestEnv(t)
	env.memoryMB = 16
	env.start(fullList(env.cache.Addr(), env.origin.Addr()))
	env.awaitAliveStatus("200")
	var clients []*client
	for i := range clientCount {
		c := env.dial()
		c.request(1, "artes", longTimeoutMS, i, "")
		c.writeRecord(recordBegin, 2, beginKeepConn)
		c.writeRecord(recordStdin, 2, strings.Repeat("x", 60_000))
		clients = append(clients, c)
	}
	env.cache.answerAll("served", "-", "fine")
	for i, c := range clients {
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

// TestConnectionGoesOnAfterMemoryWasFull checks that a connection serves the next request although the one before
// was rejected for lack of memory when only a part of it had arrived.
func TestConnectionGoesOnAfterMemoryWasFull(t *testing.T) {
	const clientCount = 200
	env := newTestEnv(t)
	env.memoryMB = 16
	env.startWith(env.cache.Addr(), env.origin.Addr())
	env.cache.answerAll("served", "-", "fine")
	var clients []*client
	const contentSize, partSize = 60_000, 50_000
	content := strings.Repeat("x", contentSize)
	for range clientCount {
		c := env.dial()
		c.writeRecord(recordBegin, 2, beginKeepConn)
		c.writeRecord(recordStdin, 2, content[:contentSize/2])
		out := &bufferedConn{Conn: c.Conn}
		(&client{Conn: out}).writeRecord(recordStdin, 2, content)
		c.Write(out.buffer[:partSize]) //nolint:errcheck // a lost connection shows in the answers
		clients = append(clients, c)
	}
	rejected := 0
	for i, c := range clients {
		out := &bufferedConn{Conn: c.Conn}
		(&client{Conn: out}).writeRecord(recordStdin, 2, content)
		c.Write(out.buffer[partSize:]) //nolint:errcheck // a lost connection shows in the answers
		c.request(3, "artes", longTimeoutMS, i, "")
		for id := uint16(0); id != 3; {
			a := receive(t, c.answers, "answer")
			if id = a.id; id == 0 {
				t.Fatalf("client %d: closed with no answer", i)
			}
			if a.protocolStatus == 2 { // OVERLOADED
				rejected++
			}
		}
	}
	if rejected == 0 {
		t.Error("the memory was never full")
	}
}

// TestBurstOfAnswersAfterAPause checks that no answer is lost if the answers that arrive in one turn of the event
// loop are larger than the memory limit allows.
func TestBurstOfAnswersAfterAPause(t *testing.T) {
	const clientCount, requestsPerClient = 20, 4
	env := newTestEnv(t)
	env.memoryMB = 16
	env.startWith(env.cache.Addr(), env.origin.Addr())
	big := strings.Repeat("x", 240_000)
	var clients []*client
	for i := range clientCount {
		c := env.dial()
		for id := range uint16(requestsPerClient) {
			c.request(id+1, "artes", longTimeoutMS, i*requestsPerClient+int(id), "")
		}
		clients = append(clients, c)
	}
	var calls []*receivedCall
	for range clientCount * requestsPerClient {
		calls = append(calls, receive(t, env.cache.calls, "call"))
	}
	resume := env.pause()
	var answered sync.WaitGroup
	for _, got := range calls {
		answered.Go(func() { got.answer("served", "-", big) })
	}
	answered.Wait() // the sockets' buffers hold all answers
	resume()
	for i, c := range clients {
		for range requestsPerClient {
			a := receive(t, c.answers, "answer")
			if a.body != big {
				t.Fatalf("client %d: answer %d has status %q and %d bytes, want the whole body", i, a.id, a.status, len(a.body))
			}
		}
	}
}

// TestClientThatDoesNotRead checks that clients that do not read delay no others, and that the memory for their
// answers is bounded.
func TestClientThatDoesNotRead(t *testing.T) {
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", strings.Repeat("x", 240_000))
	addUnreadingClient := func(requests uint16) {
		unreading, err := net.Dial("tcp", env.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeOnce(t, unreading) })
		for id := range requests {
			(&client{Conn: unreading}).request(id+1, "artes", longTimeoutMS, int(id), "")
		}
	}
	addUnreadingClient(30)
	c := env.dial()
	for id := range uint16(20) {
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
		a := receive(t, c.answers, "answer")
		if a.status != "200" || len(a.body) != 240_000 {
			t.Fatalf("got status %s and %d bytes, want 200 and 240,000", a.status, len(a.body))
		}
	}
	for range 60 { // 460 MB of answers if all were buffered
		addUnreadingClient(32)
	}
	for id := range uint16(200) { // some are rejected
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
		a := receive(t, c.answers, "answer")
		if a.id != id+1 {
			t.Fatalf("got answer %+v, want one with the ID of the request", a)
		}
	}
	env.checkMemory()
}

// TestIdleClientsAreEvicted checks that idle connections, also those with an incomplete request, are closed to make
// descriptors available to other clients.
func TestIdleClientsAreEvicted(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	checkServed := func(clientName string, c *client) {
		t.Helper()
		c.request(1, "artes", longTimeoutMS, 1, "")
		a := receive(t, c.answers, "answer")
		if a.body != "fine" {
			t.Errorf(`%s: got answer %+v, want body "fine"`, clientName, a)
		}
	}
	earlyClient := env.dial()
	checkServed("early", earlyClient)
	var silentClients []*client
	for range 600 { // more than 409, the two fifths of the descriptors that clients may use
		silentClients = append(silentClients, env.dial())
	}
	checkServed("late", env.dial())
	checkServed("early", earlyClient)
	incomplete := env.dial()
	incomplete.writeRecord(recordBegin, 1, beginKeepConn)
	for _, c := range append(silentClients, incomplete) {
		a := receive(t, c.answers, "close")
		if a.id != 0 {
			t.Errorf("got answer %+v, want the close of the connection", a)
		}
	}
	for range 600 {
		checkServed("once", env.dial())
	}
}

// TestFloodIsRejected checks that requests beyond the memory limit are rejected, that the process stays within the
// limit, and that it serves afterwards.
func TestFloodIsRejected(t *testing.T) {
	env := startTestEnv(t)
	body := strings.Repeat("b", 48_000)
	answers := make(chan answer, 10_000)
	var conns []*client
	for range 60 {
		c := env.dial()
		conns = append(conns, c)
		go func() {
			for a := range c.answers {
				answers <- a
			}
		}()
		go func() {
			for id := range uint16(32) { // 92 MB in all; the origin answers none
				c.request(id+1, "registro", longTimeoutMS, int(id), body)
			}
		}()
	}
	a := receive(t, answers, "rejection")
	if a.protocolStatus != 2 {
		t.Errorf("got answer %+v, want OVERLOADED", a)
	}
	for _, c := range conns {
		closeOnce(t, c)
	}
	env.cache.answerAll("served", "-", "fine")
	env.eventually("an answer after the flood", func() bool {
		c := env.dial()
		c.request(1, "artes", longTimeoutMS, 1, "")
		return receive(t, c.answers, "answer").body == "fine"
	})
	env.checkMemory()
}

// TestManyIdleClientsBlockNoOthers checks that many idle clients prevent neither new clients from being served while
// the coordinator is down, nor the connection to the coordinator once it is back.
func TestManyIdleClientsBlockNoOthers(t *testing.T) {
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	receive(t, env.followLines, "follow")
	env.stopCoordinator()
	for i := range 700 { // more than 409, the two fifths of the descriptors that clients may use
		c := env.dial()
		c.request(1, "artes", longTimeoutMS, i, "")
		a := receive(t, c.answers, "answer")
		if a.body != "fine" {
			t.Fatalf(`client %d: got answer %+v, want body "fine"`, i, a)
		}
	}
	env.awaitAliveStatus("200")
	env.resumeCoordinator()
	got := receive(t, env.followLines, "follow")
	if got != "follow 1" {
		t.Errorf(`got line %q, want "follow 1"`, got)
	}
}

// TestErrorTextIsShort guards against answers to malformed requests that repeat all that the client has sent, many times
// as long (review/8, related paths).
func TestErrorTextIsShort(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	const scriptBytes, textLimit = 15_000, 300
	pairs := []byte{byte(len("SCRIPT_NAME")), 0x80, 0, scriptBytes >> 8, scriptBytes & 0xff}
	pairs = append(append(pairs, "SCRIPT_NAME"...), strings.Repeat("\x00", scriptBytes)...)
	c.writeRecord(recordBegin, 1, beginKeepConn)
	c.writeRecord(recordParams, 1, string(pairs))
	c.writeRecord(recordParams, 1, "")
	c.writeRecord(recordStdin, 1, "")
	if a := receive(t, c.answers, "answer"); a.status != "400" || len(a.body) > textLimit {
		t.Errorf("got status %s and %d bytes of text, want 400 and at most %d", a.status, len(a.body), textLimit)
	}
}
