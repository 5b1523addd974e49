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

// heldClock goes by the system's clock, but the first look at it was long ago: a process that was held up in
// its turn.
type heldClock struct {
	eventloop.TimeSource
	held   time.Duration
	looked bool
}

func (c *heldClock) Now() eventloop.Timestamp {
	now := c.TimeSource.Now()
	if !c.looked {
		c.looked = true
		return now - c.held
	}
	return now
}

// A purge that is reported in a turn whose start was delayed is as old as it was when the turn began.
func TestPurgeReportedInALongTurn(t *testing.T) {
	const held, ago = 10 * time.Second, 12 * time.Second
	loop, err := eventloop.NewLoop(&heldClock{TimeSource: eventloop.SystemClock(), held: held})
	if err != nil {
		t.Fatal(err)
	}
	p := newEventProxy(loop)
	p.applyEvent(watch.Event{Purge: &watch.Purge{Object: "w", At: loop.Now().Milliseconds()}}) // in time: the clock is right
	p.applyEvent(watch.Event{Purge: &watch.Purge{Object: "x", At: time.Now().Add(-ago).UnixMilli()}})
	if age := p.inbox[1].(policy.Purge).Age; age < ago-held-time.Second || age > ago-held+time.Second {
		t.Errorf("the purge counts as %v old, %v before the turn", age, ago-held)
	}
}
