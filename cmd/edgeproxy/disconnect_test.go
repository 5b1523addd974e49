package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestAbortStopsTheCall checks that an abort and a disconnect stop the calls of the requests that they end.
func TestAbortStopsTheCall(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	got := receive(t, env.cache.calls, "call")
	c.writeRecord(recordAbort, 1, "")
	stop := receive(t, env.cache.stops, "STOP")
	if stop.args[1] != got.args[1] {
		t.Errorf("got %q, want the STOP of the call", stop.args)
	}
	a := receive(t, c.answers, "END_REQUEST")
	if a.id != 1 || a.status != "" {
		t.Errorf("got answer %+v, want ID 1 and no status", a)
	}
	got.answer("served", "-", "too late")
	c.request(1, "artes", longTimeoutMS, 2, "")
	receive(t, env.cache.calls, "call").answer("served", "-", "new")
	a = receive(t, c.answers, "answer")
	if a.body != "new" {
		t.Errorf(`got answer %+v, want body "new"`, a)
	}
	c.request(2, "artes", longTimeoutMS, 3, "")
	receive(t, env.cache.calls, "call")
	closeOnce(t, c) // with a request in flight
	receive(t, env.cache.stops, "STOP")
}

// TestAbortInTheSameTurnIsReleased checks that requests that are aborted in the turn of the event loop in which they
// arrived are not counted as in flight any more. Otherwise the link to the cache would look full and later requests
// would be rejected.
func TestAbortInTheSameTurnIsReleased(t *testing.T) {
	env := newTestEnv(t)
	smallCache := endpoint("c1", "std", "edge", "SERVING", env.cache.Addr())
	smallCache["weight"] = 1
	env.start(endpointEvent(1, true, smallCache, endpoint("o1", "origin", "hub", "SERVING", env.origin.Addr())))
	env.awaitAliveStatus("200")
	c := env.dial()
	batch := &bufferedConn{Conn: c.Conn}
	for id := range uint16(30) {
		r := &client{Conn: batch}
		r.request(id+1, "artes", longTimeoutMS, int(id), "")
		r.writeRecord(recordAbort, id+1, "")
	}
	batch.flush()
	for range 30 {
		receive(t, c.answers, "END_REQUEST")
	}
	env.cache.answerAll("served", "-", "fine")
	c.request(1, "artes", longTimeoutMS, 1, "")
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
}

// TestNoCallForADisconnectedClient checks that no call begins for a request whose client had disconnected, or had
// aborted it, before the program read it.
func TestNoCallForADisconnectedClient(t *testing.T) {
	for _, action := range []string{"half-close", "close", "abort"} {
		t.Run(action, func(t *testing.T) {
			env := startTestEnv(t)
			c := env.dial()
			c.request(1, "artes", longTimeoutMS, 1, "")
			receive(t, env.cache.calls, "call").answer("served", "-", "one")
			receive(t, c.answers, "answer")
			resume := env.pause()
			c.request(2, "artes", longTimeoutMS, 2, "")
			c.request(3, "registro", longTimeoutMS, 3, strings.Repeat("x", 40_000))
			switch action {
			case "half-close":
				c.closeWrite()
			case "close":
				closeOnce(t, c)
			case "abort":
				c.writeRecord(recordAbort, 2, "")
				c.writeRecord(recordAbort, 3, "")
			}
			time.Sleep(pastDisconnectGrace) // not a race: the disconnect is older than the grace period
			resume()
			if action == "half-close" { // the client is told that nothing was executed
				for range 2 {
					a := receive(t, c.answers, "rejection")
					if a.status != "503" {
						t.Errorf("got answer %+v, want status 503", a)
					}
				}
			}
			otherClient := env.dial()
			otherClient.request(1, "artes", longTimeoutMS, 77, "")
			got := receive(t, env.cache.calls, "call")
			if got.fields["k"] != fmt.Sprintf("%016x", 77) || len(env.origin.calls) > 0 {
				t.Errorf("call %q was sent for a client that had disconnected or aborted", got.args)
			}
			got.answer("served", "-", "")
			receive(t, otherClient.answers, "answer")
		})
	}
}

// TestHalfClosedClientGetsItsAnswer checks that a client that closes its sending direction right after a request gets
// one answer, either served or rejected.
func TestHalfClosedClientGetsItsAnswer(t *testing.T) {
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "one")
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	c.closeWrite()
	a := receive(t, c.answers, "answer")
	if a.id != 1 || a.status != "200" && a.status != "503" {
		t.Errorf("got answer %+v, want ID 1 and status 200 or 503", a)
	}
	a = receive(t, c.answers, "close")
	if a.id != 0 {
		t.Errorf("got answer %+v, want the close of the connection", a)
	}
}

// TestUnreadingClientDisconnects checks that a disconnect or an abort takes effect although the client does not read
// its answers. Otherwise a retry could begin afterwards.
func TestUnreadingClientDisconnects(t *testing.T) {
	for _, action := range []string{"half-close", "abort"} {
		t.Run(action, func(t *testing.T) {
			env := startTestEnv(t)
			conn, inFlight := newUnreadingClient(env)
			c := &client{Conn: conn}
			c.request(100, "artes", longTimeoutMS, 100, "") // waits, as its client reads nothing
			if action == "abort" {
				c.writeRecord(recordAbort, 99, "")
				c.writeRecord(recordAbort, 100, "")
			} else {
				c.closeWrite()
			}
			stop := receive(t, env.cache.stops, "STOP")
			if stop.args[1] != inFlight.args[1] {
				t.Errorf("got %q, want the STOP of the call in flight", stop.args)
			}
			if len(env.cache.calls) > 0 {
				t.Errorf("call %q was sent for the blocked request", (<-env.cache.calls).args)
			}
		})
	}
}

// TestHalfClosedSlowReader checks that a client that reads slowly and has closed its sending direction gets all
// earlier answers, and one answer to the request in flight.
func TestHalfClosedSlowReader(t *testing.T) {
	env := startTestEnv(t)
	conn, _ := newUnreadingClient(env)
	c := &client{conn, make(chan answer, 1000)}
	c.closeWrite()
	receive(t, env.cache.stops, "STOP")
	go c.readAnswers()
	for range 31 {
		a := receive(t, c.answers, "answer")
		if a.status != "200" || len(a.body) != 240_000 {
			t.Errorf("got answer %+v, want status 200 and 240,000 bytes", a)
		}
	}
	a := receive(t, c.answers, "answer")
	if a.id != 99 || a.status != "503" {
		t.Errorf("got answer %+v, want ID 99 and status 503", a)
	}
	a = receive(t, c.answers, "close")
	if a.id != 0 {
		t.Errorf("got answer %+v, want the close of the connection", a)
	}
}

// TestClosedOnBothSidesWithAnswersUnread checks that a client gets the answers that it has not read yet although both
// sides have closed their sending direction.
func TestClosedOnBothSidesWithAnswersUnread(t *testing.T) {
	env := startTestEnv(t)
	conn, _ := newUnreadingClient(env)
	c := &client{conn, make(chan answer, 1000)}
	c.writeRecord(recordBegin, 100, "\x00\x01\x00\x00\x00\x00\x00\x00") // without KEEP_CONN
	c.writeRecord(recordParams, 100, "\x0b\x06SCRIPT_NAME/alive")
	c.writeRecord(recordParams, 100, "")
	c.writeRecord(recordStdin, 100, "")
	c.writeRecord(recordAbort, 99, "")
	receive(t, env.cache.stops, "STOP") // no request is open: the program closes the connection
	c.closeWrite()
	env.awaitAliveStatus("200") // answered in a later turn of the event loop: the program has closed its side
	go c.readAnswers()
	for range 31 {
		a := receive(t, c.answers, "answer")
		if a.status != "200" || len(a.body) != 240_000 {
			t.Fatalf("answer %d: got status %s and %d bytes, want 200 and 240,000", a.id, a.status, len(a.body))
		}
	}
}

// TestRequestOfAClientThatReadsIsServed checks that a request is answered that a client sends while it reads its earlier
// answers, although the last of them was queued longer ago than an idle connection may be. The request was thrown away
// unread, as the connection was closing by then.
func TestRequestOfAClientThatReadsIsServed(t *testing.T) {
	const unreadFor, step = 7 * time.Second, 50 * time.Millisecond // more than idleTimeout, less than writeStallTimeout
	env := newTestEnv(t)
	env.clock = newManualClock(t)
	env.startWith(env.cache.Addr(), env.origin.Addr())
	conn, inFlight := newUnreadingClient(env)
	inFlight.answer("served", "-", "last of the page")
	env.eventually("all requests are answered", func() bool { return env.metric("svc_open_requests") == 0 })
	for range unreadFor / step {
		env.clock.advance(step)
	}
	c := &client{conn, make(chan answer, 1000)}
	c.request(100, "artes", longTimeoutMS, 100, "")
	go c.readAnswers()
	receive(t, env.cache.calls, "call").answer("served", "-", "next page")
	answered := map[uint16]bool{}
	for range 33 {
		a := receive(t, c.answers, "answer")
		if a.id == 0 || a.status != "200" || answered[a.id] {
			t.Fatalf("got answer %+v after %d others, want one to each of 33 requests", a, len(answered))
		}
		answered[a.id] = true
	}
	for range unreadFor / step {
		env.clock.advance(step)
	}
	if a := receive(t, c.answers, "close"); a.id != 0 {
		t.Errorf("got answer %+v, want the close of the idle connection", a)
	}
}

// TestIdleConnectionsAreClosed checks that connections that are idle for too long, between requests or with an
// incomplete request, are closed, except while a request on them waits for its answer.
func TestIdleConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	idleClient := env.dial()
	incompleteClient := env.dial()
	waitingClient := env.dial()
	idleClient.writeRequest(1, map[string]string{"SCRIPT_NAME": "/alive"}, "")
	receive(t, idleClient.answers, "answer")
	incompleteClient.writeRecord(recordBegin, 1, beginKeepConn)
	waitingClient.request(1, "artes", longTimeoutMS, 1, "")
	for _, c := range []*client{idleClient, incompleteClient} {
		a := receive(t, c.answers, "close")
		if a.id != 0 {
			t.Errorf("got answer %+v, want the close of the connection", a)
		}
	}
	receive(t, env.cache.calls, "call").answer("served", "-", "late")
	a := receive(t, waitingClient.answers, "answer")
	if a.body != "late" {
		t.Errorf(`the client that waits for an answer: got answer %+v, want body "late"`, a)
	}
}
