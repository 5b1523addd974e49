package policy

import (
	"fmt"
	"testing"
	"time"
)

// One reset counts against the connection, not against the cache: the next attempt goes to the same cache.
// Incident i39a6ba.
func TestOneResetDoesNotAvoidCache(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	h.request(2, "x", 0)
	f := fetchOf(h.handle(Outcome{ID: 2, Result: ResultReset, Elapsed: 20 * ms}))
	if f == nil || f.Target != home {
		t.Fatalf("after one reset want %s again, got %+v", home, f)
	}
	f = fetchOf(h.handle(Outcome{ID: 2, Attempt: 1, Result: ResultReset, Elapsed: 20 * ms}))
	if f == nil || f.Target == home {
		t.Fatalf("after a second reset got %+v, want another cache", f)
	}
}

// When a third of all attempts fail, every request is still answered: the retry budget limits retries only in
// an overload.
func TestEveryThirdAttemptFailingIsRetried(t *testing.T) {
	h, attempts := newHarness(t), 0
	for id := range int64(300) {
		h.now += 20 * ms
		f := fetchOf(h.request(id+1, "x", 0))
		for f != nil {
			attempts++
			number := len(h.router.requests[id+1].attempts) - 1
			if attempts%3 != 0 {
				h.handle(Outcome{ID: id + 1, Attempt: number, Result: ResultOK, CacheStatus: CacheStatusHit,
					RequestFinished: true})
				break
			}
			actions := h.handle(Outcome{ID: id + 1, Attempt: number, Result: ResultError})
			if f = fetchOf(actions); f == nil {
				t.Fatalf("request %d was not retried, after %d attempts in all: %+v", id+1, attempts, actions)
			}
		}
	}
}

// When a zone is lost, all routers reject at once. Their Retry-After spreads the clients evenly: in each
// interval of 20 ms, at most twice the mean number of clients return, and none returns before minRetryAfter.
func TestFleetSpreadsRetryAfter(t *testing.T) {
	const routers, requestsPerRouter, binWidth = 300, 5, 20 * time.Millisecond
	returningClients := map[time.Duration]int{}
	for i := range routers {
		settings := testSettings()
		settings.Routers, settings.RoutersInZone, settings.RouterIndex = routers, routers, i
		r := New(settings, uint64(i))
		r.Handle(time.Hour, EndpointUpdate{Full: true})
		for id := range int64(requestsPerRouter) {
			actions := r.Handle(time.Hour, Request{ID: id + 1, Object: fmt.Sprint(id),
				Remaining: 3 * time.Second})
			rejection, ok := actions[len(actions)-1].(Reject)
			if !ok || rejection.RetryAfter < minRetryAfter || rejection.RetryAfter >= 2*minRetryAfter {
				t.Fatalf("router %d: got %+v, want a Reject with a RetryAfter of 1 to 2 times minRetryAfter",
					i, actions)
			}
			returningClients[rejection.RetryAfter/binWidth]++
		}
	}
	meanPerBin := float64(routers*requestsPerRouter) / float64(minRetryAfter/binWidth)
	for i, n := range returningClients {
		if float64(n) > 2*meanPerBin {
			t.Errorf("%d clients return in the 20 ms from %v on, the mean is %.1f", n, i*binWidth, meanPerBin)
		}
	}
}
