package proxy

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

// clockHarness is a watch harness whose events are handled by a proxy.
type clockHarness struct {
	*watchHarness
	proxy      *Proxy
	clockError time.Duration // proxy's clock minus the coordinator's
	down       bool          // the coordinator closes each stream at once
}

func newClockHarness(t *testing.T, clockError time.Duration, down bool) *clockHarness {
	t.Helper()
	c := &clockHarness{clockError: clockError, down: down}
	script := func(int) streamScript {
		return func(s *fakeStream) {
			if c.down {
				s.close()
				return
			}
			sendAll(s)
		}
	}
	c.watchHarness = newWatchHarnessWithHandler(t, script, clockError, func(loop *eventloop.Loop) watchHandler {
		p := newEventProxy(loop)
		p.lifecycle = &lifecycle{loop: loop, log: p.log, phase: Serving}
		p.endpoints = &endpointTable{
			log: slog.New(slog.DiscardHandler), clock: p.clock, pools: &recordedPools{}, notify: p.notify,
			kinds: []string{"std"}, zones: []string{"edge"}, startMillis: map[string]int64{},
		}
		c.proxy = p
		return p
	})
	return c
}

// publishPurge publishes a purge that takes place at the present step.
func (c *clockHarness) publishPurge() {
	c.publish(`{"index":%d,"evict":{"ref":"x","unix_ms":` + fmt.Sprint(c.coordinatorTime().Milliseconds()) + `}}`)
}

// publishStart publishes an endpoint that starts at the present step.
func (c *clockHarness) publishStart() {
	c.publish(`{"index":%d,"endpoints":{"version":2,"servers":[{"id":"c1","kind":"std","zone":"edge","addr":"127.0.0.1:1",` +
		`"state":"SERVING","started_ms":` + fmt.Sprint(c.coordinatorTime().Milliseconds()) + `}]}}`)
}

// coordinatorTime returns the coordinator's time.
func (c *clockHarness) coordinatorTime() time.Duration { return c.clock.now - c.clockError }

// awaitEvent runs steps until the decision module is notified of an event of type E, and returns the event.
func awaitEvent[E policy.Event](c *clockHarness) (found E) {
	c.t.Helper()
	for range int(10 * time.Second / harnessStep) {
		c.proxy.pendingEvents = nil
		c.step()
		for _, ev := range c.proxy.pendingEvents {
			if wanted, isWanted := ev.(E); isWanted {
				return wanted
			}
		}
	}
	c.t.Fatalf("no %T was delivered within 10 s", found)
	return found
}

// awaitPurgeAge runs steps until a purge is delivered, and returns its age.
func (c *clockHarness) awaitPurgeAge() time.Duration {
	c.t.Helper()
	return awaitEvent[policy.Purge](c).Age
}

// awaitStartAge runs steps until an endpoint update is delivered, and returns the time since the endpoint's start.
func (c *clockHarness) awaitStartAge() time.Duration {
	c.t.Helper()
	return c.clock.now - awaitEvent[policy.EndpointUpdate](c).Endpoints[0].Started
}

// setDown sets whether the coordinator closes all streams at once.
func (c *clockHarness) setDown(down bool) { c.down = down }

// TestEventsAfterOutageDoNotMoveClock guards against a clock that is moved by events published before the stream was
// opened. With this fault, a purge that arrived 9.85 s late counted as new, and the starts and purges after it counted
// as 9 s newer than they were.
func TestEventsAfterOutageDoNotMoveClock(t *testing.T) {
	const outage = 9 * time.Second
	checkAge := func(t *testing.T, event string, got, want time.Duration) {
		t.Helper()
		if got > want || got < want-maxReportDelay {
			t.Errorf("%s counts as %v old, want %v", event, got, want)
		}
	}
	for name, publish := range map[string]func(*clockHarness){"purge": (*clockHarness).publishPurge, "start": (*clockHarness).publishStart} {
		awaitAge := (*clockHarness).awaitPurgeAge
		if name == "start" {
			awaitAge = (*clockHarness).awaitStartAge
		}
		for _, downAtStart := range []bool{true, false} {
			c := newClockHarness(t, 0, downAtStart)
			if !downAtStart {
				c.run(2500 * time.Millisecond)
				publish(c)
				checkAge(t, name+" before the outage", awaitAge(c), 2*harnessStep)
				c.run(10 * time.Second) // the event's bounds on the clock offset expire
				c.setDown(true)
			}
			publish(c)
			published := c.clock.now
			c.run(outage)
			c.setDown(false)
			age := awaitAge(c)
			checkAge(t, name+" during the outage", age, c.clock.now-published)
			if c.proxy.clock.offset != 0 {
				t.Errorf("%s: clock offset %v, want 0", name, c.proxy.clock.offset)
			}
			for range 3 {
				c.run(700 * time.Millisecond)
				publish(c)
				checkAge(t, name+" after the outage", awaitAge(c), 2*harnessStep)
			}
			if c.proxy.clock.offset != 0 {
				t.Errorf("%s: clock offset %v at the end, want 0", name, c.proxy.clock.offset)
			}
			c.close()
		}
	}
}

// TestWrongClockIsCorrectedAfterOutage guards against a wrong clock that is never corrected because events may have
// been delayed. An error larger than the outage must be corrected by the first purge delivered after the outage, and
// any error by the first purge after heartbeats have arrived on schedule.
func TestWrongClockIsCorrectedAfterOutage(t *testing.T) {
	const outage = 9 * time.Second
	for _, clockError := range []time.Duration{time.Hour, -time.Hour, 4 * time.Second, -4 * time.Second} {
		c := newClockHarness(t, clockError, true)
		c.publishPurge()
		published := c.clock.now
		c.run(outage)
		c.setDown(false)
		age := c.awaitPurgeAge()
		if clockError.Abs() > outage+time.Second && age > c.clock.now-published {
			t.Errorf("clock wrong by %v: a purge %v ago counts as %v old", clockError, c.clock.now-published, age)
		}
		c.run(3 * time.Second)
		c.publishPurge()
		if age := c.awaitPurgeAge(); age > 2*harnessStep {
			t.Errorf("clock wrong by %v: a new purge counts as %v old", clockError, age)
		}
		if offsetError := (c.proxy.clock.offset + clockError).Abs(); offsetError > maxReportDelay {
			t.Errorf("clock wrong by %v: corrected by %v", clockError, c.proxy.clock.offset)
		}
		c.close()
	}
}

// TestDelayedLinesDoNotMoveClock guards against a clock that is moved by lines that were delayed on the network and
// arrive all at once: a purge that follows a late heartbeat does not show that the clock is ahead.
func TestDelayedLinesDoNotMoveClock(t *testing.T) {
	c := newClockHarness(t, 0, false)
	c.run(3 * time.Second)
	c.holdWrites = true
	c.run(1100 * time.Millisecond) // a heartbeat is delayed
	c.publishPurge()
	published := c.clock.now
	c.run(1100 * time.Millisecond)
	c.holdWrites = false
	age := c.awaitPurgeAge()
	if want := c.clock.now - published; age > want || age < want-maxReportDelay {
		t.Errorf("the purge counts as %v old, want %v", age, want)
	}
	if c.proxy.clock.offset != 0 {
		t.Errorf("clock offset %v, want 0", c.proxy.clock.offset)
	}
}
