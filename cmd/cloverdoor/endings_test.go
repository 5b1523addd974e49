package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// These tests force the crossings that docs/endings.md lists: each puts the program into the very moment in which
// something ends while something is still owed.

// freeze stops the program's process until thaw is called: what is sent meanwhile arrives in one piece.
func (w *world) freeze() (thaw func()) {
	w.t.Helper()
	if err := w.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		w.t.Fatal(err)
	}
	w.eventually("every thread has stopped", func() bool {
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", w.cmd.Process.Pid))
		for _, task := range tasks {
			status, err := os.ReadFile(task)
			if err == nil && !strings.Contains(string(status), "State:\tT") {
				return false
			}
		}
		return err == nil
	})
	return func() {
		w.t.Helper()
		if err := w.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			w.t.Fatal(err)
		}
	}
}

func (c *client) closeWrite() { c.Conn.(*net.TCPConn).CloseWrite() } //nolint:errcheck // shows in the answers

// longer is more than the operators allow between a client's end and an attempt for it.
const longer = 150 * time.Millisecond

// What a client sent in one piece with its end is not begun when it is read long after: it has left by then.
func TestNothingBeginsForAClientThatHasLeft(t *testing.T) {
	for _, how := range []string{"half-close", "close", "abort"} {
		t.Run(how, func(t *testing.T) {
			w := newWorld(t)
			c := w.dial()
			c.ask(1, "artes", longWait, 1, "")
			receive(t, w.cache.calls, "call").answer("served", "-", "one")
			receive(t, c.answers, "answer")
			thaw := w.freeze()
			c.ask(2, "artes", longWait, 2, "")
			c.ask(3, "registro", longWait, 3, strings.Repeat("x", 40_000))
			switch how {
			case "half-close":
				c.closeWrite()
			case "close":
				c.Close()
			case "abort":
				c.record(2, 2, "")
				c.record(2, 3, "")
			}
			time.Sleep(longer) // not a race: it is by this that the client left before
			thaw()
			if how == "half-close" { // it is told that nothing was done
				for range 2 {
					if a := receive(t, c.answers, "refusal"); a.status != "503" {
						t.Errorf("%+v", a)
					}
				}
			}
			other := w.dial()
			other.ask(1, "artes", longWait, 77, "")
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
	w := newWorld(t)
	w.cache.serve("served", "-", "one")
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	c.closeWrite()
	if a := receive(t, c.answers, "answer"); a.id != 1 || a.status != "200" && a.status != "503" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, c.answers, "close"); a.id != 0 {
		t.Errorf("%+v", a)
	}
}

// unreading returns a client that has left over 1 MB of answers unread, and of which one request, number 99, is out at
// the cache.
func unreading(w *world) (stuck net.Conn, out *call) {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	c := &client{Conn: conn}
	c.ask(99, "artes", longWait, 99, "")
	out = receive(w.t, w.cache.calls, "call")
	for id := range uint16(31) { // 7.4 MB: over what the system takes for both ends
		c.ask(id+1, "artes", longWait, int(id), "")
	}
	for range 31 {
		receive(w.t, w.cache.calls, "call").answer("served", "-", strings.Repeat("x", 240_000))
	}
	w.eventually("all others are answered", func() bool { return w.figure("svc_open_requests") == 1 })
	return conn, out
}

// A client that leaves its answers unread is heard all the same, when it leaves and when it takes a request back:
// else a retry for it might begin at any time.
func TestUnreadingClientIsHeard(t *testing.T) {
	for _, how := range []string{"half-close", "abort"} {
		t.Run(how, func(t *testing.T) {
			w := newWorld(t)
			conn, out := unreading(w)
			c := &client{Conn: conn}
			c.ask(100, "artes", longWait, 100, "") // waits, as its client reads nothing
			if how == "abort" {
				c.record(2, 99, "")
				c.record(2, 100, "")
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
	w := newWorld(t)
	conn, out := unreading(w)
	c := &client{conn, make(chan answer, 1000)}
	c.ask(100, "artes", longWait, 100, "")
	out.answer("served", "-", "out")
	go c.read()
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

// A client's copy is called current only when the server has named that very copy. An answer that names another is
// one attempt's fault: its connection goes on.
func TestOnlyTheClientsOwnCopyIsCurrent(t *testing.T) {
	w := newWorld(t)
	c := w.dial()
	for i, fields := range []string{"etag=4be0c1927d55a6f4,made=1,note=TCP_HIT", "made=1,note=TCP_HIT", "-"} {
		c.ask(1, "artes", longWait, i, "", "HTTP_X_VER", "4be0c1927d55a6f3")
		first := receive(t, w.cache.calls, "call")
		first.answer("still_good", fields, "")
		var again *call
		select {
		case again = <-w.cache.calls:
		case again = <-w.origin.calls:
		case <-time.After(patience):
			t.Fatalf("%s: not asked again", fields)
		}
		again.answer("served", "etag=4be0c1927d55a6f5,made=1", "whole")
		if a := receive(t, c.answers, "answer"); a.body != "whole" || strings.Contains(a.headers, "X-Unchanged") {
			t.Errorf("%s: %+v", fields, a)
		}
	}
}

// Clients that ask once and stay, with discovery down, keep out neither those that come after them nor the
// coordinator when it is back.
func TestCrowdKeepsNobodyOut(t *testing.T) {
	w := newWorld(t)
	w.cache.serve("served", "-", "fine")
	receive(t, w.follows, "follow")
	w.silence()
	for i := range 700 { // two fifths of the descriptors are 409
		c := w.dial()
		c.ask(1, "artes", longWait, i, "")
		if a := receive(t, c.answers, "answer"); a.body != "fine" {
			t.Fatalf("client %d: %+v", i, a)
		}
	}
	w.awaitAlive("200")
	w.resume()
	if got := receive(t, w.follows, "follow"); got != "follow 1" {
		t.Errorf("%q", got)
	}
}
