package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestAbortStopsTheCall(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	got := receive(t, w.cache.calls, "call")
	c.writeRecord(2, 1, "")
	if stop := receive(t, w.cache.stops, "STOP"); stop.words[1] != got.words[1] {
		t.Errorf("%q", stop.words)
	}
	if a := receive(t, c.answers, "END_REQUEST"); a.id != 1 || a.status != "" {
		t.Errorf("%+v", a)
	}
	got.answer("served", "-", "too late")
	c.request(1, "artes", longTimeoutMS, 2, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "new")
	if a := receive(t, c.answers, "answer"); a.body != "new" {
		t.Errorf("%+v", a)
	}
	c.request(2, "artes", longTimeoutMS, 3, "")
	receive(t, w.cache.calls, "call")
	closeOnce(t, c) // leaves everything
	receive(t, w.cache.stops, "STOP")
}

// Requests that are taken back in the turn they came in are not counted as under way at a cache for good: were
// they, its link would look full, and those that come later would be refused.
func TestTakenBackAtOnceIsForgotten(t *testing.T) {
	w := newTestEnv(t)
	small := endpoint("c1", "std", "edge", "SERVING", w.cache)
	small["weight"] = 1
	w.start(endpointEvent(1, true, small, endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	c := w.dial()
	together := &bufferedConn{Conn: c.Conn}
	for id := range uint16(30) {
		r := &client{Conn: together}
		r.request(id+1, "artes", longTimeoutMS, int(id), "")
		r.writeRecord(2, id+1, "")
	}
	together.flush()
	for range 30 {
		receive(t, c.answers, "END_REQUEST")
	}
	w.cache.answerAll("served", "-", "fine")
	c.request(1, "artes", longTimeoutMS, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

func TestMalformedClients(t *testing.T) {
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x01\x00\x01\x00\x00\x00\x00", "\x01\x01\x00\x01\x00\x08\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00" +
		"\x01\x04\x00\x01\x00\x03\x00\x00\xff\xff\xff\x01\x04\x00\x01\x00\x00\x00\x00"} {
		c := w.dial()
		mustWrite(t, c, bytes)
		if a := receive(t, c.answers, "close"); a.id != 0 {
			t.Errorf("%q: %+v", bytes, a)
		}
	}
	c := w.dial()
	for i, extra := range [][]string{{"HTTP_REQ_ID", "a,b=c"}, {"HTTP_REQ_WAIT_MS", "soon"}, {"HTTP_X_PIECE", "-1"},
		{"HTTP_X_LOT", "256"}, {"HTTP_REQ_KB", "large"}, {"HTTP_REQ_KB", "NaN"}, {"HTTP_REQ_KEY", ""}, {"SCRIPT_NAME", "/ops/none"}, {"SCRIPT_NAME", "/"}} {
		c.request(uint16(i+1), "artes", longTimeoutMS, 1, "", extra...)
		if a := receive(t, c.answers, "answer"); a.status != "400" {
			t.Errorf("%v: %+v", extra, a)
		}
	}
	c.request(1, "artes", longTimeoutMS, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// What was read whole is owed its answer, whatever comes behind it on the same connection.
func TestWholeRequestBeforeAMalformedRecord(t *testing.T) {
	w := startTestEnv(t)
	for name, rest := range map[string]string{
		"version":         "GET / HTTP/1.1\r\n\r\n",
		"begun twice":     "\x01\x01\x00\x01\x00\x08\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00",
		"length of BEGIN": "\x01\x01\x00\x09\x00\x00\x00\x00",
	} {
		c := w.dial()
		out := &bufferedConn{Conn: c.Conn}
		(&client{Conn: out}).request(1, "registro", longTimeoutMS, 1, "x")
		(&client{Conn: out}).request(2, "artes", longTimeoutMS, 1, "")
		out.buffer = append(out.buffer, rest...)
		(&client{Conn: out}).request(3, "artes", longTimeoutMS, 1, "") // is not read any more
		out.flush()
		receive(t, w.origin.calls, name+": call").answer("served", "-", "written")
		receive(t, w.cache.calls, name+": call").answer("served", "-", "read")
		answers := map[uint16]string{}
		for range 3 {
			a := receive(t, c.answers, name+": answer")
			answers[a.id] = a.body
		}
		if answers[1] != "written" || answers[2] != "read" || len(answers) != 3 || len(w.cache.calls) != 0 {
			t.Errorf("%s: %v", name, answers)
		}
	}
}

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

// A client that vanished without a word must not keep a descriptor: not when idle, not in mid-request.
func TestVanishedClientsAreClosed(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	idle, half, waiting := w.dial(), w.dial(), w.dial()
	idle.writeRequest(1, map[string]string{"SCRIPT_NAME": "/alive"}, "")
	receive(t, idle.answers, "answer")
	half.writeRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00")
	waiting.request(1, "artes", longTimeoutMS, 1, "")
	for _, c := range []*client{idle, half} {
		if a := receive(t, c.answers, "close"); a.id != 0 {
			t.Errorf("%+v", a)
		}
	}
	receive(t, w.cache.calls, "call").answer("served", "-", "late")
	if a := receive(t, waiting.answers, "answer"); a.body != "late" {
		t.Errorf("one that is owed an answer: %+v", a)
	}
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

func (c *client) closeWrite() { c.Conn.(*net.TCPConn).CloseWrite() } //nolint:errcheck // shows in the answers

// What a client sent in one piece with its end is not begun when it is read long after: it has left by then.
func TestNothingBeginsForAClientThatHasLeft(t *testing.T) {
	for _, how := range []string{"half-close", "close", "abort"} {
		t.Run(how, func(t *testing.T) {
			w := startTestEnv(t)
			c := w.dial()
			c.request(1, "artes", longTimeoutMS, 1, "")
			receive(t, w.cache.calls, "call").answer("served", "-", "one")
			receive(t, c.answers, "answer")
			thaw := w.pause()
			c.request(2, "artes", longTimeoutMS, 2, "")
			c.request(3, "registro", longTimeoutMS, 3, strings.Repeat("x", 40_000))
			switch how {
			case "half-close":
				c.closeWrite()
			case "close":
				closeOnce(t, c)
			case "abort":
				c.writeRecord(2, 2, "")
				c.writeRecord(2, 3, "")
			}
			time.Sleep(overCancelGrace) // not a race: it is by this that the client left before
			thaw()
			if how == "half-close" { // it is told that nothing was done
				for range 2 {
					if a := receive(t, c.answers, "refusal"); a.status != "503" {
						t.Errorf("%+v", a)
					}
				}
			}
			other := w.dial()
			other.request(1, "artes", longTimeoutMS, 77, "")
			got := receive(t, w.cache.calls, "call")
			if got.fields["k"] != fmt.Sprintf("%016x", 77) || len(w.origin.calls) > 0 {
				t.Errorf("%q was sent for a client that has left", got.words)
			}
			got.answer("served", "-", "")
			receive(t, other.answers, "answer")
		})
	}
}

// A client that ends only its own side, right after it asked, gets what can be had at once.
func TestHalfClosedClientGetsItsAnswer(t *testing.T) {
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "one")
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	c.closeWrite()
	if a := receive(t, c.answers, "answer"); a.id != 1 || a.status != "200" && a.status != "503" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, c.answers, "close"); a.id != 0 {
		t.Errorf("%+v", a)
	}
}

// newUnreadingClient returns a client that has left over 1 MB of answers unread, and of which one request, number 99, is out at
// the cache.
func newUnreadingClient(w *testEnv) (stuck net.Conn, out *receivedCall) {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { closeOnce(w.t, conn) })
	c := &client{Conn: conn}
	c.request(99, "artes", longTimeoutMS, 99, "")
	out = receive(w.t, w.cache.calls, "call")
	for id := range uint16(31) { // 7.4 MB: over what the system takes for both ends
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
	}
	for range 31 {
		receive(w.t, w.cache.calls, "call").answer("served", "-", strings.Repeat("x", 240_000))
	}
	w.eventually("all others are answered", func() bool { return w.metric("svc_open_requests") == 1 })
	return conn, out
}

// A client that leaves its answers unread is heard all the same, when it leaves and when it takes a request back:
// else a retry for it might begin at any time.
func TestUnreadingClientIsHeard(t *testing.T) {
	for _, how := range []string{"half-close", "abort"} {
		t.Run(how, func(t *testing.T) {
			w := startTestEnv(t)
			conn, out := newUnreadingClient(w)
			c := &client{Conn: conn}
			c.request(100, "artes", longTimeoutMS, 100, "") // waits, as its client reads nothing
			if how == "abort" {
				c.writeRecord(2, 99, "")
				c.writeRecord(2, 100, "")
			} else {
				c.closeWrite()
			}
			if stop := receive(t, w.cache.stops, "STOP"); stop.words[1] != out.words[1] {
				t.Errorf("%q", stop.words)
			}
			if len(w.cache.calls) > 0 {
				t.Errorf("%q was sent for it", (<-w.cache.calls).words)
			}
		})
	}
}

// What a client asks while it leaves its answers unread is served once it reads on.
func TestParkedRequestIsServed(t *testing.T) {
	w := startTestEnv(t)
	conn, out := newUnreadingClient(w)
	c := &client{conn, make(chan answer, 1000)}
	c.request(100, "artes", longTimeoutMS, 100, "")
	out.answer("served", "-", "out")
	go c.readAnswers()
	for range 32 {
		if a := receive(t, c.answers, "answer"); a.status != "200" {
			t.Errorf("%+v", a)
		}
	}
	receive(t, w.cache.calls, "call").answer("served", "-", "parked")
	if a := receive(t, c.answers, "answer"); a.id != 100 || a.body != "parked" {
		t.Errorf("%+v", a)
	}
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

// A request that came while the process did not run is served, though its connection has been idle for long enough to
// be closed; one that comes after the close is not sent on.
func TestRequestsAroundAnIdleClose(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	early, after := w.dial(), w.dial()
	for _, c := range []*client{early, after} {
		c.request(1, "artes", longTimeoutMS, 1, "")
		receive(t, w.cache.calls, "call").answer("served", "-", "fine")
		receive(t, c.answers, "answer")
	}
	thaw := w.pause()
	time.Sleep(5500 * time.Millisecond) // not a race: both have been idle for too long by then
	early.request(2, "artes", longTimeoutMS, 2, "")
	thaw()
	receive(t, w.cache.calls, "call").answer("served", "-", "early")
	if a := receive(t, early.answers, "answer"); a.body != "early" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, after.answers, "close"); a.id != 0 {
		t.Errorf("%+v", a)
	}
	after.request(2, "artes", longTimeoutMS, 3, "")
	early.request(3, "artes", longTimeoutMS, 4, "")
	if got := receive(t, w.cache.calls, "call"); got.fields["k"] != fmt.Sprintf("%016x", 4) {
		t.Errorf("%q was sent on after the close", got.words)
	}
}

// Where the settings allow no advice, a refusal gives none.
func TestNoAdviceWhereNoneIsAllowed(t *testing.T) {
	w := startTestEnv(t)
	w.reload(`"second-copies":true`, `"retry-after":false,"second-copies":true`)
	w.eventually("taken over", func() bool { return w.metric("svc_cfg_accepted") == 1 })
	closeOnce(t, w.origin)
	c := w.dial()
	c.request(1, "registro", longTimeoutMS, 1, "x")
	if a := receive(t, c.answers, "answer"); a.status != "503" || strings.Contains(a.headers, "Srv-Wait-Ms") {
		t.Errorf("%+v", a)
	}
}

// A request that was read so late that its client's time is over is refused at once, and sent nowhere.
func TestRequestReadTooLateIsRefused(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "fine")
	receive(t, c.answers, "answer")
	thaw := w.pause()
	c.request(2, "artes", 500, 2, "")
	c.request(3, "artes", longTimeoutMS, 3, "")
	time.Sleep(600 * time.Millisecond) // not a race: it is by this that the first one's time is over
	thaw()
	if a := receive(t, c.answers, "refusal"); a.id != 2 || a.status != "503" {
		t.Errorf("%+v", a)
	}
	if got := receive(t, w.cache.calls, "call"); got.fields["k"] != fmt.Sprintf("%016x", 3) {
		t.Errorf("%q was sent though its time was over", got.words)
	}
}

// The same behind more input than one turn reads of a connection.
func TestRequestBehindMuchInputTooLateIsRefused(t *testing.T) {
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, c.answers, "answer")
	thaw := w.pause()
	written := make(chan error, 1)
	go func() {
		out := &bufferedConn{Conn: c.Conn}
		for range 40 { // 2.4 MB of a request that is not open: passed over
			(&client{Conn: out}).writeRecord(5, 9, strings.Repeat("x", 60_000))
		}
		(&client{Conn: out}).request(2, "artes", 500, 2, "")
		_, err := c.Write(out.buffer)
		written <- err
	}()
	if err := receive(t, written, "end of the write"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond) // not a race: it is by this that the request's time is over
	thaw()
	if a := receive(t, c.answers, "refusal"); a.id != 2 || a.status != "503" {
		t.Errorf("%+v", a)
	}
}

// The same on connections that have yet to be accepted, or are accepted while the process is held up: the time spent in their
// queue counts.
func TestRequestInTheQueueTooLateIsRefused(t *testing.T) {
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	thaw := w.pause()
	late, inTime := w.dial(), w.dial()
	late.request(2, "artes", 500, 2, "")
	inTime.request(3, "artes", longTimeoutMS, 3, "")
	time.Sleep(600 * time.Millisecond) // not a race: it is by this that the first one's time is over
	late.request(4, "artes", longTimeoutMS, 4, "")
	thaw()
	if a := receive(t, late.answers, "refusal"); a.id != 2 || a.status != "503" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, late.answers, "answer"); a.id != 4 || a.body != "fine" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, inTime.answers, "answer"); a.id != 3 || a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// A client that reads slowly and has ended its own side gets all answers that were given before, and one final answer
// to what was still open.
func TestHalfClosedSlowReader(t *testing.T) {
	w := startTestEnv(t)
	conn, _ := newUnreadingClient(w)
	c := &client{conn, make(chan answer, 1000)}
	c.closeWrite()
	receive(t, w.cache.stops, "STOP")
	go c.readAnswers()
	for range 31 {
		if a := receive(t, c.answers, "answer"); a.status != "200" || len(a.body) != 240_000 {
			t.Errorf("%+v", a)
		}
	}
	if a := receive(t, c.answers, "answer"); a.id != 99 || a.status != "503" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, c.answers, "close"); a.id != 0 {
		t.Errorf("%+v", a)
	}
}

// A client that asks for its connection to be closed, and closes its own side first, still gets what it has not read.
func TestClosedOnBothSidesWithAnswersUnread(t *testing.T) {
	w := startTestEnv(t)
	conn, _ := newUnreadingClient(w)
	c := &client{conn, make(chan answer, 1000)}
	c.writeRecord(1, 100, "\x00\x01\x00\x00\x00\x00\x00\x00") // without KEEP_CONN
	c.writeRecord(4, 100, "\x0b\x06SCRIPT_NAME/alive")
	c.writeRecord(4, 100, "")
	c.writeRecord(5, 100, "")
	c.writeRecord(2, 99, "")
	receive(t, w.cache.stops, "STOP") // nothing is open any more: the program closes
	c.closeWrite()
	w.awaitAlive("200") // by now it has seen that
	go c.readAnswers()
	for range 31 {
		if a := receive(t, c.answers, "answer"); a.status != "200" || len(a.body) != 240_000 {
			t.Fatalf("%d %s %d bytes", a.id, a.status, len(a.body))
		}
	}
}

// A client that writes slowly is waited for as long as it goes on, and served.
func TestSlowWriterIsServed(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	c := w.dial()
	out := &bufferedConn{Conn: c.Conn}
	(&client{Conn: out}).request(1, "artes", longTimeoutMS, 1, "")
	for begin := time.Now(); len(out.buffer) > 0; time.Sleep(50 * time.Millisecond) { // its pace is what is tested
		n := 1
		if time.Since(begin) > 3*time.Second {
			n = len(out.buffer)
		}
		c.Write(out.buffer[:n]) //nolint:errcheck // shows in the answers
		out.buffer = out.buffer[n:]
	}
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}
