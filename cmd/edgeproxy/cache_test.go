package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestReadIsServedThroughTheCache(t *testing.T) {
	w, big := startTestEnv(t), strings.Repeat("0123456789", 24_000)
	c := w.dial()
	c.request(7, "artes", longTimeoutMS, 0xabc, "", "HTTP_REQ_ID", "9b1f03aa5c7e2d41", "HTTP_X_VER", "4be0c1927d55a6f3")
	got := receive(t, w.cache.calls, "call")
	for name, want := range map[string]string{"c": "artes", "k": "0000000000000abc", "p": "3", "src": "o1", "have": "4be0c1927d55a6f3"} {
		if got.fields[name] != want {
			t.Errorf("field %s is %q, want %q", name, got.fields[name], want)
		}
	}
	if n, err := strconv.Atoi(got.fields["w"]); err != nil || n <= 0 || n > longTimeoutMS || got.words[1] != "9b1f03aa5c7e2d41" {
		t.Errorf("%q", got.words)
	}
	got.answer("served", "etag=4be0c1927d55a6f4,made=1,note=TCP_MISS,ttfb=3", big)
	if a := receive(t, c.answers, "answer"); a.id != 7 || a.status != "200" || a.body != big {
		t.Errorf("%d %s %d bytes", a.id, a.status, len(a.body))
	}

	c.request(7, "artes", longTimeoutMS, 0xabc, "", "HTTP_X_VER", "4be0c1927d55a6f4")
	receive(t, w.cache.calls, "call").answer("still_good", "etag=4be0c1927d55a6f4,made=1,note=TCP_HIT", "")
	if a := receive(t, c.answers, "answer"); a.status != "200" || a.body != "" || !strings.Contains(a.headers, "X-Unchanged: 1") {
		t.Errorf("%+v", a)
	}
}

func TestAnswersComeInAnyOrder(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	first := receive(t, w.cache.calls, "call")
	c.request(2, "artes", longTimeoutMS, 2, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "two")
	if a := receive(t, c.answers, "answer"); a.id != 2 || a.body != "two" {
		t.Errorf("%+v", a)
	}
	first.answer("served", "-", "one")
	if a := receive(t, c.answers, "answer"); a.id != 1 || a.body != "one" {
		t.Errorf("%+v", a)
	}
}

// A write that may have run is failed, never sent again; one that surely did not run is refused.
func TestWriteNeverRunsTwice(t *testing.T) {
	w := startTestEnv(t)
	c, write := w.dial(), strings.Repeat("w", 48_000)
	c.request(1, "registro", longTimeoutMS, 1, write)
	got := receive(t, w.origin.calls, "call")
	if got.words[3] != write {
		t.Errorf("body of %d bytes", len(got.words[3]))
	}
	closeOnce(t, got.conn)
	if a := receive(t, c.answers, "answer"); a.status != "502" {
		t.Errorf("after a reset: %+v", a)
	}
	closeOnce(t, w.origin) // connections are refused from now on
	c.request(2, "registro", longTimeoutMS, 1, write)
	if a := receive(t, c.answers, "answer"); a.status != "503" || !strings.Contains(a.headers, "Srv-Wait-Ms: ") {
		t.Errorf("after a refused connect: %+v", a)
	}
	if len(w.origin.calls) != 0 {
		t.Error("it was sent again")
	}
}

// A silent cache costs the request its time, not its answer; the call is given up.
func TestAnswerBeforeTheDeadline(t *testing.T) {
	w := startTestEnv(t)
	c, start := w.dial(), time.Now()
	c.request(1, "registro", 1000, 1, "x")
	receive(t, w.origin.calls, "call")
	receive(t, w.origin.stops, "STOP")
	if a := receive(t, c.answers, "answer"); a.status != "502" || time.Since(start) < 500*time.Millisecond {
		t.Errorf("%+v after %v", a, time.Since(start))
	}
}

// An answer that is none fails its attempt and drops the connection; the request moves on.
func TestMalformedAnswerDropsTheConnection(t *testing.T) {
	for _, bad := range []string{"hello\r\n", "*4\r\n$99999999\r\n", "still_good"} {
		t.Run(bad, func(t *testing.T) {
			w := startTestEnv(t)
			c := w.dial()
			c.request(1, "artes", longTimeoutMS, 1, "")
			got := receive(t, w.cache.calls, "call")
			if bad == "still_good" { // there is no copy that could be good
				got.answer(bad, "-", "")
			} else {
				mustWrite(t, got.conn, bad)
			}
			w.origin.answerAll("served", "-", "again")
			w.cache.answerAll("served", "-", "again")
			if a := receive(t, c.answers, "answer"); a.body != "again" {
				t.Errorf("%+v", a)
			}
		})
	}
}

// One spoilt answer costs one request: writes that are open at the same server have connections of their own.
func TestSpoiltAnswerCostsOneRequest(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	var calls []*receivedCall
	for id := range uint16(10) {
		c.request(id+1, "registro", longTimeoutMS, int(id), "x")
		calls = append(calls, receive(t, w.origin.calls, "call"))
	}
	mustWrite(t, calls[0].conn, "noise\r\n")
	if a := receive(t, c.answers, "answer"); a.id != 1 || a.status != "502" {
		t.Errorf("spoilt: %+v", a)
	}
	for i, got := range calls[1:] {
		got.answer("served", "-", "fine")
		if a := receive(t, c.answers, "answer"); int(a.id) != i+2 || a.body != "fine" {
			t.Errorf("request %d: %+v", i+2, a)
		}
	}
}

// Servers may close connections that were idle for a while without a word, and the next call finds out. After a
// few of those such connections are left alone, above all by writes, which can't be sent again.
func TestIdleConnectionsThatDieAreNotUsed(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	c, used, id := w.dial(), map[net.Conn]bool{}, uint16(0)
	go func() {
		for got := range w.origin.calls {
			if used[got.conn] {
				closeOnce(t, got.conn)
				continue
			}
			used[got.conn] = true
			got.answer("served", "-", "fine")
		}
	}()
	in := 0
	w.eventually("five writes in a row that were answered", func() bool {
		time.Sleep(100 * time.Millisecond)
		id++
		c.request(id, "registro", longTimeoutMS, 1, "x")
		if receive(t, c.answers, "answer").body == "fine" {
			in++
		} else {
			in = 0
		}
		return in == 5
	})
}

// A connection on which calls are out and nothing comes may be dead: new calls go to a new one.
func TestQuietConnectionTakesNoNewCalls(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	c := w.dial()
	c.request(1, "registro", longTimeoutMS, 1, "x")
	silent, id := receive(t, w.origin.calls, "call").conn, uint16(1)
	w.eventually("a call on another connection", func() bool {
		id++
		c.request(id, "registro", longTimeoutMS, 1, "x")
		got := receive(t, w.origin.calls, "call")
		got.words[0] = "answered"
		if got.conn != silent {
			return true
		}
		c.writeRecord(2, id, "")
		time.Sleep(100 * time.Millisecond)
		return false
	})
}

// A client's copy is called current only when the server has named that very copy. An answer that names another is
// one attempt's fault: its connection goes on.
func TestOnlyTheClientsOwnCopyIsCurrent(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	for i, fields := range []string{"etag=4be0c1927d55a6f4,made=1,note=TCP_HIT", "made=1,note=TCP_HIT", "-"} {
		c.request(1, "artes", longTimeoutMS, i, "", "HTTP_X_VER", "4be0c1927d55a6f3")
		first := receive(t, w.cache.calls, "call")
		first.answer("still_good", fields, "")
		var again *receivedCall
		select {
		case again = <-w.cache.calls:
		case again = <-w.origin.calls:
		case <-time.After(testTimeout):
			t.Fatalf("%s: not asked again", fields)
		}
		again.answer("served", "etag=4be0c1927d55a6f5,made=1", "whole")
		if a := receive(t, c.answers, "answer"); a.body != "whole" || strings.Contains(a.headers, "X-Unchanged") {
			t.Errorf("%s: %+v", fields, a)
		}
	}
}

// An answer that stopped short stays on its connection: the next call there would be taken for the rest of it.
func TestConnectionWithHalfAnAnswerIsNotUsedAgain(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	c.request(1, "registro", longTimeoutMS, 1, "x")
	first := receive(t, w.origin.calls, "call")
	thaw := w.pause()
	mustWrite(t, first.conn, fmt.Sprintf("*4\r\n$16\r\n%s\r\n$6\r\nserved\r\n$1\r\n-\r\n$900\r\nhalf", first.words[1]))
	c.writeRecord(2, 1, "")
	thaw()
	receive(t, c.answers, "END_REQUEST")
	c.request(2, "registro", longTimeoutMS, 2, "x")
	second := receive(t, w.origin.calls, "call")
	if second.conn == first.conn {
		t.Error("the connection with half an answer is used again")
	}
	second.answer("served", "-", "fine")
	if a := receive(t, c.answers, "answer"); a.id != 2 || a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// Second, late and wrongly named answers harm nobody: neither the request that they are for, nor the next one on their
// connection.
func TestSecondAndStrayAnswersAreIgnored(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	stray := &receivedCall{words: []string{"", "ffffffffffffffff"}}
	for i := range 5 {
		c.request(1, "artes", longTimeoutMS, i, "")
		got := receive(t, w.cache.calls, "call")
		out := &bufferedConn{Conn: got.conn}
		stray.conn = out
		stray.answer("served", "-", "stray")
		first := &receivedCall{conn: out, words: got.words}
		first.answer("served", "-", "first")
		first.answer("served", "-", "second")
		first.answer("crashed", "-", "")
		out.flush()
		if a := receive(t, c.answers, "answer"); a.body != "first" {
			t.Errorf("%+v", a)
		}
		first.conn = got.conn
		first.answer("served", "-", "late") // may cross the next call
	}
	if len(w.cache.calls)+len(w.origin.calls)+len(c.answers) != 0 {
		t.Error("something was sent or answered again")
	}
}

// Where no second copy may be out, a call that is given up so that another may follow is given up by the end of its
// connection: a server that hangs reads no STOP.
func TestGivenUpBeforeASecondCopy(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	w.reload(`"second-copies":true`, `"second-copies":false`)
	w.eventually("taken over", func() bool { return w.metric("svc_cfg_accepted") == 1 })
	c := w.dial()
	var silent, next *receivedCall
	w.eventually("a call that is asked again", func() bool { // soon after an answer its server is not quiet yet
		c.request(1, "artes", longTimeoutMS, 1, "")
		receive(t, w.cache.calls, "call").answer("served", "made=1,note=TCP_HIT", "warm")
		receive(t, c.answers, "answer")
		c.request(2, "artes", longTimeoutMS, 2, "")
		silent = receive(t, w.cache.calls, "call")
		select {
		case next = <-w.cache.calls:
		case next = <-w.origin.calls:
		case <-time.After(testTimeout):
			t.Fatal("not asked again")
		}
		return next.words[1] == silent.words[1]
	})
	w.eventually("the first connection has ended", func() bool {
		_, err := silent.conn.Write([]byte("*4\r\n$16\r\nffffffffffffffff\r\n$6\r\nnobody\r\n$1\r\n-\r\n$0\r\n\r\n"))
		return err != nil
	})
	next.answer("served", "made=1", "again")
	if a := receive(t, c.answers, "answer"); a.id != 2 || a.body != "again" {
		t.Errorf("%+v", a)
	}
}

// A client's idempotency key passes on unchanged, with every attempt: caches know a repeat by it.
func TestIdempotencyKeyIsPassedOn(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "", "HTTP_REQ_TOKEN", "a-Key_7.x")
	first := receive(t, w.cache.calls, "call")
	if first.fields["i"] != "a-Key_7.x" {
		t.Errorf("%q", first.words)
	}
	first.answer("overload", "-", "")
	select {
	case again := <-w.cache.calls:
		first = again
	case again := <-w.origin.calls:
		first = again
	case <-time.After(testTimeout):
		t.Fatal("not asked again")
	}
	if first.answer("served", "made=1", "fine"); first.fields["i"] != "a-Key_7.x" {
		t.Errorf("%q", first.words)
	}
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	for _, bad := range []string{"a,b", "a=b", "a b", strings.Repeat("x", 65)} {
		c.request(2, "artes", longTimeoutMS, 2, "", "HTTP_REQ_TOKEN", bad)
		if a := receive(t, c.answers, "answer"); a.status != "400" {
			t.Errorf("%q: %+v", bad, a)
		}
	}
}
