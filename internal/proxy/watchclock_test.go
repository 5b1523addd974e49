package proxy

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

// clockHarness is a watch play whose events are taken by a proxy.
type clockHarness struct {
	*watchHarness
	proxy      *Proxy
	clockError time.Duration // of the proxy's clock
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

// publishPurge publishes a purge that takes place now.
func (c *clockHarness) publishPurge() {
	c.publish(`{"index":%d,"evict":{"ref":"x","unix_ms":` + fmt.Sprint(c.coordinatorTime().Milliseconds()) + `}}`)
}

// publishStart publishes that a server starts now.
func (c *clockHarness) publishStart() {
	c.publish(`{"index":%d,"endpoints":{"version":2,"servers":[{"id":"c1","kind":"std","zone":"edge","addr":"127.0.0.1:1",` +
		`"state":"SERVING","started_ms":` + fmt.Sprint(c.coordinatorTime().Milliseconds()) + `}]}}`)
}

// coordinatorTime is the coordinator's time.
func (c *clockHarness) coordinatorTime() time.Duration { return c.clock.now - c.clockError }

// awaitEvent plays until the decision module is notified of an event of one type.
func awaitEvent[E policy.Event](c *clockHarness) (taken E) {
	c.t.Helper()
	for range int(10 * time.Second / harnessStep) {
		c.proxy.inbox = nil
		c.step()
		for _, ev := range c.proxy.inbox {
			if wanted, isWanted := ev.(E); isWanted {
				return wanted
			}
		}
	}
	c.t.Fatalf("no %T was taken", taken)
	return taken
}

// awaitPurgeAge plays until a purge has been taken, and returns as how old it counts.
func (c *clockHarness) awaitPurgeAge() time.Duration {
	c.t.Helper()
	return awaitEvent[policy.Purge](c).Age
}

// awaitStartAge plays until a start has been taken, and returns how long ago it was.
func (c *clockHarness) awaitStartAge() time.Duration {
	c.t.Helper()
	return c.clock.now - awaitEvent[policy.EndpointUpdate](c).Endpoints[0].Started
}

// setDown ends all streams, and lets no other bring anything until it is reset.
func (c *clockHarness) setDown(down bool) { c.down = down }

// Guards against a clock that is moved by events that were there before the stream was opened: a purge that came
// 9.85 s late counted as new, and the starts and purges after it as 9 s newer than they were.
func TestEventsAfterOutageDoNotMoveClock(t *testing.T) {
	const outage = 9 * time.Second
	checkAge := func(t *testing.T, what string, got, want time.Duration) {
		t.Helper()
		if got > want || got < want-maxReportDelay {
			t.Errorf("%s counts as %v old, it is %v", what, got, want)
		}
	}
	for name, publish := range map[string]func(*clockHarness){"purge": (*clockHarness).publishPurge, "start": (*clockHarness).publishStart} {
		take := (*clockHarness).awaitPurgeAge
		if name == "start" {
			take = (*clockHarness).awaitStartAge
		}
		for _, downAtStart := range []bool{true, false} {
			c := newClockHarness(t, 0, downAtStart)
			if !downAtStart {
				c.run(2500 * time.Millisecond)
				publish(c)
				checkAge(t, name+" before the outage", take(c), 2*harnessStep)
				c.run(10 * time.Second) // its time bounds the clock no longer
				c.setDown(true)
			}
			publish(c)
			published := c.clock.now
			c.run(outage)
			c.setDown(false)
			age := take(c)
			checkAge(t, name+" during the outage", age, c.clock.now-published)
			if c.proxy.clock.offset != 0 {
				t.Errorf("%s: the clock is off by %v", name, c.proxy.clock.offset)
			}
			for range 3 {
				c.run(700 * time.Millisecond)
				publish(c)
				checkAge(t, name+" after the outage", take(c), 2*harnessStep)
			}
			if c.proxy.clock.offset != 0 {
				t.Errorf("%s: the clock is off by %v at the end", name, c.proxy.clock.offset)
			}
			c.close()
		}
	}
}

// Guards against a wrong clock that is never corrected because events may have waited: one that is off by more
// than an outage is corrected by the first purge after it, and any by the first that comes between heartbeats.
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
			t.Errorf("off by %v: a purge that was %v ago counts as %v", clockError, c.clock.now-published, age)
		}
		c.run(3 * time.Second)
		c.publishPurge()
		if age := c.awaitPurgeAge(); age > 2*harnessStep {
			t.Errorf("off by %v: a new purge counts as %v old", clockError, age)
		}
		if off := (c.proxy.clock.offset + clockError).Abs(); off > maxReportDelay {
			t.Errorf("off by %v: the offset is %v", clockError, c.proxy.clock.offset)
		}
		c.close()
	}
}

// Guards against lines that were held up on their way and arrive all at once: a purge behind a heartbeat that came
// late is no sign that the clock is ahead.
func TestDelayedLinesDoNotMoveClock(t *testing.T) {
	c := newClockHarness(t, 0, false)
	c.run(3 * time.Second)
	c.holdWrites = true
	c.run(1100 * time.Millisecond) // a heartbeat is held up
	c.publishPurge()
	published := c.clock.now
	c.run(1100 * time.Millisecond)
	c.holdWrites = false
	age := c.awaitPurgeAge()
	if want := c.clock.now - published; age > want || age < want-maxReportDelay {
		t.Errorf("the purge counts as %v old, it is %v", age, want)
	}
	if c.proxy.clock.offset != 0 {
		t.Errorf("the clock is off by %v", c.proxy.clock.offset)
	}
}
