package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// TestFleetReconnectsEvenly guards against bursts of reconnects: 300 proxies call a coordinator that is down for 8 s.
// After the first 2 s, no interval of 20 ms has more than twice the mean number of calls. All pauses are at most
// maxReconnectBackoff, so all proxies are connected again within that time after the outage.
func TestFleetReconnectsEvenly(t *testing.T) {
	const processes, outage, binWidth = 300, 8 * time.Second, 20 * time.Millisecond
	calls := make([]int, outage/binWidth)
	total := 0
	for seed := range uint64(processes) {
		rng := rand.New(rand.NewPCG(seed, 1))
		backoff := minReconnectBackoff
		for at := jitteredBackoff(backoff, rng); at < outage; at += jitteredBackoff(backoff, rng) {
			calls[at/binWidth]++
			total++
			backoff = min(2*backoff, maxReconnectBackoff)
		}
	}
	laterCalls := calls[2*time.Second/binWidth:]
	mean := float64(total) / float64(len(calls))
	for i, n := range laterCalls {
		if float64(n) > 2*mean {
			t.Errorf("%d calls in interval %d of 20 ms after the first 2 s, the mean is %.1f", n, i, mean)
		}
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for range 1000 {
		if d := jitteredBackoff(maxReconnectBackoff, rng); d < maxReconnectBackoff/2 || d > maxReconnectBackoff {
			t.Fatalf("pause of %v, want between half of maxReconnectBackoff and all of it", d)
		}
	}
}

// suspendedClock is the system's clock, except that its first reading is in the past, as if the process had been
// suspended after its turn began.
type suspendedClock struct {
	eventloop.TimeSource
	suspended time.Duration // how long the process was suspended
	read      bool          // the first reading has been returned
}

func (c *suspendedClock) Now() eventloop.Timestamp {
	now := c.TimeSource.Now()
	if !c.read {
		c.read = true
		return now - c.suspended
	}
	return now
}

// TestPurgeAgeInSuspendedTurn reports a purge in a turn during which the process was suspended. The purge's
// age must be its age at the start of the turn.
func TestPurgeAgeInSuspendedTurn(t *testing.T) {
	const suspended, ago = 10 * time.Second, 12 * time.Second
	loop, err := eventloop.NewLoop(&suspendedClock{TimeSource: eventloop.SystemClock(), suspended: suspended})
	if err != nil {
		t.Fatal(err)
	}
	p := newEventProxy(loop)
	// The first purge is reported without delay, which shows that the clock is right.
	p.applyEvent(watch.Event{Purge: &watch.Purge{Object: "w", AtMillis: loop.Now().Milliseconds()}}, loop.Now())
	p.applyEvent(watch.Event{Purge: &watch.Purge{Object: "x", AtMillis: time.Now().Add(-ago).UnixMilli()}}, loop.Now())
	if age := p.pendingEvents[1].(policy.Purge).Age; age < ago-suspended-time.Second || age > ago-suspended+time.Second {
		t.Errorf("the purge counts as %v old, want about %v, its age when the turn began", age, ago-suspended)
	}
}
