package policy

import (
	"testing"
	"time"
)

// The deduplication window is checked again before a retry's first byte, as the retry may have waited for its
// connection.
func TestRetryDoesNotStartAfterWindow(t *testing.T) {
	for _, expired := range []bool{false, true} {
		settings := testSettings()
		settings.Classes[0] = Class{
			Idempotency: IdempotencyKey, DeduplicationScope: ScopeAll, DeduplicationWindow: time.Second,
			LatencyObjective: 2 * time.Second, PriorityWeight: 1,
		}
		h := newHarnessWith(t, settings)
		if fetchOf(h.request(1, "x", 0)) == nil {
			t.Fatal("the request was not sent")
		}
		_, verdict := h.router.MaySend(h.now, SendInfo{ID: 1, Remaining: time.Second})
		if !verdict.Allowed() {
			t.Fatal("the first attempt was denied")
		}
		h.now += 900 * ms
		if fetchOf(h.handle(Outcome{ID: 1, Attempt: 0, Result: ResultReset})) == nil {
			t.Fatal("not retried within the deduplication window")
		}
		if expired {
			h.now += 200 * ms
		}
		_, verdict = h.router.MaySend(h.now, SendInfo{ID: 1, Attempt: 1, Remaining: time.Second})
		if verdict.Allowed() == expired ||
			expired && verdict != (Verdict{RuleDuplicate, ReasonWindowExpired}) {
			t.Errorf("retry after the window: %v, verdict %+v", expired, verdict)
		}
	}
}

// MaySend checks an attempt again before its first byte, and returns its Fetch as of then.
func TestMaySendChecksAtFirstByte(t *testing.T) {
	drain := func(id string) Event {
		return EndpointUpdate{Endpoints: []Endpoint{{ID: id, State: Draining, Zone: 1}}}
	}
	noEvent := func(Fetch) Event { return TimerFired{} }
	drainTarget := func(f Fetch) Event { return drain(f.Target) }
	drainSource := func(f Fetch) Event { return drain(f.Source) }
	purgeObject := func(Fetch) Event { return Purge{Object: "x", Age: 70 * ms} }
	purgeGroup := func(Fetch) Event { return Purge{Age: 70 * ms} }
	disconnect := func(Fetch) Event { return RequestEnded{ID: 1} }
	for name, c := range map[string]struct {
		event        func(Fetch) Event
		want         Verdict
		maxAge       time.Duration
		coalesceFill bool
	}{
		"nothing new":         {noEvent, Verdict{}, 0, true},
		"target draining":     {drainTarget, Verdict{RuleDrain, ReasonTargetDraining}, 0, false},
		"source draining":     {drainSource, Verdict{RuleDrain, ReasonSourceDraining}, 0, false},
		"object purged":       {purgeObject, Verdict{}, 90 * ms, true},
		"group purged":        {purgeGroup, Verdict{}, 90 * ms, true},
		"client disconnected": {disconnect, Verdict{RuleAnswer, ReasonAnswered}, 0, false},
	} {
		h := newHarness(t)
		f := fetchOf(h.request(1, "x", 0))
		h.now += 10 * ms
		h.handle(c.event(*f))
		now, verdict := h.router.MaySend(h.now+20*ms, SendInfo{ID: 1, Remaining: time.Second})
		if verdict != c.want || now.MaxAge != c.maxAge || now.CoalesceFill != c.coalesceFill {
			t.Errorf("%s: verdict %v, fetch %+v", name, verdict, now)
		}
	}
	for want, s := range map[Verdict]SendInfo{
		{RuleAnswer, ReasonAttemptEnded}: {ID: 9, Remaining: time.Second},
		{RuleClientDisconnected, ReasonClientDisconnected}: {
			ID: 1, Remaining: time.Second, ClientDisconnected: true,
		},
		{RuleDeadline, ReasonDeadlineExceeded}: {ID: 1},
	} {
		h := newHarness(t)
		h.request(1, "x", 0)
		if _, verdict := h.router.MaySend(h.now, s); verdict != want {
			t.Errorf("%+v: verdict %+v, want %+v", s, verdict, want)
		}
	}
}
