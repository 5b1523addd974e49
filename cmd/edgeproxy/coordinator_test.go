package main

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestDrainingCacheGetsNoNewCalls checks that a draining cache gets no new calls.
func TestDrainingCacheGetsNoNewCalls(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	secondCache := newFakeServer(t)
	env.cache.answerAll("served", "-", "first")
	secondCache.answerAll("served", "-", "second")
	c := env.dial()
	id := uint16(0)
	readBody := func(object int) string {
		id++
		c.request(id, "artes", longTimeoutMS, object, "")
		return receive(t, c.answers, "answer").body
	}
	env.sendEvent(endpointEvent(2, false, endpoint("c1", "std", "edge", "DRAINING", env.cache.Addr()),
		endpoint("c2", "std", "edge", "SERVING", secondCache.Addr())))
	env.eventually("the event is applied", func() bool { return readBody(1) == "second" })
	for object := range 20 {
		got := readBody(object)
		if got != "second" {
			t.Errorf(`object %d is served by %q, want "second"`, object, got)
		}
	}
}

// TestNewServerAtAnOldAddress checks that a new server at the address of a removed one gets new connections.
func TestNewServerAtAnOldAddress(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	c := env.dial()
	id := uint16(1)
	c.request(id, "artes", longTimeoutMS, 1, "")
	old := receive(t, env.cache.calls, "call")
	env.sendEvent(endpointEvent(2, false, endpoint("c1", "std", "edge", "DELETED", env.cache.Addr()), endpoint("c9", "std", "edge", "SERVING", env.cache.Addr())))
	env.eventually("a call on a new connection", func() bool {
		id++
		c.request(id, "artes", longTimeoutMS, 1, "")
		got := receive(t, env.cache.calls, "call")
		got.answer("served", "-", "new")
		receive(t, c.answers, "answer")
		return got.conn != old.conn
	})
	old.answer("served", "-", "old") // the call in flight may still be answered
	a := receive(t, c.answers, "answer")
	if a.id != 1 || a.body != "old" {
		t.Errorf(`got answer %+v, want ID 1 and body "old"`, a)
	}
}

// TestPurgeBoundsTheAge checks that calls after a purge ask for no copy from before it, and that such a copy from a
// coalesced fill is not delivered.
func TestPurgeBoundsTheAge(t *testing.T) {
	for _, purge := range []string{`{"index":2,"evict":{"ref":"0000000000000001","unix_ms":%d}}`, `{"index":2,"evict":{"shard":17,"unix_ms":%d}}`} {
		env := startTestEnv(t)
		receive(t, env.followLines, "follow")
		c := env.dial()
		id := uint16(0)
		purgedAt := time.Now().Add(-2 * time.Second)
		env.sendEvent(fmt.Sprintf(purge, purgedAt.UnixMilli()))
		env.eventually("a call has a maximum age", func() bool {
			id++
			c.request(id, "artes", longTimeoutMS, 1, "")
			got := receive(t, env.cache.calls, "call")
			sincePurge := time.Since(purgedAt).Milliseconds()
			got.answer("served", "-", "")
			receive(t, c.answers, "answer")
			maxAge, _ := strconv.ParseInt(got.fields["maxage"], 10, 64)
			if maxAge > sincePurge {
				t.Errorf("%q: the maximum age exceeds the %d ms since the purge", got.args[2], sincePurge)
			}
			return maxAge > 0
		})
		c.request(1000, "artes", longTimeoutMS, 1, "")
		got := receive(t, env.cache.calls, "call")
		if !strings.Contains(got.fields["flags"], "coalesce") {
			t.Errorf("%q lacks the flag coalesce: each call that misses after a purge would fill separately", got.args[2])
		}
		got.answer("served", fmt.Sprintf("etag=a,note=TCP_JOIN,made=%d", purgedAt.UnixMilli()-1000), "from before the purge")
		got = receive(t, env.cache.calls, "further call")
		if strings.Contains(got.fields["flags"], "coalesce") {
			t.Errorf("%q has the flag coalesce: the call may join the same fill again", got.args[2])
		}
		got.answer("served", fmt.Sprintf("etag=b,note=TCP_MISS,made=%d", purgedAt.UnixMilli()+100), "from after the purge")
		a := receive(t, c.answers, "answer")
		if a.id != 1000 || a.status != "200" || a.body != "from after the purge" {
			t.Errorf(`got answer %+v, want ID 1000, status 200 and body "from after the purge"`, a)
		}
	}
}

// TestCopyFromJustBeforeAPurgeIsNotServed guards against a copy that is a millisecond or two older than a purge: the
// tolerance for rounded ages let it pass. A copy from the purge's own millisecond may be older than the purge, too.
func TestCopyFromJustBeforeAPurgeIsNotServed(t *testing.T) {
	for _, madeBefore := range []int64{2, 1, 0} { // milliseconds
		env := startTestEnv(t)
		receive(t, env.followLines, "follow")
		purgedAt := time.Now().Add(-300 * time.Millisecond).UnixMilli()
		env.sendEvent(fmt.Sprintf(`{"index":2,"evict":{"ref":"0000000000000001","unix_ms":%d}}`, purgedAt))
		env.awaitEventsApplied()
		c := env.dial()
		c.request(1, "artes", longTimeoutMS, 1, "")
		receive(t, env.cache.calls, "call").answer("served", fmt.Sprintf("etag=a,note=TCP_JOIN,made=%d", purgedAt-madeBefore), "old")
		receive(t, env.cache.calls, "further call").answer("served", fmt.Sprintf("etag=b,note=TCP_MISS,made=%d", purgedAt+1), "new")
		if a := receive(t, c.answers, "answer"); a.status != "200" || a.body != "new" {
			t.Errorf("%d ms before the purge: got answer %+v, want the copy from after it", madeBefore, a)
		}
	}
}

// TestWatchReconnects checks that the watch reconnects, from the last event that was applied, after a malformed line,
// a gap, an index that shows missing events, the end of the stream and silence, and that repeated events are dropped.
func TestWatchReconnects(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	checkFollow := func(occasion, want string) {
		t.Helper()
		got := receive(t, env.followLines, "follow "+occasion)
		if got != want {
			t.Errorf("%s: got line %q, want %q", occasion, got, want)
		}
	}
	checkFollow("at the start", "follow 1")
	env.sendEvent(`{"index":1,"evict":{"shard":1,"unix_ms":1}}`)
	env.sendEvent(`{"index":2,"evict":{"shard":1,"unix_ms":1}}`)
	env.sendEvent("2")
	env.sendEvent("nonsense")
	checkFollow("after a malformed line", "follow 2")
	env.sendEvent(`{"index":4,"evict":{"shard":1,"unix_ms":1}}`)
	checkFollow("after a gap", "follow 2")
	env.sendEvent("3")
	checkFollow("after an index that is too high", "follow 2")
	env.sendEvent(`{"index":3,"evict":{"shard":1,"unix_ms":1}}`)
	closeWrite(t, env.watchConn)
	checkFollow("after the end of the stream", "follow 3")
	checkFollow("after silence", "follow 3")
}

// TestAliveOnceTheListIsKnown checks that /alive answers 503 until the endpoint list is known, and 200 afterwards.
func TestAliveOnceTheListIsKnown(t *testing.T) {
	env := newTestEnv(t)
	env.start()
	env.awaitAliveStatus("503")
	got := receive(t, env.followLines, "follow")
	if got != "follow 0" {
		t.Errorf(`got line %q, want "follow 0"`, got)
	}
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	a := receive(t, c.answers, "answer")
	if a.status != "503" {
		t.Errorf("without an endpoint list: got answer %+v, want status 503", a)
	}
	env.sendEvent(fullList(env.cache.Addr(), env.origin.Addr()))
	env.awaitAliveStatus("200")
}

// TestFullListAfterAReload checks that a server that is not in a full endpoint list counts as removed, also right
// after a reload.
func TestFullListAfterAReload(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	secondCache := newFakeServer(t)
	secondCache.answerAll("served", "-", "second")
	old := env.watchConn
	env.reload(old.LocalAddr().String(), env.startCoordinator())
	receive(t, env.followLines, "follow")
	env.sendEvent(endpointEvent(2, true, endpoint("c2", "std", "edge", "SERVING", secondCache.Addr()),
		endpoint("o1", "origin", "hub", "SERVING", env.origin.Addr())))
	env.awaitEventsApplied()
	env.checkServedOnlyBy("second")
}

// TestReadyWithCoordinatorDown checks that a process that starts while the coordinator is down serves with the
// endpoint list in its configuration.
func TestReadyWithCoordinatorDown(t *testing.T) {
	env := newTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	env.coordinatorDown = true
	env.start(fullList(env.cache.Addr(), env.origin.Addr()))
	env.awaitAliveStatus("200")
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
	env.resumeCoordinator()
	got := receive(t, env.followLines, "follow")
	if got != "follow 1" {
		t.Errorf(`got line %q, want "follow 1"`, got)
	}
}
