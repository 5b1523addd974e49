package policy

import (
	"testing"
	"time"
)

// A refusing origin lowers its limit: further misses ask the parent only for what it holds.
func TestOriginLimitFalls(t *testing.T) {
	h := newHarness(t)
	for i := int64(1); i < 8; i++ {
		if fetchOf(h.request(i, string(rune('a'+i)), 0)).CachedOnly {
			t.Fatal("the limit is reached before any failure")
		}
	}
	h.do(Outcome{ID: 1, Result: ResultError, CacheStatus: CacheStatusOriginFailed, Elapsed: 20 * ms})
	if f := fetchOf(h.request(20, "new", 0)); f == nil || !f.CachedOnly {
		t.Fatalf("the origin failed and is asked on: %+v", f)
	}
}

// An answer that waited at the origin for longer than the aim lowers the limit as well. Incident i058414.
func TestSlowFirstByteOfOriginLowersLimit(t *testing.T) {
	h := newHarness(t)
	for i := int64(1); i < 8; i++ {
		h.request(i, string(rune('a'+i)), 0)
	}
	before := h.router.originLimit.limit
	h.now += 700 * ms
	h.do(Outcome{ID: 1, Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin, Elapsed: 700 * ms, SourceFirstByte: 600 * ms,
		RequestFinished: true})
	if h.router.originLimit.limit >= before {
		t.Fatalf("limit %v after a slow answer, %v before", h.router.originLimit.limit, before)
	}
	after := h.router.originLimit.limit
	h.do(Outcome{ID: 2, Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin, Elapsed: 700 * ms, SourceFirstByte: 50 * ms,
		RequestFinished: true})
	if h.router.originLimit.limit <= after {
		t.Fatal("a quick answer of the origin must raise the limit")
	}
}

// With many routers one attempt of each is too much for a failing origin: the limit falls under one, down to this
// router's part, and opens again. With few routers one is always let through. Incident ic689c2.
func TestLimitFallsBelowOneWithManyRouters(t *testing.T) {
	for _, c := range []struct {
		instances int
		below     bool
	}{{300, true}, {1, false}} {
		set := testSettings()
		set.Routers = c.instances
		h := &harness{t: t, router: New(set, 1), now: time.Hour}
		h.do(allEndpoints())
		for id := int64(1); id < 20; id++ {
			h.request(id, string(rune('a'+id)), 0)
			h.now += 200 * ms
			h.do(Outcome{ID: id, Result: ResultError, CacheStatus: CacheStatusOriginFailed, Elapsed: 20 * ms})
		}
		shut := h.router.originLimit.limit
		if (shut < 1) != c.below || shut <= 0 {
			t.Fatalf("%d routers: the limit is %v", c.instances, shut)
		}
		a := &attempt{request: &request{class: &set.Classes[0]}, source: h.router.endpoints["p"], target: h.router.endpoints["a"]}
		for range 20 {
			h.router.updateOriginLimit(a, Outcome{Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin})
		}
		if h.router.originLimit.limit < shut+1 {
			t.Fatalf("%d routers: answers raised the limit from %v to %v only", c.instances, shut, h.router.originLimit.limit)
		}
	}
}

// An answer whose bytes came late from the origin, many times slower than they could, lowers the limit: its link is full,
// and its first byte does not tell. One that was slow in time, late for its size, or of unknown size does not.
func TestSlowTransferFromOriginLowersLimit(t *testing.T) {
	for _, c := range []struct {
		took, sending time.Duration
		lowers        bool
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
		h.now += c.took
		h.do(Outcome{ID: 1, Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin, Elapsed: c.took, SourceFirstByte: 50 * ms, TransferTime: c.sending, RequestFinished: true})
		if lowered := h.router.originLimit.limit < before; lowered != c.lowers {
			t.Errorf("%+v: limit %v, %v before", c, h.router.originLimit.limit, before)
		}
	}
}
