package proxy

import (
	"log/slog"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// newEventProxy returns a proxy with only the parts that purges need.
func newEventProxy(loop *eventloop.Loop) *Proxy {
	log := slog.New(slog.DiscardHandler)
	p := &Proxy{loop: loop, log: log}
	p.clock = &coordinatorClock{loop: loop, log: log, notify: p.notify}
	p.invariants = newInvariantChecker(p, nil)
	return p
}

// clockTest is a proxy with a wrong wall clock that the test advances.
type clockTest struct {
	p            *Proxy
	clock        *manualClock
	correctStart eventloop.Timestamp // correct time at the start of the test
}

func newClockTest(t *testing.T, clockError time.Duration) *clockTest {
	t.Helper()
	correctStart := eventloop.Timestamp(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).UnixNano())
	clock := &manualClock{now: correctStart + clockError}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	return &clockTest{p: newEventProxy(loop), clock: clock, correctStart: correctStart}
}

// report delivers a purge whose reported time is the start of the test minus ago, and returns its age as passed to
// the decision module.
func (c *clockTest) report(ago time.Duration) time.Duration {
	c.p.pendingEvents = nil
	c.p.applyEvent(watch.Event{Purge: &watch.Purge{Object: "x", AtMillis: (c.correctStart - ago).Milliseconds()}}, c.p.loop.Now())
	return c.p.pendingEvents[len(c.p.pendingEvents)-1].(policy.Purge).Age
}

// advance advances the clock and runs one turn of the loop.
func (c *clockTest) advance(t *testing.T, by time.Duration) {
	t.Helper()
	c.clock.now += by
	if err := c.p.loop.Wait(0); err != nil {
		t.Fatal(err)
	}
}

// TestPurgeAgeWithWrongClock checks that, however wrong the clock is, a purge never counts as older than it is. Once a
// purge has been reported without delay, the purges after it count as newer than they are by at most maxReportDelay.
func TestPurgeAgeWithWrongClock(t *testing.T) {
	for _, clockError := range []time.Duration{0, time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		c := newClockTest(t, clockError)
		for _, ago := range []time.Duration{400 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 0} {
			got := c.report(ago)
			if got > ago {
				t.Errorf("clock wrong by %v: a purge %v ago counts as %v old", clockError, ago, got)
			}
			// the purge before this one was reported only 100 ms after it took place
			if ago == 2*time.Second && got < ago-maxReportDelay {
				t.Errorf("clock wrong by %v: a purge %v ago counts as only %v old", clockError, ago, got)
			}
		}
	}
}

// TestWrongReportedTimeExpires checks that a wrong time from the coordinator no longer has an effect after maxBoundAge.
func TestWrongReportedTimeExpires(t *testing.T) {
	c := newClockTest(t, 0)
	c.report(-time.Hour)
	if c.p.clock.offset == 0 {
		t.Error("the wrong time had no effect")
	}
	c.advance(t, maxBoundAge+time.Second)
	c.report(-maxBoundAge - time.Second) // the reported time is the present one
	if c.p.clock.offset != 0 {
		t.Errorf("offset %v, want 0", c.p.clock.offset)
	}
}

// TestInitialPurgeAgesWithWrongClock checks that the age of a purge in the initial state is the time from that
// purge to the newest purge of the initial state, as no later time is certain before the first event of the watch.
func TestInitialPurgeAgesWithWrongClock(t *testing.T) {
	c := newClockTest(t, time.Hour)
	purge := func(ago time.Duration) watch.Event {
		return watch.Event{Purge: &watch.Purge{Object: "x", AtMillis: (c.correctStart - ago).Milliseconds()}}
	}
	c.p.applyInitialState([]watch.Event{purge(5 * time.Second), purge(2 * time.Second)})
	for i, want := range []time.Duration{3 * time.Second, 0} {
		if age := c.p.pendingEvents[i].(policy.Purge).Age; age > want || age < want-time.Second {
			t.Errorf("purge %d counts as %v old, want %v", i+1, age, want)
		}
	}
}

// TestPurgeAgesAfterReportingPause reports many purges at once after a pause, the oldest first. Late reports must not
// move the clock, and no purge may count as older than it is once the last of them has been reported.
func TestPurgeAgesAfterReportingPause(t *testing.T) {
	c := newClockTest(t, 0)
	c.report(0) // reported without delay
	loop := c.p.loop
	router := policy.New(policy.Settings{
		ParentKind: -1, OriginKind: 1,
		Classes:              []policy.Class{{Idempotency: policy.Idempotent, LatencyObjective: time.Second}},
		PurgeCompletedWithin: 6 * time.Second, PurgeGrace: 300 * time.Millisecond,
	}, 1)
	router.Handle(loop.Now(), policy.EndpointUpdate{Full: true, Endpoints: []policy.Endpoint{
		{ID: "c", State: policy.Ready, Weight: 10}, {ID: "o", State: policy.Ready, Kind: 1}}})
	c.advance(t, 3*time.Second) // nothing is reported during the pause
	const purgedAgo = 950 * time.Millisecond
	for ago := 3 * time.Second; ago >= 0; ago -= 50 * time.Millisecond {
		object := "another"
		if ago == purgedAgo {
			object = "x"
		}
		c.p.pendingEvents = nil
		c.p.applyEvent(watch.Event{Purge: &watch.Purge{Object: object, AtMillis: (loop.Now() - ago).Milliseconds()}}, c.p.loop.Now())
		for _, ev := range c.p.pendingEvents {
			router.Handle(loop.Now(), ev)
		}
	}
	for _, a := range router.Handle(loop.Now(), policy.Request{ID: 1, Object: "x", Remaining: time.Second}) {
		if f, ok := a.(policy.Fetch); ok && (f.MaxAge <= 0 || f.MaxAge > purgedAgo) {
			t.Errorf("a fetch allows copies up to %v old, but the purge was %v ago", f.MaxAge, purgedAgo)
		}
	}
}
