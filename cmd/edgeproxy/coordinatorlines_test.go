package main

// This file holds the tests of lines from the coordinator that arrive slowly, are cut off, or can't be decoded.

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// TestDrainInACutOffLine checks that a drain takes effect if the stream ends in the middle of the drain's line and the
// line is then sent again on the next stream.
func TestDrainInACutOffLine(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	secondCache := newFakeServer(t)
	secondCache.answerAll("served", "-", "second")
	env.sendEvent(endpointEvent(2, false, endpoint("c2", "std", "edge", "SERVING", secondCache.Addr())))
	drain := `{"index":3,"endpoints":{"version":3,"full":false,"servers":[{"id":"c1","addr":"` + env.cache.Addr().String() +
		`","zone":"edge","kind":"std","state":"DRAINING","weight":10000}]}}`
	env.mu.Lock()
	mustWrite(t, env.watchConn, drain[:len(drain)/2])
	closeOnce(t, env.watchConn)
	env.mu.Unlock()
	got := receive(t, env.followLines, "follow")
	if got != "follow 2" {
		t.Errorf(`got line %q, want "follow 2"`, got)
	}
	env.sendEvent(drain)
	env.awaitEventsApplied()
	env.checkServedOnlyBy("second")
}

// TestEndlessLineCountsAsSilence checks that a stream that sends bytes but never ends a line is treated as silent.
func TestEndlessLineCountsAsSilence(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	env.mu.Lock()
	streamConn := env.watchConn
	env.mu.Unlock()
	go func() {
		for _, err := fmt.Fprint(streamConn, `{"index":2,`); err == nil; _, err = fmt.Fprint(streamConn, " ") {
			time.Sleep(50 * time.Millisecond)
		}
	}()
	got := receive(t, env.followLines, "follow again")
	if got != "follow 1" {
		t.Errorf(`got line %q, want "follow 1"`, got)
	}
}

// TestUnreadableEntryCountsAsRemoved checks that a server whose entry is malformed gets no new calls, as the entry may
// have announced a drain.
func TestUnreadableEntryCountsAsRemoved(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	secondCache := newFakeServer(t)
	secondCache.answerAll("served", "-", "second")
	malformedEntry := endpoint("c1", "std", "edge", "DRAINING", env.cache.Addr())
	malformedEntry["addr"] = "nowhere"
	env.sendEvent(endpointEvent(2, false, malformedEntry, endpoint("c2", "std", "edge", "SERVING", secondCache.Addr())))
	env.awaitEventsApplied()
	env.checkServedOnlyBy("second")
}

// TestSlowLineIsReceived checks that an event that arrives slowly but steadily is applied: the bytes that have
// arrived are not discarded.
func TestSlowLineIsReceived(t *testing.T) {
	const duration, step = 6 * time.Second, 100 * time.Millisecond
	env := newTestEnv(t)
	env.clock = newManualClock(t)
	secondCache := newFakeServer(t)
	secondCache.answerAll("served", "-", "second")
	coordinator := newSlowCoordinator(t, endpointEvent(2, false, endpoint("c1", "std", "edge", "DRAINING", env.cache.Addr())), env.followLines)
	env.relayCoordinator = func(string) string { return coordinator.Addr().String() }
	env.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", env.cache.Addr()),
		endpoint("c2", "std", "edge", "SERVING", secondCache.Addr()),
		endpoint("o1", "origin", "hub", "SERVING", env.origin.Addr())))
	env.awaitAliveStatus("200")
	receive(t, env.followLines, "follow")
	for range duration / step {
		coordinator.writeNext(1 + len(coordinator.line)/int(duration/step))
		env.clock.advance(step)
	}
	env.awaitAliveStatus("200") // answered in a later turn of the event loop: everything sent before has been read
	env.checkServedOnlyBy("second")
}

// TestUnknownStateHidesNoOtherEntry checks that an entry in an unknown state counts as removed, and that the other
// entries of its event and later events are applied without a reconnect.
func TestUnknownStateHidesNoOtherEntry(t *testing.T) {
	env := newTestEnv(t)
	env.start(endpointEvent(1, true, endpoint("c0", "std", "edge", "RESTING", env.cache.Addr()), endpoint("c1", "std", "edge", "SERVING", env.cache.Addr()),
		endpoint("o1", "origin", "hub", "SERVING", env.origin.Addr())))
	env.awaitAliveStatus("200")
	receive(t, env.followLines, "follow")
	secondCache := newFakeServer(t)
	secondCache.answerAll("served", "-", "second")
	env.sendEvent(endpointEvent(2, false, endpoint("c1", "std", "edge", "RESTING", env.cache.Addr()),
		endpoint("c2", "std", "edge", "SERVING", secondCache.Addr()),
		endpoint("c3", "std", "edge", "SERVING", secondCache.Addr())))
	env.eventually("the rest of the event is applied", func() bool { return env.metric("svc_registry_entries") == 3 })
	env.checkServedOnlyBy("second")
	env.sendEvent(endpointEvent(3, false, endpoint("c3", "std", "edge", "DELETED", secondCache.Addr())))
	env.eventually("the next event is applied", func() bool { return env.metric("svc_registry_entries") == 2 })
	if len(env.followLines) != 0 {
		t.Errorf("reconnected: %q", <-env.followLines)
	}
}

// TestMalformedLineIsRequestedOnceMore checks that a malformed line is requested once more, as it may have been
// corrupted in transit, and is then skipped.
func TestMalformedLineIsRequestedOnceMore(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	env.sendEvent("{broken")
	got := receive(t, env.followLines, "follow again")
	if got != "follow 1" {
		t.Errorf(`got line %q, want "follow 1"`, got)
	}
	env.sendEvent("{broken")
	env.sendEvent(endpointEvent(3, false, endpoint("c2", "std", "edge", "SERVING", env.cache.Addr())))
	env.eventually("the event after the malformed line is applied", func() bool { return env.metric("svc_registry_entries") == 3 })
	if env.metric("svc_registry_unreadable") != 1 || len(env.followLines) != 0 {
		t.Errorf("%d unreadable lines, %d reconnects, want 1 and 0", env.metric("svc_registry_unreadable"), len(env.followLines))
	}
}

// TestUnknownKindOfEventIsSkipped checks that an event of an unknown kind is skipped without a reconnect.
func TestUnknownKindOfEventIsSkipped(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	env.sendEvent(`{"index":2,"quota":{"server":"c1","share":0.5}}`)
	env.sendEvent(endpointEvent(3, false, endpoint("c2", "std", "edge", "SERVING", env.cache.Addr())))
	env.eventually("the next event is applied", func() bool { return env.metric("svc_registry_entries") == 3 })
	if len(env.followLines) != 0 || env.metric("svc_registry_unreadable") != 1 {
		t.Errorf("%d reconnects, %d unreadable events, want 0 and 1", len(env.followLines), env.metric("svc_registry_unreadable"))
	}
}

// TestMissingEventsAreSkipped checks that events that are still missing after a reconnect are skipped, that the events
// after them are applied, and that a skipped event is applied if it arrives late.
func TestMissingEventsAreSkipped(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	afterGap := endpointEvent(4, false, endpoint("c2", "std", "edge", "SERVING", env.cache.Addr()))
	env.sendEvent(afterGap)
	got := receive(t, env.followLines, "follow again")
	if got != "follow 1" {
		t.Errorf(`got line %q, want "follow 1"`, got)
	}
	env.sendEvent(afterGap)
	env.eventually("the event after the gap is applied", func() bool { return env.metric("svc_registry_entries") == 3 })
	env.sendEvent("6") // shows that events are missing
	got = receive(t, env.followLines, "follow again")
	if got != "follow 4" {
		t.Errorf(`got line %q, want "follow 4"`, got)
	}
	env.sendEvent("6")
	env.sendEvent(endpointEvent(5, false, endpoint("c3", "std", "edge", "SERVING", env.cache.Addr())))
	env.eventually("a late event is applied", func() bool { return env.metric("svc_registry_entries") == 4 })
}

// TestDrainBehindAMalformedLine checks that a drain that arrives right after a malformed line takes effect in the same
// turn of the event loop.
func TestDrainBehindAMalformedLine(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	secondCache := newFakeServer(t)
	secondCache.answerAll("served", "-", "second")
	env.sendEvent(endpointEvent(2, false, endpoint("c2", "std", "edge", "SERVING", secondCache.Addr())))
	env.eventually("the second cache is known", func() bool { return env.metric("svc_registry_entries") == 3 })
	c := env.dial()
	drain, err := json.Marshal(endpointEvent(4, false, endpoint("c1", "std", "edge", "DRAINING", env.cache.Addr())))
	if err != nil {
		t.Fatal(err)
	}
	resume := env.pause()
	env.sendEvent("{broken\n" + string(drain))
	for id := range uint16(30) {
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
	}
	resume()
	for range 30 {
		a := receive(t, c.answers, "answer")
		if a.body != "second" {
			t.Errorf(`got answer %+v, want body "second"`, a)
		}
	}
	if len(env.cache.calls) > 0 || len(env.followLines) > 0 {
		t.Errorf("%d calls to the draining cache, %d reconnects, want none", len(env.cache.calls), len(env.followLines))
	}
}

// TestCorruptedDrainIsRequestedAgain guards against a drain that is lost for good because its line arrives corrupted
// once, with other lines behind it, and is never requested again. The drain takes effect although newer events were
// applied before it.
func TestCorruptedDrainIsRequestedAgain(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	secondCache := newFakeServer(t)
	secondCache.answerAll("served", "-", "second")
	text, err := json.Marshal(endpointEvent(2, false, endpoint("c1", "std", "edge", "DRAINING", env.cache.Addr())))
	if err != nil {
		t.Fatal(err)
	}
	drain := string(text)
	laterEvent, err := json.Marshal(endpointEvent(3, false, endpoint("c2", "std", "edge", "SERVING", secondCache.Addr())))
	if err != nil {
		t.Fatal(err)
	}
	env.sendEvent(drain[:len(drain)/2] + drain + "\n" + string(laterEvent))
	env.eventually("the event after the corrupted line is applied", func() bool { return env.metric("svc_registry_entries") == 3 })
	got := receive(t, env.followLines, "follow again")
	if got != "follow 1" {
		t.Errorf(`got line %q, want "follow 1"`, got)
	}
	env.sendEvent(drain)
	env.awaitEventsApplied()
	env.checkServedOnlyBy("second")
}
