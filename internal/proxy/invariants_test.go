package proxy

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
)

// What is kept of servers that have left is forgotten after a while: servers are replaced under new ids for as long as a process
// runs. One that has just left is still known.
func TestInvariantCheckerForgetsServers(t *testing.T) {
	clock := &handClock{now: eventloop.Timestamp(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).UnixNano())}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{loop: loop, log: slog.New(slog.DiscardHandler)}
	u := newInvariantChecker(p, nil)
	const replaced, every = 2000, time.Second
	for i := range replaced {
		clock.now += every
		if err := loop.Wait(0); err != nil {
			t.Fatal(err)
		}
		u.observeEvent(watch.Event{Endpoints: &watch.EndpointUpdate{Endpoints: []watch.Endpoint{{ID: fmt.Sprint(i), State: watch.StateDeleted}}}})
	}
	if _, known := u.drainingSince[fmt.Sprint(replaced-1)]; !known || len(u.drainingSince) > replaced/2 {
		t.Errorf("%d servers are kept, the last one %v", len(u.drainingSince), known)
	}
}
