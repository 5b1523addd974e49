package proxy

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

// clockPlay is a watch play whose events are taken by a proxy.
type clockPlay struct {
	*watchPlay
	proxy   *Proxy
	wrongBy time.Duration // of the proxy's clock
	down    bool          // the coordinator closes each stream at once
}

func newClockPlay(t *testing.T, wrongBy time.Duration, down bool) *clockPlay {
	t.Helper()
	c := &clockPlay{wrongBy: wrongBy, down: down}
	script := func(int) streamScript {
		return func(s *playedStream) {
			if c.down {
				s.close()
				return
			}
			bringAll(s)
		}
	}
	c.watchPlay = newWatchPlayFor(t, script, wrongBy, func(loop *eventloop.Loop) watchHandler {
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
func (c *clockPlay) publishPurge() {
	c.publish(`{"index":%d,"evict":{"ref":"x","unix_ms":` + fmt.Sprint(c.rightTime().Milliseconds()) + `}}`)
}

// publishStart publishes that a server starts now.
func (c *clockPlay) publishStart() {
	c.publish(`{"index":%d,"endpoints":{"version":2,"servers":[{"id":"c1","kind":"std","zone":"edge","addr":"127.0.0.1:1",` +
		`"state":"SERVING","started_ms":` + fmt.Sprint(c.rightTime().Milliseconds()) + `}]}}`)
}

// rightTime is the coordinator's time.
func (c *clockPlay) rightTime() time.Duration { return c.clock.now - c.wrongBy }

// takeEvent plays until the decision module is notified of an event of one type.
func takeEvent[E policy.Event](c *clockPlay) (taken E) {
	c.t.Helper()
	for range int(10 * time.Second / playStep) {
		c.proxy.pendingEvents = nil
		c.step()
		for _, ev := range c.proxy.pendingEvents {
			if wanted, isWanted := ev.(E); isWanted {
				return wanted
			}
		}
	}
	c.t.Fatalf("no %T was taken", taken)
	return taken
}

// takePurgeAge plays until a purge has been taken, and returns as how old it counts.
func (c *clockPlay) takePurgeAge() time.Duration {
	c.t.Helper()
	return takeEvent[policy.Purge](c).Age
}

// takeStart plays until a start has been taken, and returns how long ago it was.
func (c *clockPlay) takeStart() time.Duration {
	c.t.Helper()
	return c.clock.now - takeEvent[policy.EndpointUpdate](c).Endpoints[0].Started
}

// setDown ends all streams, and lets no other bring anything until it is reset.
func (c *clockPlay) setDown(down bool) { c.down = down }

// Guards against a clock that is moved by events that were there before the stream was opened: a purge that came
// 9.85 s late counted as new, and the starts and purges after it as 9 s newer than they were.
func TestCatchingUpMovesNoClock(t *testing.T) {
	const outage = 9 * time.Second
	about := func(t *testing.T, what string, got, want time.Duration) {
		t.Helper()
		if got > want || got < want-maxReportDelay {
			t.Errorf("%s counts as %v old, it is %v", what, got, want)
		}
	}
	for name, publish := range map[string]func(*clockPlay){"purge": (*clockPlay).publishPurge, "start": (*clockPlay).publishStart} {
		take := (*clockPlay).takePurgeAge
		if name == "start" {
			take = (*clockPlay).takeStart
		}
		for _, downAtStart := range []bool{true, false} {
			c := newClockPlay(t, 0, downAtStart)
			if !downAtStart {
				c.run(2500 * time.Millisecond)
				publish(c)
				about(t, name+" before the outage", take(c), 2*playStep)
				c.run(10 * time.Second) // its time bounds the clock no longer
				c.setDown(true)
			}
			publish(c)
			published := c.clock.now
			c.run(outage)
			c.setDown(false)
			age := take(c)
			about(t, name+" during the outage", age, c.clock.now-published)
			if c.proxy.clock.offset != 0 {
				t.Errorf("%s: the clock is off by %v", name, c.proxy.clock.offset)
			}
			for range 3 {
				c.run(700 * time.Millisecond)
				publish(c)
				about(t, name+" after the outage", take(c), 2*playStep)
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
func TestWrongClockIsCorrectedAfterAnOutage(t *testing.T) {
	const outage = 9 * time.Second
	for _, wrongBy := range []time.Duration{time.Hour, -time.Hour, 4 * time.Second, -4 * time.Second} {
		c := newClockPlay(t, wrongBy, true)
		c.publishPurge()
		published := c.clock.now
		c.run(outage)
		c.setDown(false)
		age := c.takePurgeAge()
		if wrongBy.Abs() > outage+time.Second && age > c.clock.now-published {
			t.Errorf("off by %v: a purge that was %v ago counts as %v", wrongBy, c.clock.now-published, age)
		}
		c.run(3 * time.Second)
		c.publishPurge()
		if age := c.takePurgeAge(); age > 2*playStep {
			t.Errorf("off by %v: a new purge counts as %v old", wrongBy, age)
		}
		if off := (c.proxy.clock.offset + wrongBy).Abs(); off > maxReportDelay {
			t.Errorf("off by %v: the offset is %v", wrongBy, c.proxy.clock.offset)
		}
		c.close()
	}
}

// Guards against lines that were held up on their way and arrive all at once: a purge behind a heartbeat that came
// late is no sign that the clock is ahead.
func TestLinesHeldUpMoveNoClock(t *testing.T) {
	c := newClockPlay(t, 0, false)
	c.run(3 * time.Second)
	c.held = true
	c.run(1100 * time.Millisecond) // a heartbeat is held up
	c.publishPurge()
	published := c.clock.now
	c.run(1100 * time.Millisecond)
	c.held = false
	age := c.takePurgeAge()
	if want := c.clock.now - published; age > want || age < want-maxReportDelay {
		t.Errorf("the purge counts as %v old, it is %v", age, want)
	}
	if c.proxy.clock.offset != 0 {
		t.Errorf("the clock is off by %v", c.proxy.clock.offset)
	}
}
