package policy

import (
	"testing"
	"time"
)

// A failing origin lowers its limit: later misses ask the parent only for what it has cached.
func TestOriginLimitFalls(t *testing.T) {
	h := newHarness(t)
	for i := int64(1); i < 8; i++ {
		if fetchOf(h.request(i, string(rune('a'+i)), 0)).SourceCachedOnly {
			t.Fatal("limited before any failure")
		}
	}
	h.handle(Outcome{ID: 1, Result: ResultError, CacheStatus: CacheStatusOriginFailed, Elapsed: 20 * ms})
	if f := fetchOf(h.request(20, "new", 0)); f == nil || !f.SourceCachedOnly {
		t.Fatalf("got %+v after the origin failed, want SourceCachedOnly", f)
	}
}

// An answer of the origin whose first byte took longer than the latency objective lowers the limit. Incident
// i058414.
func TestSlowFirstByteOfOriginLowersLimit(t *testing.T) {
	h := newHarness(t)
	for i := int64(1); i < 8; i++ {
		h.request(i, string(rune('a'+i)), 0)
	}
	limitBefore := h.router.originLimit.limit
	h.now += 700 * ms
	h.handle(Outcome{ID: 1, Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin, Elapsed: 700 * ms,
		SourceFirstByte: 600 * ms,
		RequestFinished: true})
	if h.router.originLimit.limit >= limitBefore {
		t.Fatalf("limit %v after a slow answer, %v before", h.router.originLimit.limit, limitBefore)
	}
	limitAfter := h.router.originLimit.limit
	h.handle(Outcome{ID: 2, Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin, Elapsed: 700 * ms,
		SourceFirstByte: 50 * ms,
		RequestFinished: true})
	if h.router.originLimit.limit <= limitAfter {
		t.Fatal("a quick answer of the origin did not raise the limit")
	}
}

// With many routers, one attempt of each is too much for a failing origin: the limit falls below 1, down to
// this router's share of the origin's capacity, and rises again. With few routers, one attempt is always
// admitted. Incident ic689c2.
func TestLimitFallsBelowOneWithManyRouters(t *testing.T) {
	for _, c := range []struct {
		routers  int
		belowOne bool
	}{{300, true}, {1, false}} {
		settings := testSettings()
		settings.Routers = c.routers
		h := newHarnessWith(t, settings)
		for id := int64(1); id < 20; id++ {
			h.request(id, string(rune('a'+id)), 0)
			h.now += 200 * ms
			h.handle(Outcome{ID: id, Result: ResultError, CacheStatus: CacheStatusOriginFailed,
				Elapsed: 20 * ms})
		}
		lowestLimit := h.router.originLimit.limit
		if (lowestLimit < 1) != c.belowOne || lowestLimit <= 0 {
			t.Fatalf("%d routers: limit %v after failures", c.routers, lowestLimit)
		}
		a := &attempt{request: &request{class: &settings.Classes[0]}, source: h.router.endpoints["p"],
			target: h.router.endpoints["a"]}
		for range 20 {
			h.router.updateOriginLimit(a, Outcome{Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin})
		}
		if h.router.originLimit.limit < lowestLimit+1 {
			t.Fatalf("%d routers: answers raised the limit only from %v to %v", c.routers, lowestLimit,
				h.router.originLimit.limit)
		}
	}
}

// An answer that missed its objective and whose bytes took many times their full-pace time lowers the limit:
// the origin's link is congested, which its first byte does not show. An answer that met its objective, was
// large, or was of unknown size does not lower it.
func TestSlowTransferFromOriginLowersLimit(t *testing.T) {
	for _, c := range []struct {
		elapsed, transferTime time.Duration
		lowers                bool
	}{
		{2 * time.Second, 200 * ms, true},
		{400 * ms, 50 * ms, false},
		{2 * time.Second, 1900 * ms, false},
		{2 * time.Second, 0, false},
	} {
		h := newHarness(t)
		for i := int64(1); i < 8; i++ {
			h.request(i, string(rune('a'+i)), 0)
		}
		before := h.router.originLimit.limit
		h.now += c.elapsed
		h.handle(Outcome{ID: 1, Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin, Elapsed: c.elapsed,
			SourceFirstByte: 50 * ms, FullPaceTransferTime: c.transferTime, RequestFinished: true})
		if lowered := h.router.originLimit.limit < before; lowered != c.lowers {
			t.Errorf("%+v: limit %v, %v before", c, h.router.originLimit.limit, before)
		}
	}
}
