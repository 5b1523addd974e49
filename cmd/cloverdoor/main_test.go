package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const longWait = 60_000

func TestReadIsServedThroughTheCache(t *testing.T) {
	w, big := newWorld(t), strings.Repeat("0123456789", 24_000)
	c := w.dial()
	c.ask(7, "artes", longWait, 0xabc, "", "HTTP_REQ_ID", "9b1f03aa5c7e2d41", "HTTP_X_VER", "4be0c1927d55a6f3")
	got := receive(t, w.cache.calls, "call")
	for name, want := range map[string]string{"c": "artes", "k": "0000000000000abc", "p": "3", "src": "o1", "have": "4be0c1927d55a6f3"} {
		if got.fields[name] != want {
			t.Errorf("field %s is %q, want %q", name, got.fields[name], want)
		}
	}
	if n, err := strconv.Atoi(got.fields["w"]); err != nil || n <= 0 || n > longWait || got.words[1] != "9b1f03aa5c7e2d41" {
		t.Errorf("%q", got.words)
	}
	got.answer("served", "etag=4be0c1927d55a6f4,made=1,note=TCP_MISS,ttfb=3", big)
	if a := receive(t, c.answers, "answer"); a.id != 7 || a.status != "200" || a.body != big {
		t.Errorf("%d %s %d bytes", a.id, a.status, len(a.body))
	}

	c.ask(7, "artes", longWait, 0xabc, "", "HTTP_X_VER", "4be0c1927d55a6f4")
	receive(t, w.cache.calls, "call").answer("still_good", "etag=4be0c1927d55a6f4,made=1,note=TCP_HIT", "")
	if a := receive(t, c.answers, "answer"); a.status != "200" || a.body != "" || !strings.Contains(a.headers, "X-Unchanged: 1") {
		t.Errorf("%+v", a)
	}
}

func TestAnswersComeInAnyOrder(t *testing.T) {
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	first := receive(t, w.cache.calls, "call")
	c.ask(2, "artes", longWait, 2, "")
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
	w := newWorld(t)
	c, write := w.dial(), strings.Repeat("w", 48_000)
	c.ask(1, "registro", longWait, 1, write)
	got := receive(t, w.origin.calls, "call")
	if got.words[3] != write {
		t.Errorf("body of %d bytes", len(got.words[3]))
	}
	got.conn.Close()
	if a := receive(t, c.answers, "answer"); a.status != "502" {
		t.Errorf("after a reset: %+v", a)
	}
	w.origin.Close() // connections are refused from now on
	c.ask(2, "registro", longWait, 1, write)
	if a := receive(t, c.answers, "answer"); a.status != "503" || !strings.Contains(a.headers, "Srv-Wait-Ms: ") {
		t.Errorf("after a refused connect: %+v", a)
	}
	if len(w.origin.calls) != 0 {
		t.Error("it was sent again")
	}
}

// A silent cache costs the request its time, not its answer; the call is given up.
func TestAnswerBeforeTheDeadline(t *testing.T) {
	w := newWorld(t)
	c, start := w.dial(), time.Now()
	c.ask(1, "registro", 1000, 1, "x")
	receive(t, w.origin.calls, "call")
	receive(t, w.origin.stops, "STOP")
	if a := receive(t, c.answers, "answer"); a.status != "502" || time.Since(start) < 500*time.Millisecond {
		t.Errorf("%+v after %v", a, time.Since(start))
	}
}

func TestAbortStopsTheCall(t *testing.T) {
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	got := receive(t, w.cache.calls, "call")
	c.record(2, 1, "")
	if stop := receive(t, w.cache.stops, "STOP"); stop.words[1] != got.words[1] {
		t.Errorf("%q", stop.words)
	}
	if a := receive(t, c.answers, "END_REQUEST"); a.id != 1 || a.status != "" {
		t.Errorf("%+v", a)
	}
	got.answer("served", "-", "too late")
	c.ask(1, "artes", longWait, 2, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "new")
	if a := receive(t, c.answers, "answer"); a.body != "new" {
		t.Errorf("%+v", a)
	}
	c.ask(2, "artes", longWait, 3, "")
	receive(t, w.cache.calls, "call")
	c.Close() // leaves everything
	receive(t, w.cache.stops, "STOP")
}

// Requests that are taken back in the turn they came in are not counted as under way at a cache for good: were
// they, its link would look full, and those that come later would be refused.
func TestTakenBackAtOnceIsForgotten(t *testing.T) {
	w := prepare(t)
	small := member("c1", "std", "edge", "SERVING", w.cache)
	small["weight"] = 1
	w.start(list(1, true, small, member("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	c := w.dial()
	together := &batch{Conn: c.Conn}
	for id := range uint16(30) {
		r := &client{Conn: together}
		r.ask(id+1, "artes", longWait, int(id), "")
		r.record(2, id+1, "")
	}
	together.flush()
	for range 30 {
		receive(t, c.answers, "END_REQUEST")
	}
	w.cache.serve("served", "-", "fine")
	c.ask(1, "artes", longWait, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// An answer that is none fails its attempt and drops the connection; the request moves on.
func TestMalformedAnswerDropsTheConnection(t *testing.T) {
	for _, bad := range []string{"hello\r\n", "*4\r\n$99999999\r\n", "still_good"} {
		t.Run(bad, func(t *testing.T) {
			w := newWorld(t)
			c := w.dial()
			c.ask(1, "artes", longWait, 1, "")
			got := receive(t, w.cache.calls, "call")
			if bad == "still_good" { // there is no copy that could be good
				got.answer(bad, "-", "")
			} else {
				fmt.Fprint(got.conn, bad)
			}
			w.origin.serve("served", "-", "again")
			w.cache.serve("served", "-", "again")
			if a := receive(t, c.answers, "answer"); a.body != "again" {
				t.Errorf("%+v", a)
			}
		})
	}
}

// One spoilt answer costs one request: writes that are open at the same server have connections of their own.
func TestSpoiltAnswerCostsOneRequest(t *testing.T) {
	w := newWorld(t)
	c := w.dial()
	var calls []*call
	for id := range uint16(10) {
		c.ask(id+1, "registro", longWait, int(id), "x")
		calls = append(calls, receive(t, w.origin.calls, "call"))
	}
	fmt.Fprint(calls[0].conn, "noise\r\n")
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
	w := newWorld(t)
	c, used, id := w.dial(), map[net.Conn]bool{}, uint16(0)
	go func() {
		for got := range w.origin.calls {
			if used[got.conn] {
				got.conn.Close()
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
		c.ask(id, "registro", longWait, 1, "x")
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
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "registro", longWait, 1, "x")
	silent, id := receive(t, w.origin.calls, "call").conn, uint16(1)
	w.eventually("a call on another connection", func() bool {
		id++
		c.ask(id, "registro", longWait, 1, "x")
		got := receive(t, w.origin.calls, "call")
		got.words[0] = "answered"
		if got.conn != silent {
			return true
		}
		c.record(2, id, "")
		time.Sleep(100 * time.Millisecond)
		return false
	})
}

func TestMalformedClients(t *testing.T) {
	w := newWorld(t)
	w.cache.serve("served", "-", "fine")
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x01\x00\x01\x00\x00\x00\x00", "\x01\x01\x00\x01\x00\x08\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00" +
		"\x01\x04\x00\x01\x00\x03\x00\x00\xff\xff\xff\x01\x04\x00\x01\x00\x00\x00\x00"} {
		c := w.dial()
		fmt.Fprint(c, bytes)
		if a := receive(t, c.answers, "close"); a.id != 0 {
			t.Errorf("%q: %+v", bytes, a)
		}
	}
	c := w.dial()
	for i, extra := range [][]string{{"HTTP_REQ_ID", "a,b=c"}, {"HTTP_REQ_WAIT_MS", "soon"}, {"HTTP_X_PIECE", "-1"},
		{"HTTP_X_LOT", "256"}, {"HTTP_REQ_KEY", ""}, {"SCRIPT_NAME", "/ops/none"}, {"SCRIPT_NAME", "/"}} {
		c.ask(uint16(i+1), "artes", longWait, 1, "", extra...)
		if a := receive(t, c.answers, "answer"); a.status != "400" {
			t.Errorf("%v: %+v", extra, a)
		}
	}
	c.ask(1, "artes", longWait, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// A client that reads nothing neither holds up the others nor costs memory without bound.
func TestClientThatDoesNotRead(t *testing.T) {
	w := newWorld(t)
	w.cache.serve("served", "-", strings.Repeat("x", 240_000))
	stick := func(requests uint16) {
		stuck, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { stuck.Close() })
		for id := range requests {
			(&client{Conn: stuck}).ask(id+1, "artes", longWait, int(id), "")
		}
	}
	stick(30)
	c := w.dial()
	for id := range uint16(20) {
		c.ask(id+1, "artes", longWait, int(id), "")
		if a := receive(t, c.answers, "answer"); a.status != "200" || len(a.body) != 240_000 {
			t.Fatalf("%s, %d bytes", a.status, len(a.body))
		}
	}
	for range 60 { // 460 MB of answers, were they all kept
		stick(32)
	}
	for id := range uint16(200) { // some are refused meanwhile
		c.ask(id+1, "artes", longWait, int(id), "")
		if a := receive(t, c.answers, "answer"); a.id != id+1 {
			t.Fatalf("%+v", a)
		}
	}
	w.checkMemory()
}

// A client that vanished without a word must not keep a descriptor: not when idle, not in mid-request.
func TestVanishedClientsAreClosed(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	idle, half, waiting := w.dial(), w.dial(), w.dial()
	idle.send(1, map[string]string{"SCRIPT_NAME": "/alive"}, "")
	receive(t, idle.answers, "answer")
	half.record(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00")
	waiting.ask(1, "artes", longWait, 1, "")
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

// A log that nobody reads any more is no reason to stop.
func TestLogWithoutReader(t *testing.T) {
	w := prepare(t)
	r, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	defer log.Close()
	w.log = log
	w.start()
	receive(t, w.follows, "follow")
	w.tell("nonsense") // is logged
	receive(t, w.follows, "follow")
	w.awaitAlive("503")
}

func TestDrainedCacheGetsNothingNew(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	second := newServer(t)
	w.cache.serve("served", "-", "first")
	second.serve("served", "-", "second")
	c, id := w.dial(), uint16(0)
	served := func(object int) string {
		id++
		c.ask(id, "artes", longWait, object, "")
		return receive(t, c.answers, "answer").body
	}
	w.tell(list(2, false, member("c1", "std", "edge", "DRAINING", w.cache), member("c2", "std", "edge", "SERVING", second)))
	w.eventually("the list was heeded", func() bool { return served(1) == "second" })
	for object := range 20 {
		if got := served(object); got != "second" {
			t.Errorf("object %d from %q", object, got)
		}
	}
}

// Connections belong to a server, not to its address: the next server there gets connections of its own.
func TestNewServerAtAnOldAddress(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	c, id := w.dial(), uint16(1)
	c.ask(id, "artes", longWait, 1, "")
	old := receive(t, w.cache.calls, "call")
	w.tell(list(2, false, member("c1", "std", "edge", "DELETED", w.cache), member("c9", "std", "edge", "SERVING", w.cache)))
	w.eventually("a call on a new connection", func() bool {
		id++
		c.ask(id, "artes", longWait, 1, "")
		got := receive(t, w.cache.calls, "call")
		got.answer("served", "-", "new")
		receive(t, c.answers, "answer")
		return got.conn != old.conn
	})
	old.answer("served", "-", "old") // what was out may still be answered
	if a := receive(t, c.answers, "answer"); a.id != 1 || a.body != "old" {
		t.Errorf("%+v", a)
	}
}

// After a purge no older copy is asked for, and no fill is joined that may bring one.
func TestPurgeBoundsTheAge(t *testing.T) {
	for _, purge := range []string{`{"index":2,"evict":{"ref":"0000000000000001","unix_ms":%d}}`, `{"index":2,"evict":{"shard":17,"unix_ms":%d}}`} {
		w := newWorld(t)
		receive(t, w.follows, "follow")
		c, id := w.dial(), uint16(0)
		moment := time.Now().Add(-2 * time.Second)
		w.tell(fmt.Sprintf(purge, moment.UnixMilli()))
		w.eventually("an age in a call", func() bool {
			id++
			c.ask(id, "artes", longWait, 1, "")
			got := receive(t, w.cache.calls, "call")
			most := time.Since(moment).Milliseconds()
			got.answer("served", "-", "")
			receive(t, c.answers, "answer")
			age, _ := strconv.ParseInt(got.fields["maxage"], 10, 64)
			if age > most {
				t.Errorf("%q when the purge was %d ms ago", got.words[2], most)
			}
			return age > 0
		})
		c.ask(1000, "artes", longWait, 1, "")
		got := receive(t, w.cache.calls, "call")
		if !strings.Contains(got.fields["flags"], "coalesce") {
			t.Errorf("%q: all that miss after a purge would fill apart", got.words[2])
		}
		got.answer("served", fmt.Sprintf("etag=a,note=TCP_JOIN,made=%d", moment.UnixMilli()-1000), "from before the purge")
		got = receive(t, w.cache.calls, "further call")
		if strings.Contains(got.fields["flags"], "coalesce") {
			t.Errorf("%q: may join the same fill again", got.words[2])
		}
		got.answer("served", fmt.Sprintf("etag=b,note=TCP_MISS,made=%d", moment.UnixMilli()+100), "from after the purge")
		if a := receive(t, c.answers, "answer"); a.id != 1000 || a.status != "200" || a.body != "from after the purge" {
			t.Errorf("%+v", a)
		}
	}
}

// The stream is followed anew from the last event taken: after a bad line, a gap, a number that says events
// are missing, its end, and a silence. Repeats are dropped.
func TestCoordinatorIsFollowedAnew(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	follow := func(what, want string) {
		t.Helper()
		if got := receive(t, w.follows, "follow "+what); got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	follow("at the start", "follow 1")
	w.tell(`{"index":1,"evict":{"shard":1,"unix_ms":1}}`)
	w.tell(`{"index":2,"evict":{"shard":1,"unix_ms":1}}`)
	w.tell("2")
	w.tell("nonsense")
	follow("after a bad line", "follow 2")
	w.tell(`{"index":4,"evict":{"shard":1,"unix_ms":1}}`)
	follow("after a gap", "follow 2")
	w.tell("3")
	follow("after a number too high", "follow 2")
	w.tell(`{"index":3,"evict":{"shard":1,"unix_ms":1}}`)
	w.feed.(*net.TCPConn).CloseWrite()
	follow("after the stream's end", "follow 3")
	follow("after silence", "follow 3")
}

// SIGHUP brings a new coordinator, whose numbers go on. What is open meanwhile is answered.
func TestReloadFollowsTheNewCoordinator(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	w.tell(`{"index":2,"evict":{"shard":1,"unix_ms":1}}`)
	w.tell("nonsense") // is answered by following anew, which shows that event 2 was taken
	receive(t, w.follows, "follow")
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	open := receive(t, w.cache.calls, "call")

	old := w.feed
	w.reload(old.LocalAddr().String(), w.coordinator())
	if got := receive(t, w.follows, "follow"); got != "follow 2" || w.feed.LocalAddr().String() == old.LocalAddr().String() {
		t.Errorf("%q at %v", got, w.feed.LocalAddr())
	}
	open.answer("served", "-", "fine")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// A configuration that is broken anywhere changes nothing, its coordinator included. A whole one brings its classes,
// and what they allow, while requests under way keep theirs.
func TestReloadTakesSettingsWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	open := receive(t, w.cache.calls, "call")
	addr, elsewhere := w.feed.LocalAddr().String(), w.coordinator()
	for i, broken := range [][]string{
		{"", ""}, {"", "{"}, {addr, elsewhere, `"max-attempts":8`, `"max-attempts":0`},
		{addr, elsewhere, `"gain":1,"name":"artes"`, `"name":"artes"`}, {addr, elsewhere, `"settings"`, `"set"`},
		{addr, elsewhere, `"may-cancel":true,`, ""}, {addr, elsewhere, `"name":"artes"`, `"deadline-us":-5,"name":"artes"`},
		{addr, elsewhere, `"pass-on":[false,true]`, `"pass-on":[false]`}, {addr, elsewhere, `"zone":1`, `"zone":0`},
	} {
		w.reload(broken...)
		w.eventually("turned down", func() bool { return w.figure("svc_cfg_invalid") == i+1 })
	}
	c.ask(2, "artes", longWait, 2, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "as before")
	if a := receive(t, c.answers, "answer"); a.body != "as before" || len(w.follows) != 0 {
		t.Errorf("%+v, or another coordinator was followed", a)
	}
	// registro, which must not run twice, moves to where artes was; a new class takes its place.
	const artes, write = `{"gain":1,"name":"artes","promise-us":500000,"semantics":"read_like"}`,
		`{"gain":1,"name":"registro","promise-us":500000,"semantics":"non_idempotent"}`
	w.reload(artes+","+write, write+","+strings.Replace(artes, "artes", "nuevos", 1), `"pass-on":[false,true]`, `"pass-on":[true,false]`)
	w.eventually("taken over", func() bool { return w.figure("svc_cfg_accepted") == 1 })
	c.ask(3, "registro", longWait, 3, "x")
	receive(t, w.origin.calls, "call").answer("crashed", "-", "")
	if a := receive(t, c.answers, "answer"); a.status != "502" {
		t.Errorf("a write that may have run: %+v", a)
	}
	c.ask(4, "nuevos", longWait, 4, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "new")
	if a := receive(t, c.answers, "answer"); a.body != "new" {
		t.Errorf("%+v", a)
	}
	c.ask(5, "artes", longWait, 5, "")
	if a := receive(t, c.answers, "answer"); a.status != "400" {
		t.Errorf("a class that is gone: %+v", a)
	}
	open.answer("served", "-", "fine")
	if a := receive(t, c.answers, "answer"); a.id != 1 || a.body != "fine" {
		t.Errorf("%+v", a)
	}
	w.checkFigures(map[string]int{operations("artes", "fulfilled"): 2, operations("nuevos", "fulfilled"): 1, "svc_cfg_invalid": 9})
}

func TestAliveOnceTheListIsKnown(t *testing.T) {
	w := prepare(t)
	w.start()
	w.awaitAlive("503")
	if got := receive(t, w.follows, "follow"); got != "follow 0" {
		t.Errorf("%q", got)
	}
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	if a := receive(t, c.answers, "answer"); a.status != "503" {
		t.Errorf("without a list: %+v", a)
	}
	w.tell(list(1, true, member("c1", "std", "edge", "SERVING", w.cache), member("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
}

// At an ordered stop everything that still comes is answered, and the program ends by itself.
func TestTermAnswersEverything(t *testing.T) {
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	first := receive(t, w.cache.calls, "call")
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	w.awaitAlive("503")
	late := w.dial()
	late.ask(1, "artes", longWait, 2, "")
	second := receive(t, w.cache.calls, "call")
	w.eventually("no more connections taken", func() bool {
		conn, err := net.Dial("tcp", w.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	first.answer("served", "-", "one")
	second.answer("served", "-", "two")
	if a := receive(t, c.answers, "answer"); a.body != "one" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, late.answers, "answer"); a.body != "two" {
		t.Errorf("%+v", a)
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

// What is taken while the program stops is answered before it may be killed, however long its client would wait.
func TestTermEndsInTime(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "one")
	receive(t, c.answers, "answer")
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	w.awaitAlive("503")
	c.ask(2, "registro", longWait, 2, "")
	receive(t, w.origin.calls, "call")
	if a := receive(t, c.answers, "answer"); a.id != 2 || a.status != "502" {
		t.Errorf("%+v", a)
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

// The example must stay one that starts.
func TestExampleConfiguration(t *testing.T) {
	env := map[string]string{"BALANCER_CONFIG": "../../example/config.json", "BALANCER_LISTEN": "127.0.0.1:9", "BALANCER_NAME": "n7"}
	c, err := load(func(name string) string { return env[name] })
	if err != nil || c.listen.Port() != 9 || c.Name != "n7" || len(c.proxy.Settings.Policy.Classes) != 2 {
		t.Errorf("%+v %v", c, err)
	}
}

func TestBadConfiguration(t *testing.T) {
	for want, config := range map[string]any{
		"listen":      map[string]any{"listen": "nowhere"},
		"coordinator": map[string]any{"listen": "127.0.0.1:1", "coordinator": "nowhere"},
		"seed":        map[string]any{"listen": "127.0.0.1:1", "coordinator": "127.0.0.1:2", "seed": "xyz"},
		"limits":      map[string]any{"listen": "127.0.0.1:1", "coordinator": "127.0.0.1:2", "seed": "1"},
		"cannot":      []int{1},
	} {
		cmd, _ := program(t, config)
		out, err := cmd.CombinedOutput()
		if _, failed := err.(*exec.ExitError); !failed || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), want) {
			t.Errorf("%s: %v %q", want, err, out)
		}
	}
}

// Clients that connect and say nothing, or ask once and stay, keep out no other, whether it comes before or after
// them, and end in a close.
func TestSilentClientsMakeRoom(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.cache.serve("served", "-", "fine")
	served := func(who string, c *client) {
		t.Helper()
		c.ask(1, "artes", longWait, 1, "")
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
	half.record(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00")
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
	w := newWorld(t)
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
				c.ask(id+1, "registro", longWait, int(id), body)
			}
		}()
	}
	if a := receive(t, answers, "refusal"); a.protocol != 2 {
		t.Errorf("%+v, want OVERLOADED", a)
	}
	for _, c := range conns {
		c.Close()
	}
	w.cache.serve("served", "-", "fine")
	w.eventually("an answer after the flood", func() bool {
		c := w.dial()
		c.ask(1, "artes", longWait, 1, "")
		return receive(t, c.answers, "answer").body == "fine"
	})
	w.checkMemory()
}
