package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

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

// After a purge no older copy is asked for, and one that a joined fill brings all the same is not passed on.
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
	closeWrite(t, w.feed)
	follow("after the stream's end", "follow 3")
	follow("after silence", "follow 3")
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
	mustWrite(t, w.feed, drain[:len(drain)/2])
	closeOnce(t, w.feed)
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

// slowCoordinator brings one line to each follower, as many bytes at a time as the test wants.
type slowCoordinator struct {
	net.Listener
	line string
	mu   sync.Mutex
	sent map[net.Conn]int
}

func newSlowCoordinator(t *testing.T, line any, follows chan<- string) *slowCoordinator {
	t.Helper()
	text, err := json.Marshal(line)
	if err != nil {
		t.Fatal(err)
	}
	s := &slowCoordinator{Listener: listen(t), line: string(text) + "\n", sent: map[net.Conn]int{}}
	go serveEach(s, func(conn net.Conn) {
		in := bufio.NewScanner(conn)
		for in.Scan() {
			s.mu.Lock()
			s.sent[conn] = 0
			s.mu.Unlock()
			follows <- in.Text()
		}
	})
	return s
}

// bring writes the next bytes to each follower.
func (s *slowCoordinator) bring(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, sent := range s.sent {
		next := min(sent+bytes, len(s.line))
		fmt.Fprint(conn, s.line[sent:next]) //nolint:errcheck // a follower may have disconnected
		s.sent[conn] = next
	}
}

// A coordinator that brings an event slowly but steadily is heard: what has come of the line is not thrown away.
func TestSlowLineIsHeard(t *testing.T) {
	const inAll, step = 6 * time.Second, 100 * time.Millisecond
	w := prepare(t)
	w.clock = newSteps(t)
	second := newServer(t)
	second.serve("served", "-", "second")
	drain := newSlowCoordinator(t, list(2, false, member("c1", "std", "edge", "DRAINING", w.cache)), w.follows)
	w.via = func(string) string { return drain.Addr().String() }
	w.start(list(1, true, member("c1", "std", "edge", "SERVING", w.cache), member("c2", "std", "edge", "SERVING", second),
		member("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	receive(t, w.follows, "follow")
	for range inAll / step {
		drain.bring(1 + len(drain.line)/int(inAll/step))
		w.clock.advance(step)
	}
	w.awaitAlive("200") // a turn later: all that came before has been read
	w.servedOnlyBy("second")
}

// An entry in a state that this version does not know counts as gone; the rest of its event and the later events are
// taken, and nothing is asked for again.
func TestUnknownStateHidesNothing(t *testing.T) {
	w := prepare(t)
	w.start(list(1, true, member("c0", "std", "edge", "RESTING", w.cache), member("c1", "std", "edge", "SERVING", w.cache),
		member("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	receive(t, w.follows, "follow")
	second := newServer(t)
	second.serve("served", "-", "second")
	w.tell(list(2, false, member("c1", "std", "edge", "RESTING", w.cache), member("c2", "std", "edge", "SERVING", second),
		member("c3", "std", "edge", "SERVING", second)))
	w.eventually("the rest of the event is taken", func() bool { return w.figure("svc_registry_entries") == 3 })
	w.servedOnlyBy("second")
	w.tell(list(3, false, member("c3", "std", "edge", "DELETED", second)))
	w.eventually("the next event is taken", func() bool { return w.figure("svc_registry_entries") == 2 })
	if len(w.follows) != 0 {
		t.Errorf("followed anew: %q", <-w.follows)
	}
}

// A line that can't be read is asked for once more, as it may have been spoilt on its way; when it comes again, it is passed
// over, and the events behind it are taken.
func TestLineThatIsNeverReadable(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	w.tell("{broken")
	if got := receive(t, w.follows, "follow anew"); got != "follow 1" {
		t.Errorf("%q", got)
	}
	w.tell("{broken")
	w.tell(list(3, false, member("c2", "std", "edge", "SERVING", w.cache)))
	w.eventually("the event behind it is taken", func() bool { return w.figure("svc_registry_entries") == 3 })
	if w.figure("svc_registry_unreadable") != 1 || len(w.follows) != 0 {
		t.Errorf("%d unreadable, %d followed", w.figure("svc_registry_unreadable"), len(w.follows))
	}
}

// An event of a kind that this version does not know is passed over: it is not asked for again without end.
func TestUnknownKindOfEventHidesNothing(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	w.tell(`{"index":2,"quota":{"server":"c1","share":0.5}}`)
	w.tell(list(3, false, member("c2", "std", "edge", "SERVING", w.cache)))
	w.eventually("the next event is taken", func() bool { return w.figure("svc_registry_entries") == 3 })
	if len(w.follows) != 0 || w.figure("svc_registry_unreadable") != 1 {
		t.Errorf("%d followed, %d unreadable", len(w.follows), w.figure("svc_registry_unreadable"))
	}
}

// Events that the coordinator leaves out each time it is asked are gone; those behind them are taken.
func TestMissingEventHidesNothing(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	behind := list(4, false, member("c2", "std", "edge", "SERVING", w.cache))
	w.tell(behind)
	if got := receive(t, w.follows, "follow anew"); got != "follow 1" {
		t.Errorf("%q", got)
	}
	w.tell(behind)
	w.eventually("the event behind the gap is taken", func() bool { return w.figure("svc_registry_entries") == 3 })
	w.tell("6") // more are said to be missing
	if got := receive(t, w.follows, "follow anew"); got != "follow 4" {
		t.Errorf("%q", got)
	}
	w.tell("6")
	w.tell(list(5, false, member("c3", "std", "edge", "SERVING", w.cache)))
	w.eventually("a late one is taken all the same", func() bool { return w.figure("svc_registry_entries") == 4 })
}

// A drain that has come together with a line that can't be read, just before it, is heeded in the same turn.
func TestDrainBehindAnUnreadableLine(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	second := newServer(t)
	second.serve("served", "-", "second")
	w.tell(list(2, false, member("c2", "std", "edge", "SERVING", second)))
	w.eventually("the second cache is known", func() bool { return w.figure("svc_registry_entries") == 3 })
	c := w.dial()
	drain, err := json.Marshal(list(4, false, member("c1", "std", "edge", "DRAINING", w.cache)))
	if err != nil {
		t.Fatal(err)
	}
	thaw := w.freeze()
	w.tell("{broken\n" + string(drain))
	for id := range uint16(30) {
		c.ask(id+1, "artes", longWait, int(id), "")
	}
	thaw()
	for range 30 {
		if a := receive(t, c.answers, "answer"); a.body != "second" {
			t.Errorf("%+v", a)
		}
	}
	if len(w.cache.calls) > 0 || len(w.follows) > 0 {
		t.Errorf("%d calls to the cache that drains, %d followed anew", len(w.cache.calls), len(w.follows))
	}
}
