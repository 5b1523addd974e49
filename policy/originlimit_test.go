package policy

import (
	"testing"
	"time"
)

// A refusing origin lowers its limit: further misses ask the parent only for what it holds.
func TestOriginLimitFalls(t *testing.T) {
	g := newRig(t)
	for i := int64(1); i < 8; i++ {
		if fetchOf(g.request(i, string(rune('a'+i)), 0)).CachedOnly {
			t.Fatal("the limit is reached before any failure")
		}
	}
	g.do(Outcome{ID: 1, Result: ResultError, CacheStatus: CacheStatusOriginFailed, Elapsed: 20 * ms})
	if f := fetchOf(g.request(20, "new", 0)); f == nil || !f.CachedOnly {
		t.Fatalf("the origin failed and is asked on: %+v", f)
	}
}

// An answer that waited at the origin for longer than the aim lowers the limit as well. Incident i058414.
func TestLateOriginLowersLimit(t *testing.T) {
	g := newRig(t)
	for i := int64(1); i < 8; i++ {
		g.request(i, string(rune('a'+i)), 0)
	}
	before := g.r.originLimit.limit
	g.n += 700 * ms
	g.do(Outcome{ID: 1, Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin, Elapsed: 700 * ms, SourceFirstByte: 600 * ms,
		RequestFinished: true})
	if g.r.originLimit.limit >= before {
		t.Fatalf("limit %v after a slow answer, %v before", g.r.originLimit.limit, before)
	}
	after := g.r.originLimit.limit
	g.do(Outcome{ID: 2, Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin, Elapsed: 700 * ms, SourceFirstByte: 50 * ms,
		RequestFinished: true})
	if g.r.originLimit.limit <= after {
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
		set := world()
		set.Routers = c.instances
		g := &rig{t: t, r: New(set, 1), n: time.Hour}
		g.do(everybody())
		for id := int64(1); id < 20; id++ {
			g.request(id, string(rune('a'+id)), 0)
			g.n += 200 * ms
			g.do(Outcome{ID: id, Result: ResultError, CacheStatus: CacheStatusOriginFailed, Elapsed: 20 * ms})
		}
		shut := g.r.originLimit.limit
		if (shut < 1) != c.below || shut <= 0 {
			t.Fatalf("%d routers: the limit is %v", c.instances, shut)
		}
		a := &attempt{request: &request{class: &set.Classes[0]}, source: g.r.endpoints["p"], target: g.r.endpoints["a"]}
		for range 20 {
			g.r.updateOriginLimit(a, Outcome{Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin})
		}
		if g.r.originLimit.limit < shut+1 {
			t.Fatalf("%d routers: answers raised the limit from %v to %v only", c.instances, shut, g.r.originLimit.limit)
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
		g := newRig(t)
		for i := int64(1); i < 8; i++ {
			g.request(i, string(rune('a'+i)), 0)
		}
		before := g.r.originLimit.limit
		g.n += c.took
		g.do(Outcome{ID: 1, Result: ResultOK, CacheStatus: CacheStatusFilledByOrigin, Elapsed: c.took, SourceFirstByte: 50 * ms, TransferTime: c.sending, RequestFinished: true})
		if lowered := g.r.originLimit.limit < before; lowered != c.lowers {
			t.Errorf("%+v: limit %v, %v before", c, g.r.originLimit.limit, before)
		}
	}
}
