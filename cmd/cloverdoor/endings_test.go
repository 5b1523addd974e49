package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
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

// An answer that stopped short stays on its connection: the next call there would be taken for the rest of it.
func TestConnectionWithHalfAnAnswerIsNotUsedAgain(t *testing.T) {
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "registro", longWait, 1, "x")
	first := receive(t, w.origin.calls, "call")
	thaw := w.freeze()
	fmt.Fprintf(first.conn, "*4\r\n$16\r\n%s\r\n$6\r\nserved\r\n$1\r\n-\r\n$900\r\nhalf", first.words[1])
	c.record(2, 1, "")
	thaw()
	receive(t, c.answers, "END_REQUEST")
	c.ask(2, "registro", longWait, 2, "x")
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
	w := newWorld(t)
	c := w.dial()
	stray := &call{words: []string{"", "ffffffffffffffff"}}
	for i := range 5 {
		c.ask(1, "artes", longWait, i, "")
		got := receive(t, w.cache.calls, "call")
		out := &batch{Conn: got.conn}
		stray.conn = out
		stray.answer("served", "-", "stray")
		first := &call{conn: out, words: got.words}
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

// A drain counts though the line that told it was cut in half as the stream died: it is told again, whole.
func TestDrainInHalfALine(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	second := newServer(t)
	second.serve("served", "-", "second")
	w.tell(list(2, false, member("c2", "std", "edge", "SERVING", second)))
	drain := `{"index":3,"endpoints":{"version":3,"full":false,"servers":[{"id":"c1","addr":"` + w.cache.Addr().String() +
		`","zone":"edge","kind":"std","state":"DRAINING","weight":10000}]}}`
	w.mu.Lock()
	fmt.Fprint(w.feed, drain[:len(drain)/2])
	w.feed.Close()
	w.mu.Unlock()
	if got := receive(t, w.follows, "follow"); got != "follow 2" {
		t.Errorf("%q", got)
	}
	w.tell(drain)
	w.heeds()
	w.servedOnlyBy("second")
}

// heeds waits until all that was told has been taken.
func (w *world) heeds() {
	w.t.Helper()
	w.tell("nonsense") // is answered by following anew
	receive(w.t, w.follows, "follow")
}

// servedOnlyBy checks that reads of all kinds of objects are answered with one body.
func (w *world) servedOnlyBy(body string) {
	w.t.Helper()
	c := w.dial()
	for i := range 30 {
		c.ask(1, "artes", longWait, i, "")
		if a := receive(w.t, c.answers, "answer"); a.body != body {
			w.t.Errorf("object %d: %+v", i, a)
		}
	}
	if len(w.cache.calls) > 0 {
		w.t.Errorf("%q was sent to a cache that drains", (<-w.cache.calls).words)
	}
}

// A stream that goes on and on without ending a line is as good as silent.
func TestEndlessLineIsGivenUp(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	receive(t, w.follows, "follow")
	w.mu.Lock()
	feed := w.feed
	w.mu.Unlock()
	go func() {
		for _, err := fmt.Fprint(feed, `{"index":2,`); err == nil; _, err = fmt.Fprint(feed, " ") {
			time.Sleep(50 * time.Millisecond)
		}
	}()
	if got := receive(t, w.follows, "follow anew"); got != "follow 1" {
		t.Errorf("%q", got)
	}
}

// An entry that can't be read may have told of a drain: its server gets nothing new.
func TestUnreadableEntryCountsAsGone(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	second := newServer(t)
	second.serve("served", "-", "second")
	broken := member("c1", "std", "edge", "DRAINING", w.cache)
	broken["addr"] = "nowhere"
	w.tell(list(2, false, broken, member("c2", "std", "edge", "SERVING", second)))
	w.heeds()
	w.servedOnlyBy("second")
}

// A whole list that leaves a server out says that it is gone, just after a reload too.
func TestWholeListAfterAReload(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	second := newServer(t)
	second.serve("served", "-", "second")
	old := w.feed
	w.reload(old.LocalAddr().String(), w.coordinator())
	receive(t, w.follows, "follow")
	w.tell(list(2, true, member("c2", "std", "edge", "SERVING", second), member("o1", "origin", "hub", "SERVING", w.origin)))
	w.heeds()
	w.servedOnlyBy("second")
}

// A restarted process serves at once by the list in its configuration, though discovery is down.
func TestReadyWithDiscoveryDown(t *testing.T) {
	w := prepare(t)
	w.cache.serve("served", "-", "fine")
	w.down = true
	w.start(list(1, true, member("c1", "std", "edge", "SERVING", w.cache), member("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	w.resume()
	if got := receive(t, w.follows, "follow"); got != "follow 1" {
		t.Errorf("%q", got)
	}
}

func (w *world) signal(signals ...os.Signal) {
	w.t.Helper()
	for _, s := range signals {
		if err := w.cmd.Process.Signal(s); err != nil {
			w.t.Fatal(err)
		}
	}
}

// noMoreTaken waits until the program has stopped listening: clients are sent away from then on.
func (w *world) noMoreTaken() {
	w.t.Helper()
	w.eventually("no more connections taken", func() bool {
		conn, err := net.Dial("tcp", w.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

// A request of which a few bytes have come when the program stops is waited for, and answered.
func TestHalfARequestWhileStopping(t *testing.T) {
	for _, part := range []int{3, 16, 60} { // of a header, just BEGIN_REQUEST, and in the parameters
		w := newWorld(t)
		w.cache.serve("served", "-", "fine")
		c := w.dial()
		c.ask(1, "artes", longWait, 1, "")
		receive(t, c.answers, "answer")
		out := &batch{Conn: c.Conn}
		(&client{Conn: out}).ask(2, "artes", longWait, 2, "")
		rest := out.out[part:]
		out.out = out.out[:part]
		out.flush()
		w.signal(syscall.SIGTERM)
		w.awaitAlive("503")
		w.noMoreTaken()
		c.Write(rest) //nolint:errcheck // shows in the answers
		if a := receive(t, c.answers, "answer"); a.id != 2 || a.body != "fine" && a.status != "503" {
			t.Errorf("%d bytes before the stop: %+v", part, a)
		}
		if err := receive(t, w.exit, "exit"); err != nil {
			t.Error(err)
		}
	}
}

// What waits to be accepted when the program stops listening is still taken.
func TestWaitingConnectionWhileStopping(t *testing.T) {
	w := newWorld(t)
	w.cache.serve("served", "-", "fine")
	w.signal(syscall.SIGTERM)
	w.awaitAlive("503")
	thaw := w.freeze()
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	time.Sleep(time.Second) // not a race: by the time it goes on, it listens no longer
	thaw()
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// A client that reads slowly gets all that it is owed when the program stops.
func TestSlowReaderWhileStopping(t *testing.T) {
	w := newWorld(t)
	conn, out := unreading(w)
	out.answer("served", "-", "last")
	w.signal(syscall.SIGTERM)
	w.awaitAlive("503")
	w.noMoreTaken()
	c := newClient(conn)
	for range 32 {
		if a := receive(t, c.answers, "answer"); a.status != "200" || a.id != 99 && len(a.body) != 240_000 {
			t.Errorf("%d: %s, %d bytes", a.id, a.status, len(a.body))
		}
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

// New settings and the order to stop, both at once: what is open is answered, and the program ends in good order.
func TestReloadThenStop(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	open := receive(t, w.cache.calls, "call")
	thaw := w.freeze()
	w.reload(`"max-attempts":8`, `"max-attempts":7`)
	w.signal(syscall.SIGTERM)
	c.ask(2, "artes", longWait, 2, "")
	thaw()
	receive(t, w.cache.calls, "call").answer("served", "-", "two")
	open.answer("served", "-", "one")
	for range 2 {
		if a := receive(t, c.answers, "answer"); a.status != "200" {
			t.Errorf("%+v", a)
		}
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

// A request that came while the process did not run is served, though its connection has been idle for long enough to
// be closed; one that comes after the close is not sent on.
func TestRequestsAroundAnIdleClose(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	early, after := w.dial(), w.dial()
	for _, c := range []*client{early, after} {
		c.ask(1, "artes", longWait, 1, "")
		receive(t, w.cache.calls, "call").answer("served", "-", "fine")
		receive(t, c.answers, "answer")
	}
	thaw := w.freeze()
	time.Sleep(5500 * time.Millisecond) // not a race: both have been idle for too long by then
	early.ask(2, "artes", longWait, 2, "")
	thaw()
	receive(t, w.cache.calls, "call").answer("served", "-", "early")
	if a := receive(t, early.answers, "answer"); a.body != "early" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, after.answers, "close"); a.id != 0 {
		t.Errorf("%+v", a)
	}
	after.ask(2, "artes", longWait, 3, "")
	early.ask(3, "artes", longWait, 4, "")
	if got := receive(t, w.cache.calls, "call"); got.fields["k"] != fmt.Sprintf("%016x", 4) {
		t.Errorf("%q was sent on after the close", got.words)
	}
}

// Where the settings allow no advice, a refusal gives none.
func TestNoAdviceWhereNoneIsAllowed(t *testing.T) {
	w := newWorld(t)
	w.reload(`"second-copies":true`, `"retry-after":false,"second-copies":true`)
	w.eventually("taken over", func() bool { return w.figure("svc_cfg_accepted") == 1 })
	w.origin.Close()
	c := w.dial()
	c.ask(1, "registro", longWait, 1, "x")
	if a := receive(t, c.answers, "answer"); a.status != "503" || strings.Contains(a.headers, "Srv-Wait-Ms") {
		t.Errorf("%+v", a)
	}
}

// A request that was read so late that its client's time is over is refused at once, and sent nowhere.
func TestRequestReadTooLateIsRefused(t *testing.T) {
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "fine")
	receive(t, c.answers, "answer")
	thaw := w.freeze()
	c.ask(2, "artes", 500, 2, "")
	c.ask(3, "artes", longWait, 3, "")
	time.Sleep(600 * time.Millisecond) // not a race: it is by this that the first one's time is over
	thaw()
	if a := receive(t, c.answers, "refusal"); a.id != 2 || a.status != "503" {
		t.Errorf("%+v", a)
	}
	if got := receive(t, w.cache.calls, "call"); got.fields["k"] != fmt.Sprintf("%016x", 3) {
		t.Errorf("%q was sent though its time was over", got.words)
	}
}

// A client that reads slowly and has ended its own side gets all answers that were given before, and one final answer
// to what was still open.
func TestHalfClosedSlowReader(t *testing.T) {
	w := newWorld(t)
	conn, _ := unreading(w)
	c := &client{conn, make(chan answer, 1000)}
	c.closeWrite()
	receive(t, w.cache.stops, "STOP")
	go c.read()
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
	w := newWorld(t)
	conn, _ := unreading(w)
	c := &client{conn, make(chan answer, 1000)}
	c.record(1, 100, "\x00\x01\x00\x00\x00\x00\x00\x00") // without KEEP_CONN
	c.record(4, 100, "\x0b\x06SCRIPT_NAME/alive")
	c.record(4, 100, "")
	c.record(5, 100, "")
	c.record(2, 99, "")
	receive(t, w.cache.stops, "STOP") // nothing is open any more: the program closes
	c.closeWrite()
	w.awaitAlive("200") // by now it has seen that
	go c.read()
	for range 31 {
		if a := receive(t, c.answers, "answer"); a.status != "200" || len(a.body) != 240_000 {
			t.Fatalf("%d %s %d bytes", a.id, a.status, len(a.body))
		}
	}
}

// A start configuration that is well formed but can't be served by ends the program with one line, not in a panic.
func TestUnservableConfiguration(t *testing.T) {
	for _, change := range [][]string{
		{`"zone":1`, `"zone":-1`}, {`"zone":1`, `"zone":7`}, {`"streams-per-conn":32`, `"streams-per-conn":-32`},
		{`"may-cancel"`, `"max-open":-1,"may-cancel"`}, {`"group-size":1`, `"group-size":-300`},
	} {
		w := prepare(t)
		w.start(list(1, true, member("c1", "std", "edge", "SERVING", w.cache)))
		w.cmd.Process.Kill() //nolint:errcheck // only its configuration is of use
		text := strings.Replace(w.text, change[0], change[1], 1)
		if err := os.WriteFile(w.config, []byte(text), 0o600); err != nil || text == w.text {
			t.Fatal(change, err)
		}
		cmd := exec.Command(w.cmd.Path)
		cmd.Env = w.cmd.Env
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "settings: ") {
			t.Errorf("%s: %v %q", change[1], err, out)
		}
	}
}

// A client that writes slowly is waited for as long as it goes on, and served.
func TestSlowWriterIsServed(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.cache.serve("served", "-", "fine")
	c := w.dial()
	out := &batch{Conn: c.Conn}
	(&client{Conn: out}).ask(1, "artes", longWait, 1, "")
	for begin := time.Now(); len(out.out) > 0; time.Sleep(50 * time.Millisecond) { // its pace is what is tested
		n := 1
		if time.Since(begin) > 3*time.Second {
			n = len(out.out)
		}
		c.Write(out.out[:n]) //nolint:errcheck // shows in the answers
		out.out = out.out[n:]
	}
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// Where no second copy may be out, a call that is given up so that another may follow is given up by the end of its
// connection: a server that hangs reads no STOP.
func TestGivenUpBeforeASecondCopy(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.reload(`"second-copies":true`, `"second-copies":false`)
	w.eventually("taken over", func() bool { return w.figure("svc_cfg_accepted") == 1 })
	c := w.dial()
	var silent, next *call
	w.eventually("a call that is asked again", func() bool { // soon after an answer its server is not quiet yet
		c.ask(1, "artes", longWait, 1, "")
		receive(t, w.cache.calls, "call").answer("served", "made=1,note=TCP_HIT", "warm")
		receive(t, c.answers, "answer")
		c.ask(2, "artes", longWait, 2, "")
		silent = receive(t, w.cache.calls, "call")
		select {
		case next = <-w.cache.calls:
		case next = <-w.origin.calls:
		case <-time.After(patience):
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
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "", "HTTP_REQ_TOKEN", "a-Key_7.x")
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
	case <-time.After(patience):
		t.Fatal("not asked again")
	}
	if first.answer("served", "made=1", "fine"); first.fields["i"] != "a-Key_7.x" {
		t.Errorf("%q", first.words)
	}
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	for _, bad := range []string{"a,b", "a=b", "a b", strings.Repeat("x", 65)} {
		c.ask(2, "artes", longWait, 2, "", "HTTP_REQ_TOKEN", bad)
		if a := receive(t, c.answers, "answer"); a.status != "400" {
			t.Errorf("%q: %+v", bad, a)
		}
	}
}
