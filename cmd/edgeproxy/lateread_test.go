package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

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
