package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestReadIsServedThroughTheCache checks the call that a read makes to the cache, and the answers to the client for
// a full and for an unchanged object.
func TestReadIsServedThroughTheCache(t *testing.T) {
	env := startTestEnv(t)
	big := strings.Repeat("0123456789", 24_000)
	c := env.dial()
	c.request(7, "artes", longTimeoutMS, 0xabc, "", "HTTP_REQ_ID", "9b1f03aa5c7e2d41", "HTTP_X_VER", "4be0c1927d55a6f3")
	got := receive(t, env.cache.calls, "call")
	for name, want := range map[string]string{"c": "artes", "k": "0000000000000abc", "p": "3", "src": "o1", "have": "4be0c1927d55a6f3"} {
		if got.fields[name] != want {
			t.Errorf("field %s is %q, want %q", name, got.fields[name], want)
		}
	}
	n, err := strconv.Atoi(got.fields["w"])
	if err != nil || n <= 0 || n > longTimeoutMS || got.args[1] != "9b1f03aa5c7e2d41" {
		t.Errorf("got call %q, want the ID of the request and a timeout no longer than the request's", got.args)
	}
	got.answer("served", "etag=4be0c1927d55a6f4,made=1,note=TCP_MISS,ttfb=3", big)
	a := receive(t, c.answers, "answer")
	if a.id != 7 || a.status != "200" || a.body != big {
		t.Errorf("answer %d: got status %s and %d bytes, want ID 7, status 200 and the whole body", a.id, a.status, len(a.body))
	}

	c.request(7, "artes", longTimeoutMS, 0xabc, "", "HTTP_X_VER", "4be0c1927d55a6f4")
	receive(t, env.cache.calls, "call").answer("still_good", "etag=4be0c1927d55a6f4,made=1,note=TCP_HIT", "")
	a = receive(t, c.answers, "answer")
	if a.status != "200" || a.body != "" || !strings.Contains(a.headers, "X-Unchanged: 1") {
		t.Errorf("got answer %+v, want status 200, no body and X-Unchanged", a)
	}
}

// TestAnswersComeInAnyOrder checks that answers are matched to requests by their ID, in any order.
func TestAnswersComeInAnyOrder(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	firstCall := receive(t, env.cache.calls, "call")
	c.request(2, "artes", longTimeoutMS, 2, "")
	receive(t, env.cache.calls, "call").answer("served", "-", "two")
	a := receive(t, c.answers, "answer")
	if a.id != 2 || a.body != "two" {
		t.Errorf(`got answer %+v, want ID 2 and body "two"`, a)
	}
	firstCall.answer("served", "-", "one")
	a = receive(t, c.answers, "answer")
	if a.id != 1 || a.body != "one" {
		t.Errorf(`got answer %+v, want ID 1 and body "one"`, a)
	}
}

// TestWriteNeverRunsTwice checks that a write that may have been executed fails without a retry, and that a write
// that was not executed is rejected.
func TestWriteNeverRunsTwice(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	write := strings.Repeat("w", 48_000)
	c.request(1, "registro", longTimeoutMS, 1, write)
	got := receive(t, env.origin.calls, "call")
	if got.args[3] != write {
		t.Errorf("the origin got a body of %d bytes, not the one sent", len(got.args[3]))
	}
	closeOnce(t, got.conn)
	a := receive(t, c.answers, "answer")
	if a.status != "502" {
		t.Errorf("after a reset: got answer %+v, want status 502", a)
	}
	closeOnce(t, env.origin) // connects are refused from now on
	c.request(2, "registro", longTimeoutMS, 1, write)
	a = receive(t, c.answers, "answer")
	if a.status != "503" || !strings.Contains(a.headers, "Srv-Wait-Ms: ") {
		t.Errorf("after a refused connect: got answer %+v, want status 503 and Srv-Wait-Ms", a)
	}
	if len(env.origin.calls) != 0 {
		t.Error("a write was retried")
	}
}

// TestAnswerBeforeTheDeadline checks that a request is answered before its deadline if the server does not answer,
// and that its call is stopped.
func TestAnswerBeforeTheDeadline(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	start := time.Now()
	c.request(1, "registro", 1000, 1, "x")
	receive(t, env.origin.calls, "call")
	receive(t, env.origin.stops, "STOP")
	a := receive(t, c.answers, "answer")
	if a.status != "502" || time.Since(start) < 500*time.Millisecond {
		t.Errorf("got answer %+v after %v, want status 502 after 500 ms or more", a, time.Since(start))
	}
}

// TestMalformedAnswerDropsTheConnection checks that a malformed answer fails its attempt and closes the
// connection, and that the request is retried.
func TestMalformedAnswerDropsTheConnection(t *testing.T) {
	for _, malformedAnswer := range []string{"hello\r\n", "*4\r\n$99999999\r\n", "still_good"} {
		t.Run(malformedAnswer, func(t *testing.T) {
			env := startTestEnv(t)
			c := env.dial()
			c.request(1, "artes", longTimeoutMS, 1, "")
			got := receive(t, env.cache.calls, "call")
			if malformedAnswer == "still_good" { // the client has no copy that could be confirmed
				got.answer(malformedAnswer, "-", "")
			} else {
				mustWrite(t, got.conn, malformedAnswer)
			}
			env.origin.answerAll("served", "-", "again")
			env.cache.answerAll("served", "-", "again")
			a := receive(t, c.answers, "answer")
			if a.body != "again" {
				t.Errorf(`got answer %+v, want body "again"`, a)
			}
		})
	}
}

// TestMalformedAnswerFailsOneRequest checks that a malformed answer fails only one write: each write in flight to a
// server has its own connection.
func TestMalformedAnswerFailsOneRequest(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	var calls []*receivedCall
	for id := range uint16(10) {
		c.request(id+1, "registro", longTimeoutMS, int(id), "x")
		calls = append(calls, receive(t, env.origin.calls, "call"))
	}
	mustWrite(t, calls[0].conn, "noise\r\n")
	a := receive(t, c.answers, "answer")
	if a.id != 1 || a.status != "502" {
		t.Errorf("malformed answer: got answer %+v, want ID 1 and status 502", a)
	}
	for i, got := range calls[1:] {
		got.answer("served", "-", "fine")
		if a := receive(t, c.answers, "answer"); int(a.id) != i+2 || a.body != "fine" {
			t.Errorf(`request %d: got answer %+v, want its ID and body "fine"`, i+2, a)
		}
	}
}

// TestConnectionsClosedOnReuseAreAvoided checks that idle connections are not used any more after a few failures if
// the server closes each when it is reused. Writes need this most, as they can't be retried.
func TestConnectionsClosedOnReuseAreAvoided(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	c := env.dial()
	usedConns := map[net.Conn]bool{}
	id := uint16(0)
	go func() {
		for got := range env.origin.calls {
			if usedConns[got.conn] {
				closeOnce(t, got.conn)
				continue
			}
			usedConns[got.conn] = true
			got.answer("served", "-", "fine")
		}
	}()
	consecutive := 0
	env.eventually("five consecutive writes are answered", func() bool {
		time.Sleep(100 * time.Millisecond)
		id++
		c.request(id, "registro", longTimeoutMS, 1, "x")
		if receive(t, c.answers, "answer").body == "fine" {
			consecutive++
		} else {
			consecutive = 0
		}
		return consecutive == 5
	})
}

// TestQuietConnectionTakesNoNewCalls checks that a connection on which calls are in flight and no answers arrive
// gets no new calls, as it may be dead.
func TestQuietConnectionTakesNoNewCalls(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	c := env.dial()
	c.request(1, "registro", longTimeoutMS, 1, "x")
	silentConn := receive(t, env.origin.calls, "call").conn
	id := uint16(1)
	env.eventually("a call uses another connection", func() bool {
		id++
		c.request(id, "registro", longTimeoutMS, 1, "x")
		got := receive(t, env.origin.calls, "call")
		got.args[0] = "answered"
		if got.conn != silentConn {
			return true
		}
		c.writeRecord(recordAbort, id, "")
		time.Sleep(100 * time.Millisecond)
		return false
	})
}

// TestOnlyTheClientsVersionIsConfirmed checks that a client's copy is confirmed only if the server names the version
// of that copy. An answer that names another version, or none, fails its attempt, and its connection stays open.
func TestOnlyTheClientsVersionIsConfirmed(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	for i, fields := range []string{"etag=4be0c1927d55a6f4,made=1,note=TCP_HIT", "made=1,note=TCP_HIT", "-"} {
		c.request(1, "artes", longTimeoutMS, i, "", "HTTP_X_VER", "4be0c1927d55a6f3")
		firstCall := receive(t, env.cache.calls, "call")
		firstCall.answer("still_good", fields, "")
		var retriedCall *receivedCall
		select {
		case retriedCall = <-env.cache.calls:
		case retriedCall = <-env.origin.calls:
		case <-time.After(testTimeout):
			t.Fatalf("%s: not retried", fields)
		}
		retriedCall.answer("served", "etag=4be0c1927d55a6f5,made=1", "whole")
		a := receive(t, c.answers, "answer")
		if a.body != "whole" || strings.Contains(a.headers, "X-Unchanged") {
			t.Errorf("%s: got answer %+v, want the whole object without X-Unchanged", fields, a)
		}
	}
}

// TestConnectionWithAnIncompleteAnswerIsNotUsedAgain checks that a connection with an incomplete answer gets no new
// calls: the answers to them would be read as the rest of the incomplete one.
func TestConnectionWithAnIncompleteAnswerIsNotUsedAgain(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	c.request(1, "registro", longTimeoutMS, 1, "x")
	firstCall := receive(t, env.origin.calls, "call")
	resume := env.pause()
	mustWrite(t, firstCall.conn, fmt.Sprintf("*4\r\n$16\r\n%s\r\n$6\r\nserved\r\n$1\r\n-\r\n$900\r\nhalf", firstCall.args[1]))
	c.writeRecord(recordAbort, 1, "")
	resume()
	receive(t, c.answers, "END_REQUEST")
	c.request(2, "registro", longTimeoutMS, 2, "x")
	secondCall := receive(t, env.origin.calls, "call")
	if secondCall.conn == firstCall.conn {
		t.Error("the connection with an incomplete answer is used again")
	}
	secondCall.answer("served", "-", "fine")
	a := receive(t, c.answers, "answer")
	if a.id != 2 || a.body != "fine" {
		t.Errorf(`got answer %+v, want ID 2 and body "fine"`, a)
	}
}

// TestDuplicateAndUnknownAnswersAreIgnored checks that duplicate and late answers, and answers to unknown calls,
// affect neither the request in flight nor the next one on the connection.
func TestDuplicateAndUnknownAnswersAreIgnored(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	unknownCall := &receivedCall{args: []string{"", "ffffffffffffffff"}}
	for i := range 5 {
		c.request(1, "artes", longTimeoutMS, i, "")
		got := receive(t, env.cache.calls, "call")
		out := &bufferedConn{Conn: got.conn}
		unknownCall.conn = out
		unknownCall.answer("served", "-", "unknown")
		first := &receivedCall{conn: out, args: got.args}
		first.answer("served", "-", "first")
		first.answer("served", "-", "second")
		first.answer("crashed", "-", "")
		out.flush()
		a := receive(t, c.answers, "answer")
		if a.body != "first" {
			t.Errorf(`got answer %+v, want body "first"`, a)
		}
		first.conn = got.conn
		first.answer("served", "-", "late") // may arrive after the next call has been sent
	}
	if len(env.cache.calls)+len(env.origin.calls)+len(c.answers) != 0 {
		t.Error("a further call was made or a further answer given")
	}
}

// TestAttemptIsCancelledBeforeARetry checks that with hedging off an attempt is cancelled by the close of its
// connection before the next one begins. STOP is not enough, as a server that hangs does not read it.
func TestAttemptIsCancelledBeforeARetry(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	env.reload(`"second-copies":true`, `"second-copies":false`)
	env.eventually("the configuration is reloaded", func() bool { return env.metric("svc_cfg_accepted") == 1 })
	c := env.dial()
	var silentCall, nextCall *receivedCall
	env.eventually("a call is retried", func() bool { // the server counts as quiet only some time after its last answer
		c.request(1, "artes", longTimeoutMS, 1, "")
		receive(t, env.cache.calls, "call").answer("served", "made=1,note=TCP_HIT", "warm")
		receive(t, c.answers, "answer")
		c.request(2, "artes", longTimeoutMS, 2, "")
		silentCall = receive(t, env.cache.calls, "call")
		select {
		case nextCall = <-env.cache.calls:
		case nextCall = <-env.origin.calls:
		case <-time.After(testTimeout):
			t.Fatal("not retried")
		}
		return nextCall.args[1] == silentCall.args[1]
	})
	env.eventually("the connection of the first call is closed", func() bool {
		_, err := silentCall.conn.Write([]byte("*4\r\n$16\r\nffffffffffffffff\r\n$6\r\nnobody\r\n$1\r\n-\r\n$0\r\n\r\n"))
		return err != nil
	})
	nextCall.answer("served", "made=1", "again")
	a := receive(t, c.answers, "answer")
	if a.id != 2 || a.body != "again" {
		t.Errorf(`got answer %+v, want ID 2 and body "again"`, a)
	}
}

// TestIdempotencyKeyIsForwarded checks that every attempt carries the client's idempotency key unchanged, and
// that malformed keys are rejected.
func TestIdempotencyKeyIsForwarded(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "", "HTTP_REQ_TOKEN", "a-Key_7.x")
	first := receive(t, env.cache.calls, "call")
	if first.fields["i"] != "a-Key_7.x" {
		t.Errorf("first call %q lacks the key", first.args)
	}
	first.answer("overload", "-", "")
	select {
	case again := <-env.cache.calls:
		first = again
	case again := <-env.origin.calls:
		first = again
	case <-time.After(testTimeout):
		t.Fatal("not retried")
	}
	first.answer("served", "made=1", "fine")
	if first.fields["i"] != "a-Key_7.x" {
		t.Errorf("second call %q lacks the key", first.args)
	}
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
	for _, malformedKey := range []string{"a,b", "a=b", "a b", strings.Repeat("x", 65)} {
		c.request(2, "artes", longTimeoutMS, 2, "", "HTTP_REQ_TOKEN", malformedKey)
		if a := receive(t, c.answers, "answer"); a.status != "400" {
			t.Errorf("key %q: got answer %+v, want status 400", malformedKey, a)
		}
	}
}
