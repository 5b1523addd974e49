package main

import (
	"fmt"
	"strings"
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
