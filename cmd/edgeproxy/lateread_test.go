package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// TestRequestReadAfterItsDeadline checks that a request that is read after its deadline is rejected at once and not
// forwarded.
func TestRequestReadAfterItsDeadline(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, env.cache.calls, "call").answer("served", "-", "fine")
	receive(t, c.answers, "answer")
	resume := env.pause()
	c.request(2, "artes", 500, 2, "")
	c.request(3, "artes", longTimeoutMS, 3, "")
	time.Sleep(600 * time.Millisecond) // not a race: the deadline of request 2 has passed
	resume()
	a := receive(t, c.answers, "rejection")
	if a.id != 2 || a.status != "503" {
		t.Errorf("got answer %+v, want ID 2 and status 503", a)
	}
	got := receive(t, env.cache.calls, "call")
	if got.fields["k"] != fmt.Sprintf("%016x", 3) {
		t.Errorf("call %q was made for a request after its deadline", got.args)
	}
}

// TestRequestBehindMuchInputReadAfterItsDeadline checks that a request is rejected after its deadline if it follows
// more input than one turn of the event loop reads from a connection.
func TestRequestBehindMuchInputReadAfterItsDeadline(t *testing.T) {
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, c.answers, "answer")
	resume := env.pause()
	written := make(chan error, 1)
	go func() {
		out := &bufferedConn{Conn: c.Conn}
		for range 40 { // 2.4 MB for a request that has not begun: skipped
			(&client{Conn: out}).writeRecord(recordStdin, 9, strings.Repeat("x", 60_000))
		}
		(&client{Conn: out}).request(2, "artes", 500, 2, "")
		_, err := c.Write(out.buffer)
		written <- err
	}()
	if err := receive(t, written, "end of the write"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond) // not a race: the deadline of request 2 has passed
	resume()
	a := receive(t, c.answers, "rejection")
	if a.id != 2 || a.status != "503" {
		t.Errorf("got answer %+v, want ID 2 and status 503", a)
	}
}

// TestRequestInTheAcceptQueuePastItsDeadline checks that a request is rejected after its deadline if its connection
// was not accepted before: the time in the accept queue counts.
func TestRequestInTheAcceptQueuePastItsDeadline(t *testing.T) {
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	resume := env.pause()
	lateClient := env.dial()
	inTimeClient := env.dial()
	lateClient.request(2, "artes", 500, 2, "")
	inTimeClient.request(3, "artes", longTimeoutMS, 3, "")
	time.Sleep(600 * time.Millisecond) // not a race: the deadline of request 2 has passed
	lateClient.request(4, "artes", longTimeoutMS, 4, "")
	resume()
	a := receive(t, lateClient.answers, "rejection")
	if a.id != 2 || a.status != "503" {
		t.Errorf("got answer %+v, want ID 2 and status 503", a)
	}
	a = receive(t, lateClient.answers, "answer")
	if a.id != 4 || a.body != "fine" {
		t.Errorf(`got answer %+v, want ID 4 and body "fine"`, a)
	}
	a = receive(t, inTimeClient.answers, "answer")
	if a.id != 3 || a.body != "fine" {
		t.Errorf(`got answer %+v, want ID 3 and body "fine"`, a)
	}
}

// TestRequestsAroundAnIdleClose checks that a request that arrived while the process was paused is served although its
// connection was idle for too long before, and that a request that arrives after the close of an idle connection is
// not forwarded.
func TestRequestsAroundAnIdleClose(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	beforeClose := env.dial()
	afterClose := env.dial()
	for _, c := range []*client{beforeClose, afterClose} {
		c.request(1, "artes", longTimeoutMS, 1, "")
		receive(t, env.cache.calls, "call").answer("served", "-", "fine")
		receive(t, c.answers, "answer")
	}
	resume := env.pause()
	time.Sleep(5500 * time.Millisecond) // not a race: both connections have been idle for too long
	beforeClose.request(2, "artes", longTimeoutMS, 2, "")
	resume()
	receive(t, env.cache.calls, "call").answer("served", "-", "early")
	a := receive(t, beforeClose.answers, "answer")
	if a.body != "early" {
		t.Errorf(`got answer %+v, want body "early"`, a)
	}
	a = receive(t, afterClose.answers, "close")
	if a.id != 0 {
		t.Errorf("got answer %+v, want the close of the connection", a)
	}
	afterClose.request(2, "artes", longTimeoutMS, 3, "")
	beforeClose.request(3, "artes", longTimeoutMS, 4, "")
	got := receive(t, env.cache.calls, "call")
	if got.fields["k"] != fmt.Sprintf("%016x", 4) {
		t.Errorf("call %q was made for a request after the close of its connection", got.args)
	}
}

// TestNothingIsSentForAClientThatHasLeft guards against requests that are sent on after their client has closed its
// connection, because the end waits behind input that has not been read (reported from other deployments). The large
// input is more than the sockets' buffers hold on the program's side, so that the end is not there either.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	const bodyBytes, sinceLeft = 40_000, 300 * time.Millisecond
	for name, habit := range map[string]struct{ requests, ids int }{
		"a little input":                {3, 30},
		"much input":                    {100, 100},
		"much input, and a broken rule": {100, 30}, // ids of open requests are used again
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startTestEnv(t)
			conn, err := net.Dial("tcp", env.addr)
			if err != nil {
				t.Fatal(err)
			}
			c := &client{Conn: conn}
			c.request(1, "artes", longTimeoutMS, 1, "")
			receive(t, env.cache.calls, "call").answer("served", "-", "fine")
			if _, err := conn.Read(make([]byte, 1000)); err != nil {
				t.Fatal(err)
			}
			resume := env.pause()
			out := &bufferedConn{Conn: conn}
			for n := range habit.requests {
				(&client{Conn: out}).request(uint16(n%habit.ids+1), "registro", longTimeoutMS, n, strings.Repeat("x", bodyBytes))
			}
			conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) //nolint:errcheck // a connection supports it
			written, _ := conn.Write(out.buffer)
			closeOnce(t, conn)
			time.Sleep(sinceLeft) // not a race: more time than may pass between a client's end and the start of a call
			resume()
			select {
			case call := <-env.origin.calls:
				t.Errorf("%d bytes written: call %q was sent for a client that had left", written, call.args[:3])
			case <-time.After(500 * time.Millisecond):
			}
		})
	}
}
