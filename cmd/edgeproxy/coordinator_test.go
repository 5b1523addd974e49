package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestDrainedCacheGetsNothingNew(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	second := newStandIn(t)
	w.cache.answerAll("served", "-", "first")
	second.answerAll("served", "-", "second")
	c, id := w.dial(), uint16(0)
	served := func(object int) string {
		id++
		c.request(id, "artes", longTimeoutMS, object, "")
		return receive(t, c.answers, "answer").body
	}
	w.sendEvent(endpointEvent(2, false, endpoint("c1", "std", "edge", "DRAINING", w.cache), endpoint("c2", "std", "edge", "SERVING", second)))
	w.eventually("the list was heeded", func() bool { return served(1) == "second" })
	for object := range 20 {
		if got := served(object); got != "second" {
			t.Errorf("object %d from %q", object, got)
		}
	}
}

// Connections belong to a server, not to its address: the next server there gets connections of its own.
func TestNewServerAtAnOldAddress(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	c, id := w.dial(), uint16(1)
	c.request(id, "artes", longTimeoutMS, 1, "")
	old := receive(t, w.cache.calls, "call")
	w.sendEvent(endpointEvent(2, false, endpoint("c1", "std", "edge", "DELETED", w.cache), endpoint("c9", "std", "edge", "SERVING", w.cache)))
	w.eventually("a call on a new connection", func() bool {
		id++
		c.request(id, "artes", longTimeoutMS, 1, "")
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
		w := startTestEnv(t)
		receive(t, w.followLines, "follow")
		c, id := w.dial(), uint16(0)
		moment := time.Now().Add(-2 * time.Second)
		w.sendEvent(fmt.Sprintf(purge, moment.UnixMilli()))
		w.eventually("an age in a call", func() bool {
			id++
			c.request(id, "artes", longTimeoutMS, 1, "")
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
		c.request(1000, "artes", longTimeoutMS, 1, "")
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
	w := startTestEnv(t)
	follow := func(what, want string) {
		t.Helper()
		if got := receive(t, w.followLines, "follow "+what); got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	follow("at the start", "follow 1")
	w.sendEvent(`{"index":1,"evict":{"shard":1,"unix_ms":1}}`)
	w.sendEvent(`{"index":2,"evict":{"shard":1,"unix_ms":1}}`)
	w.sendEvent("2")
	w.sendEvent("nonsense")
	follow("after a bad line", "follow 2")
	w.sendEvent(`{"index":4,"evict":{"shard":1,"unix_ms":1}}`)
	follow("after a gap", "follow 2")
	w.sendEvent("3")
	follow("after a number too high", "follow 2")
	w.sendEvent(`{"index":3,"evict":{"shard":1,"unix_ms":1}}`)
	closeWrite(t, w.watchConn)
	follow("after the stream's end", "follow 3")
	follow("after silence", "follow 3")
}

func TestAliveOnceTheListIsKnown(t *testing.T) {
	w := newTestEnv(t)
	w.start()
	w.awaitAlive("503")
	if got := receive(t, w.followLines, "follow"); got != "follow 0" {
		t.Errorf("%q", got)
	}
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	if a := receive(t, c.answers, "answer"); a.status != "503" {
		t.Errorf("without a list: %+v", a)
	}
	w.sendEvent(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
}

// A drain counts though the line that told it was cut in half as the stream died: it is told again, whole.
func TestDrainInHalfALine(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	second := newStandIn(t)
	second.answerAll("served", "-", "second")
	w.sendEvent(endpointEvent(2, false, endpoint("c2", "std", "edge", "SERVING", second)))
	drain := `{"index":3,"endpoints":{"version":3,"full":false,"servers":[{"id":"c1","addr":"` + w.cache.Addr().String() +
		`","zone":"edge","kind":"std","state":"DRAINING","weight":10000}]}}`
	w.mu.Lock()
	mustWrite(t, w.watchConn, drain[:len(drain)/2])
	closeOnce(t, w.watchConn)
	w.mu.Unlock()
	if got := receive(t, w.followLines, "follow"); got != "follow 2" {
		t.Errorf("%q", got)
	}
	w.sendEvent(drain)
	w.awaitEventsTaken()
	w.servedOnlyBy("second")
}

// A stream that goes on and on without ending a line is as good as silent.
func TestEndlessLineIsGivenUp(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	w.mu.Lock()
	feed := w.watchConn
	w.mu.Unlock()
	go func() {
		for _, err := fmt.Fprint(feed, `{"index":2,`); err == nil; _, err = fmt.Fprint(feed, " ") {
			time.Sleep(50 * time.Millisecond)
		}
	}()
	if got := receive(t, w.followLines, "follow anew"); got != "follow 1" {
		t.Errorf("%q", got)
	}
}

// An entry that can't be read may have told of a drain: its server gets nothing new.
func TestUnreadableEntryCountsAsGone(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	second := newStandIn(t)
	second.answerAll("served", "-", "second")
	broken := endpoint("c1", "std", "edge", "DRAINING", w.cache)
	broken["addr"] = "nowhere"
	w.sendEvent(endpointEvent(2, false, broken, endpoint("c2", "std", "edge", "SERVING", second)))
	w.awaitEventsTaken()
	w.servedOnlyBy("second")
}

// A whole list that leaves a server out says that it is gone, just after a reload too.
func TestWholeListAfterAReload(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	second := newStandIn(t)
	second.answerAll("served", "-", "second")
	old := w.watchConn
	w.reload(old.LocalAddr().String(), w.startCoordinator())
	receive(t, w.followLines, "follow")
	w.sendEvent(endpointEvent(2, true, endpoint("c2", "std", "edge", "SERVING", second), endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitEventsTaken()
	w.servedOnlyBy("second")
}

// A restarted process serves at once by the list in its configuration, though discovery is down.
func TestReadyWithDiscoveryDown(t *testing.T) {
	w := newTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	w.coordinatorDown = true
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	w.resumeCoordinator()
	if got := receive(t, w.followLines, "follow"); got != "follow 1" {
		t.Errorf("%q", got)
	}
}

// A coordinator that brings an event slowly but steadily is heard: what has come of the line is not thrown away.
func TestSlowLineIsHeard(t *testing.T) {
	const inAll, step = 6 * time.Second, 100 * time.Millisecond
	w := newTestEnv(t)
	w.clock = newManualClock(t)
	second := newStandIn(t)
	second.answerAll("served", "-", "second")
	drain := newSlowCoordinator(t, endpointEvent(2, false, endpoint("c1", "std", "edge", "DRAINING", w.cache)), w.followLines)
	w.coordinatorVia = func(string) string { return drain.Addr().String() }
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("c2", "std", "edge", "SERVING", second),
		endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	receive(t, w.followLines, "follow")
	for range inAll / step {
		drain.writeNext(1 + len(drain.line)/int(inAll/step))
		w.clock.advance(step)
	}
	w.awaitAlive("200") // a turn later: all that came before has been read
	w.servedOnlyBy("second")
}

// An entry in a state that this version does not know counts as gone; the rest of its event and the later events are
// taken, and nothing is asked for again.
func TestUnknownStateHidesNothing(t *testing.T) {
	w := newTestEnv(t)
	w.start(endpointEvent(1, true, endpoint("c0", "std", "edge", "RESTING", w.cache), endpoint("c1", "std", "edge", "SERVING", w.cache),
		endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	receive(t, w.followLines, "follow")
	second := newStandIn(t)
	second.answerAll("served", "-", "second")
	w.sendEvent(endpointEvent(2, false, endpoint("c1", "std", "edge", "RESTING", w.cache), endpoint("c2", "std", "edge", "SERVING", second),
		endpoint("c3", "std", "edge", "SERVING", second)))
	w.eventually("the rest of the event is taken", func() bool { return w.metric("svc_registry_entries") == 3 })
	w.servedOnlyBy("second")
	w.sendEvent(endpointEvent(3, false, endpoint("c3", "std", "edge", "DELETED", second)))
	w.eventually("the next event is taken", func() bool { return w.metric("svc_registry_entries") == 2 })
	if len(w.followLines) != 0 {
		t.Errorf("followed anew: %q", <-w.followLines)
	}
}

// A line that can't be read is asked for once more, as it may have been spoilt on its way; when it comes again, it is passed
// over, and the events behind it are taken.
func TestLineThatIsNeverReadable(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	w.sendEvent("{broken")
	if got := receive(t, w.followLines, "follow anew"); got != "follow 1" {
		t.Errorf("%q", got)
	}
	w.sendEvent("{broken")
	w.sendEvent(endpointEvent(3, false, endpoint("c2", "std", "edge", "SERVING", w.cache)))
	w.eventually("the event behind it is taken", func() bool { return w.metric("svc_registry_entries") == 3 })
	if w.metric("svc_registry_unreadable") != 1 || len(w.followLines) != 0 {
		t.Errorf("%d unreadable, %d followed", w.metric("svc_registry_unreadable"), len(w.followLines))
	}
}

// An event of a kind that this version does not know is passed over: it is not asked for again without end.
func TestUnknownKindOfEventHidesNothing(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	w.sendEvent(`{"index":2,"quota":{"server":"c1","share":0.5}}`)
	w.sendEvent(endpointEvent(3, false, endpoint("c2", "std", "edge", "SERVING", w.cache)))
	w.eventually("the next event is taken", func() bool { return w.metric("svc_registry_entries") == 3 })
	if len(w.followLines) != 0 || w.metric("svc_registry_unreadable") != 1 {
		t.Errorf("%d followed, %d unreadable", len(w.followLines), w.metric("svc_registry_unreadable"))
	}
}

// Events that the coordinator leaves out each time it is asked are gone; those behind them are taken.
func TestMissingEventHidesNothing(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	behind := endpointEvent(4, false, endpoint("c2", "std", "edge", "SERVING", w.cache))
	w.sendEvent(behind)
	if got := receive(t, w.followLines, "follow anew"); got != "follow 1" {
		t.Errorf("%q", got)
	}
	w.sendEvent(behind)
	w.eventually("the event behind the gap is taken", func() bool { return w.metric("svc_registry_entries") == 3 })
	w.sendEvent("6") // more are said to be missing
	if got := receive(t, w.followLines, "follow anew"); got != "follow 4" {
		t.Errorf("%q", got)
	}
	w.sendEvent("6")
	w.sendEvent(endpointEvent(5, false, endpoint("c3", "std", "edge", "SERVING", w.cache)))
	w.eventually("a late one is taken all the same", func() bool { return w.metric("svc_registry_entries") == 4 })
}

// A drain that has come together with a line that can't be read, just before it, is heeded in the same turn.
func TestDrainBehindAnUnreadableLine(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	second := newStandIn(t)
	second.answerAll("served", "-", "second")
	w.sendEvent(endpointEvent(2, false, endpoint("c2", "std", "edge", "SERVING", second)))
	w.eventually("the second cache is known", func() bool { return w.metric("svc_registry_entries") == 3 })
	c := w.dial()
	drain, err := json.Marshal(endpointEvent(4, false, endpoint("c1", "std", "edge", "DRAINING", w.cache)))
	if err != nil {
		t.Fatal(err)
	}
	thaw := w.pause()
	w.sendEvent("{broken\n" + string(drain))
	for id := range uint16(30) {
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
	}
	thaw()
	for range 30 {
		if a := receive(t, c.answers, "answer"); a.body != "second" {
			t.Errorf("%+v", a)
		}
	}
	if len(w.cache.calls) > 0 || len(w.followLines) > 0 {
		t.Errorf("%d calls to the cache that drains, %d followed anew", len(w.cache.calls), len(w.followLines))
	}
}
