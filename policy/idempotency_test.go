package policy

import (
	"testing"
	"time"
)

// A request that is not idempotent and may have run is neither retried nor rejected.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, c := range []struct {
		result Result
		again  bool
	}{{ResultReset, false}, {ResultTimeout, false}, {ResultError, false}, {ResultRejected, true},
		{ResultConnectFailed, true}} {
		h := newHarness(t)
		if f := fetchOf(h.request(1, "w", 2)); f == nil || f.Target != "o" {
			t.Fatalf("got %+v, want the write sent to the origin", f)
		}
		actions := h.handle(Outcome{ID: 1, Result: c.result, Elapsed: 10 * ms})
		if again := fetchOf(actions) != nil; again != c.again {
			t.Errorf("result %v: sent again %v, want the opposite", c.result, again)
		}
		if !c.again {
			if len(actions) != 1 || actions[0] != (Fail{ID: 1, Reason: ReasonMayHaveRun}) {
				t.Errorf("result %v: %+v, want one Fail", c.result, actions)
			}
		}
	}
}

// A request with an idempotency key that may have run is retried only in its scope and within its window.
func TestIdempotencyKeyScopeAndWindow(t *testing.T) {
	firstTarget := &endpointState{Endpoint: Endpoint{ID: "a", Zone: 1, Cell: 3}}
	for _, c := range []struct {
		scope          DeduplicationScope
		repeatEndpoint Endpoint
		after          time.Duration
		want           bool
	}{
		{ScopeAll, Endpoint{Zone: 2}, time.Second, true},
		{ScopeAll, Endpoint{Zone: 2}, 5 * time.Second, false},
		{ScopeZone, Endpoint{Zone: 1}, time.Second, true},
		{ScopeZone, Endpoint{Zone: 2}, time.Second, false},
		{ScopeCell, Endpoint{Zone: 1, Cell: 3}, time.Second, true},
		{ScopeCell, Endpoint{Zone: 1, Cell: 4}, time.Second, false},
	} {
		r := New(testSettings(), 1)
		req := &request{class: &Class{Idempotency: IdempotencyKey, DeduplicationScope: c.scope,
			DeduplicationWindow: 5 * time.Second}}
		req.firstPossibleRun = &attempt{target: firstTarget, createdAt: time.Hour}
		r.now = time.Hour + c.after
		if got := r.mayRepeat(req, &endpointState{Endpoint: c.repeatEndpoint}); got != c.want {
			t.Errorf("%+v: may be repeated: %v", c, got)
		}
		if got := r.mayReject(req); got != (c.scope == ScopeAll) {
			t.Errorf("scope %v: may be rejected: %v, want true only for ScopeAll", c.scope, got)
		}
	}
}
