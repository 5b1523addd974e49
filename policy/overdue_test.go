package policy

import (
	"testing"
	"time"
)

// The answer to an attempt is lost if its cache has answered later attempts instead. The request is sent to
// the same cache again: as a hedge where the settings allow it, otherwise after the first attempt is
// cancelled.
func TestLostAnswerIsRetried(t *testing.T) {
	for _, hedging := range []bool{true, false} {
		settings := testSettings()
		settings.Hedging = hedging
		h := newHarnessWith(t, settings)
		home := h.serve(1, "x", CacheStatusFilled).Target
		actions := h.request(2, "x", 0)
		timer := actions[1].(StartTimer)
		h.now += ms
		h.serve(3, "x", CacheStatusHit)
		h.now += timer.In
		actions = h.handle(TimerFired{Token: timer.Token})
		if !hedging {
			if len(actions) != 1 || actions[0] != (Cancel{ID: 2}) {
				t.Fatalf("got %+v, want the first attempt cancelled", actions)
			}
			actions = h.handle(Outcome{ID: 2, Result: ResultCancelled})
		}
		if f := fetchOf(actions); f == nil || f.Target != home {
			t.Fatalf("want a second attempt at %s, got %+v", home, actions)
		}
		if n := len(h.router.endpoints[home].link.inFlight); n != 1 {
			t.Fatalf("%d attempts on the link, want 1: the lost attempt no longer loads it", n)
		}
	}
}

// An attempt is not overdue before an object seven times as large as most has been transferred. Otherwise the
// answer would count as lost once smaller answers, requested later, have arrived, and the object would be
// transferred twice.
func TestLargeObjectIsNotOverdue(t *testing.T) {
	h := newHarness(t)
	send := func(id int64, object string) []Action {
		return h.handle(Request{ID: id, Object: object, Remaining: 6 * time.Second})
	}
	for id := range int64(20) {
		send(id+1, "small")
		h.now += 100 * ms
		h.handle(Outcome{ID: id + 1, Result: ResultOK, CacheStatus: CacheStatusHit, Elapsed: 100 * ms,
			RequestFinished: true})
	}
	timer := send(30, "large")[1].(StartTimer)
	if timer.In < 700*ms {
		t.Errorf("overdue after %v, before the end of a transfer seven times as long as most", timer.In)
	}
}

// A write whose answer is lost is neither retried nor cancelled.
func TestLostWriteIsNotRetried(t *testing.T) {
	h := newHarness(t)
	timer := h.request(1, "w", 2)[1].(StartTimer)
	h.now += ms
	h.request(2, "w", 2)
	h.handle(Outcome{ID: 2, Result: ResultOK, Elapsed: ms, RequestFinished: true})
	h.now += timer.In
	if actions := h.handle(TimerFired{Token: timer.Token}); len(actions) != 0 {
		t.Fatalf("got %+v for the overdue write, want no action", actions)
	}
}

// Guards against requests that are hedged beyond MaxAttempts, and against an attempt that is cancelled
// although no other may follow it: the last attempt that is allowed continues until it is answered.
func TestHedgesStayWithinMaxAttempts(t *testing.T) {
	for _, hedging := range []bool{true, false} {
		settings := testSettings()
		settings.Hedging = hedging
		settings.MaxAttempts = 2
		h := newHarnessWith(t, settings)
		h.serve(1, "x", CacheStatusFilled)
		actions := h.request(2, "x", 0)
		attempts := 0
		for id := int64(3); fetchOf(actions) != nil; id++ {
			attempts++
			timer := actions[len(actions)-1].(StartTimer)
			h.now += ms
			h.serve(id, "x", CacheStatusHit) // the cache answers others: the answer to request 2 is lost
			h.now += timer.In
			actions = h.handle(TimerFired{Token: timer.Token})
			if len(actions) == 1 && actions[0] == (Cancel{ID: 2, Attempt: attempts - 1}) {
				actions = h.handle(Outcome{ID: 2, Attempt: attempts - 1, Result: ResultCancelled})
			}
		}
		if attempts != settings.MaxAttempts || len(actions) != 0 {
			t.Errorf("hedging %v: %d attempts, then %+v, want MaxAttempts, then no action",
				hedging, attempts, actions)
		}
	}
}
