package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// A coordinator that is down for 8 s is called by each of 300 processes again and again. Over all of them the
// calls come evenly once the first pauses are over: no 20 ms bring more than twice their part. When it is
// back, all are with it again within the longest pause.
func TestFleetReconnectsEvenly(t *testing.T) {
	const processes, outage, bin = 300, 8 * time.Second, 20 * time.Millisecond
	calls := make([]int, outage/bin)
	all := 0
	for seed := range uint64(processes) {
		rng := rand.New(rand.NewPCG(seed, 1))
		pause := minReconnectBackoff
		for at := jitteredBackoff(pause, rng); at < outage; at += jitteredBackoff(pause, rng) {
			calls[at/bin]++
			all++
			pause = min(2*pause, maxReconnectBackoff)
		}
	}
	settled := calls[2*time.Second/bin:]
	part := float64(all) / float64(len(calls))
	for i, n := range settled {
		if float64(n) > 2*part {
			t.Errorf("%d calls in the %d. 20 ms after the first 2 s, %.1f are its part", n, i, part)
		}
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for range 1000 {
		if d := jitteredBackoff(maxReconnectBackoff, rng); d < maxReconnectBackoff/2 || d > maxReconnectBackoff {
			t.Fatalf("a pause of %v", d)
		}
	}
}

// suspendedClock is the system's clock, but its first reading is in the past: the process has had no CPU since its
// turn began.
type suspendedClock struct {
	eventloop.TimeSource
	suspended time.Duration // for how long
	read      bool          // the first reading has been taken
}

func (c *suspendedClock) Now() eventloop.Timestamp {
	now := c.TimeSource.Now()
	if !c.read {
		c.read = true
		return now - c.suspended
	}
	return now
}

// A purge that is reported in a turn in which the process was suspended counts as old as it was when the turn
// began.
func TestPurgeAgeInSuspendedTurn(t *testing.T) {
	const suspended, ago = 10 * time.Second, 12 * time.Second
	loop, err := eventloop.NewLoop(&suspendedClock{TimeSource: eventloop.SystemClock(), suspended: suspended})
	if err != nil {
		t.Fatal(err)
	}
	p := newEventProxy(loop)
	p.applyEvent(watch.Event{Purge: &watch.Purge{Object: "w", At: loop.Now().Milliseconds()}}, loop.Now()) // in time: the clock is right
	p.applyEvent(watch.Event{Purge: &watch.Purge{Object: "x", At: time.Now().Add(-ago).UnixMilli()}}, loop.Now())
	if age := p.inbox[1].(policy.Purge).Age; age < ago-suspended-time.Second || age > ago-suspended+time.Second {
		t.Errorf("the purge counts as %v old, %v before the turn", age, ago-suspended)
	}
}
