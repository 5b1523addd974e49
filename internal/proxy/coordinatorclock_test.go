package proxy

import (
	"log/slog"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// newEventProxy returns a proxy that has just what purges need.
func newEventProxy(loop *eventloop.Loop) *Proxy {
	log := slog.New(slog.DiscardHandler)
	p := &Proxy{loop: loop, log: log}
	p.clock = &coordinatorClock{loop: loop, log: log, notify: p.notify}
	p.invariants = newInvariantChecker(p, nil)
	return p
}

// clockTest is a proxy whose wall clock is wrong, set by hand.
type clockTest struct {
	p            *Proxy
	clock        *handClock
	correctStart eventloop.Timestamp // the correct time at the test's start
}

func newClockTest(t *testing.T, clockError time.Duration) *clockTest {
	t.Helper()
	correctStart := eventloop.Timestamp(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).UnixNano())
	clock := &handClock{now: correctStart + clockError}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	return &clockTest{p: newEventProxy(loop), clock: clock, correctStart: correctStart}
}

// report has the coordinator report a purge that took place the given time before the test's start, and
// returns as how old it counts.
func (c *clockTest) report(ago time.Duration) time.Duration {
	c.p.inbox = nil
	c.p.applyEvent(watch.Event{Purge: &watch.Purge{Object: "x", At: (c.correctStart - ago).Milliseconds()}}, c.p.loop.Now())
	return c.p.inbox[len(c.p.inbox)-1].(policy.Purge).Age
}

// advance moves the clock on.
func (c *clockTest) advance(t *testing.T, by time.Duration) {
	t.Helper()
	c.clock.now += by
	if err := c.p.loop.Wait(0); err != nil {
		t.Fatal(err)
	}
}

// However wrong the clock is, a purge never counts as older than it is, and counts as about as old once one
// has been reported in time.
func TestPurgeAgeWithWrongClock(t *testing.T) {
	for _, clockError := range []time.Duration{0, time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		c := newClockTest(t, clockError)
		for _, ago := range []time.Duration{400 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 0} {
			got := c.report(ago)
			if got > ago {
				t.Errorf("%v wrong: %v ago counts as %v", clockError, ago, got)
			}
			if ago == 2*time.Second && got < ago-maxReportDelay {
				t.Errorf("%v wrong: %v ago counts as only %v", clockError, ago, got)
			}
		}
	}
}

// One wrong time from the coordinator is forgotten.
func TestWrongReportedTimeExpires(t *testing.T) {
	c := newClockTest(t, 0)
	c.report(-time.Hour)
	if c.p.clock.offset == 0 {
		t.Error("the wrong time had no effect at all")
	}
	c.advance(t, maxBoundAge+time.Second)
	c.report(-maxBoundAge - time.Second) // what is right by now
	if c.p.clock.offset != 0 {
		t.Errorf("off by %v", c.p.clock.offset)
	}
}

// Before anything has been reported live, purges of the initial state are certain only against the latest of
// them.
func TestInitialPurgeAgesWithWrongClock(t *testing.T) {
	c := newClockTest(t, time.Hour)
	purge := func(ago time.Duration) watch.Event {
		return watch.Event{Purge: &watch.Purge{Object: "x", At: (c.correctStart - ago).Milliseconds()}}
	}
	c.p.applyInitialState([]watch.Event{purge(5 * time.Second), purge(2 * time.Second)})
	for i, want := range []time.Duration{3 * time.Second, 0} {
		if age := c.p.inbox[i].(policy.Purge).Age; age > want || age < want-time.Second {
			t.Errorf("the %d. counts as %v old, want %v", i+1, age, want)
		}
	}
}

// After a pause many purges are reported at once, the oldest first: late reports say nothing of the clock,
// and no purge counts as older than it is once the last of them has been reported.
func TestPurgeAgesAfterReportingPause(t *testing.T) {
	c := newClockTest(t, 0)
	c.report(0) // in time
	loop := c.p.loop
	router := policy.New(policy.Settings{
		ParentKind: -1, OriginKind: 1,
		Classes:              []policy.Class{{Idempotency: policy.Idempotent, LatencyObjective: time.Second}},
		PurgeCompletedWithin: 6 * time.Second, PurgeGrace: 300 * time.Millisecond,
	}, 1)
	router.Handle(loop.Now(), policy.EndpointUpdate{Full: true, Endpoints: []policy.Endpoint{
		{ID: "c", State: policy.Ready, Weight: 10}, {ID: "o", State: policy.Ready, Kind: 1}}})
	c.advance(t, 3*time.Second) // nothing is reported meanwhile
	const last = 950 * time.Millisecond
	for ago := 3 * time.Second; ago >= 0; ago -= 50 * time.Millisecond {
		object := "another"
		if ago == last {
			object = "x"
		}
		c.p.inbox = nil
		c.p.applyEvent(watch.Event{Purge: &watch.Purge{Object: object, At: (loop.Now() - ago).Milliseconds()}}, c.p.loop.Now())
		for _, ev := range c.p.inbox {
			router.Handle(loop.Now(), ev)
		}
	}
	for _, a := range router.Handle(loop.Now(), policy.Request{ID: 1, Object: "x", Remaining: time.Second}) {
		if f, ok := a.(policy.Fetch); ok && (f.MaxAge <= 0 || f.MaxAge > last) {
			t.Errorf("copies of %v are asked for, the purge was %v ago", f.MaxAge, last)
		}
	}
}
