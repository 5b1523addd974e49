package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// largeFleetSize is the largest number of caches that the operators announce.
	largeFleetSize = 3200
	// lateAnswer is the time after a request's timeout at which its answer is lost: 50 ms by the protocol, and half a
	// second during which it is only late.
	lateAnswer = 550 * time.Millisecond
)

// otherZoneCache returns an entry for a cache of another zone, to which the program sends nothing.
func otherZoneCache(number int, state string) map[string]any {
	addr := &net.TCPAddr{IP: net.IPv4(127, 9, byte(number/250), byte(number%250+1)), Port: 7001}
	return endpoint(fmt.Sprintf("s%05d", number), "std", "hub", state, addr)
}

// largeFleet returns event 1: the cache, the origin and so many caches of the other zone that the list is of
// largeFleetSize.
func (env *testEnv) largeFleet() map[string]any {
	list := []any{
		endpoint("c1", "std", "edge", "SERVING", env.cache.Addr()), endpoint("o1", "origin", "hub", "SERVING", env.origin.Addr()),
	}
	for number := range largeFleetSize - len(list) {
		list = append(list, otherZoneCache(number, "SERVING"))
	}
	return endpointEvent(1, true, list...)
}

// replacements returns the events, from index 2 on, of a release that replaces count caches: the new one serves, the old
// one drains, the old one goes.
func replacements(count int) (events []any) {
	add := func(entry map[string]any) { events = append(events, endpointEvent(len(events)+2, false, entry)) }
	for number := range count {
		add(otherZoneCache(number, "DRAINING"))
		add(otherZoneCache(largeFleetSize+number, "SERVING"))
		add(otherZoneCache(number, "DELETED"))
	}
	return events
}

// checkAnswersInTime sends a request every 20 ms for the given time, on a connection of its own, and checks that all are
// answered in time. It returns how many were served.
func (env *testEnv) checkAnswersInTime(length time.Duration) (served int) {
	env.t.Helper()
	const interval, timeout, outstanding = 20 * time.Millisecond, 1500 * time.Millisecond, 30
	c := env.dial()
	sentAt := map[uint16]time.Time{}
	var id uint16
	var slowest time.Duration
	wait := time.NewTimer(length + timeout + lateAnswer)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for start := time.Now(); time.Since(start) < length || len(sentAt) > 0; {
		select {
		case <-ticker.C:
			if time.Since(start) < length && len(sentAt) < outstanding {
				id++
				sentAt[id] = time.Now()
				c.request(id, "artes", int(timeout.Milliseconds()), int(id), "")
			}
		case a := <-c.answers:
			if a.id == 0 {
				env.t.Fatalf("the connection ended with %d requests unanswered", len(sentAt))
			}
			taken := time.Since(sentAt[a.id])
			slowest = max(slowest, taken)
			if taken > timeout+lateAnswer {
				env.t.Errorf("request %d was answered after %v", a.id, taken)
			}
			delete(sentAt, a.id)
			if a.status == "200" {
				served++
			}
		case <-wait.C:
			env.t.Fatalf("%d requests were not answered in time", len(sentAt))
		}
	}
	env.t.Logf("%d requests answered, the slowest after %v", id, slowest)
	return served
}

// Guards against a proxy that answers nobody while it works through a release that it is told of at once (review/6): each
// event cost in proportion to the whole list, and all of them were handled in one turn of the event loop.
func TestReleaseInALargeFleetDelaysNoAnswer(t *testing.T) {
	const replaced = largeFleetSize * 6 / 10
	env := newTestEnv(t)
	env.start(env.largeFleet())
	env.awaitAliveStatus("200")
	env.cache.answerAll("served", "-", "fine")
	receive(t, env.followLines, "follow")
	var lines strings.Builder
	for _, event := range replacements(replaced) {
		fmt.Fprintf(&lines, "%s\n", mustMarshal(t, event))
	}
	var sent sync.WaitGroup
	sent.Go(func() { env.writeWatch(lines.String()) })
	served := env.checkAnswersInTime(2 * time.Second)
	sent.Wait()
	if served == 0 {
		t.Error("no request was served")
	}
	env.eventually("the list has its new caches", func() bool {
		return env.metric("svc_registry_entries") == largeFleetSize && env.metric("svc_out_of_rotation") == 0
	})
}

// Guards against a start that takes long because the configuration has many events (review/6, beside the case).
func TestStartWithManyEventsIsQuick(t *testing.T) {
	env := newTestEnv(t)
	env.start(append([]any{env.largeFleet()}, replacements(largeFleetSize*6/10)...)...)
	startedAt := time.Now()
	env.awaitAliveStatus("200")
	const limit = 2 * time.Second
	if taken := time.Since(startedAt); taken > limit {
		t.Errorf("ready after %v, want at most %v", taken, limit)
	}
}
